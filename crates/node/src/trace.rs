//! Accounting of one request, from its admission to its outcome.

use std::sync::{Arc, Mutex, PoisonError};

use briarswitch_core::prelude::*;
use briarswitch_kernel::BootClock;

use crate::admission::TargetPermit;
use crate::dispatch::MatchedRequest;
use crate::in_flight::InFlightGuard;
use crate::metrics::RequestLabels;
use crate::reply::CallerFailure;
use crate::shared::NodeShared;

/// Collects the figures of a request and records them, with its outcome, when it ends.
pub struct RequestTrace {
    shared: Arc<NodeShared>,
    /// Id of the request.
    pub request: RequestId,
    organisation: OrganisationId,
    /// Deployment that serves it.
    pub deployment: DeploymentId,
    started: Moment,
    /// Tokens delivered to the caller so far.
    pub tokens: u64,
    /// Group or VM of the latest attempt.
    pub target: String,
    /// Number of attempts made.
    pub attempts: u32,
    settled: Option<Outcome>,
    key: Option<ClaimedKey>,
    _flight: InFlightGuard,
}

/// An idempotency key claimed for a request that has not ended.
struct ClaimedKey {
    cache: Arc<Mutex<ClaimCache>>,
    key: String,
}

impl RequestTrace {
    /// Creates the trace of a request that starts now.
    pub fn new(shared: &Arc<NodeShared>, matched: &MatchedRequest) -> Self {
        Self {
            shared: Arc::clone(shared),
            request: matched.request.clone(),
            organisation: matched.admission.organisation.clone(),
            deployment: matched.admission.deployment.clone(),
            started: BootClock::now(),
            tokens: 0,
            target: String::new(),
            attempts: 0,
            settled: None,
            key: None,
            _flight: matched.in_flight.clone(),
        }
    }

    /// Sets the key claimed for the request. Its outcome is recorded in `cache` when the request
    /// ends.
    pub fn set_claimed_key(&mut self, cache: &Arc<Mutex<ClaimCache>>, key: &str) {
        self.key = Some(ClaimedKey {
            cache: Arc::clone(cache),
            key: key.to_owned(),
        });
    }

    /// Removes and returns the key claimed for the request, so that no outcome is recorded for it.
    pub fn take_claimed_key(&mut self) -> Option<String> {
        self.key.take().map(|claimed| claimed.key)
    }

    /// Records the time to the first token.
    pub fn record_first_token(&self, permit: &TargetPermit) {
        let latency = BootClock::now().saturating_sub(self.started);
        self.shared
            .metrics
            .record_first_token(&self.deployment, latency);
        permit.record_latency(latency);
    }

    /// Records the outcome of the request; later calls have no effect.
    pub fn settle(&mut self, outcome: Outcome) {
        if self.settled.is_some() {
            return;
        }
        self.settled = Some(outcome);
        let now = BootClock::now();
        let latency = now.saturating_sub(self.started);
        let labels = RequestLabels {
            organisation: &self.organisation,
            deployment: &self.deployment,
            outcome,
        };
        self.shared.metrics.count_request(labels, latency);
        if outcome == Outcome::Answered || self.tokens > 0 {
            self.shared.usage.charge(&self.organisation, self.tokens);
        }
        if let Some(claimed) = self.key.take() {
            let mut cache = claimed.cache.lock().unwrap_or_else(PoisonError::into_inner);
            cache.settle(&claimed.key, outcome, now);
        }
        log::info!(
            request = self.request.as_str(),
            organisation = self.organisation.as_str(),
            deployment = self.deployment.as_str(),
            target = self.target.as_str(),
            outcome = outcome.name(),
            attempts = self.attempts,
            tokens = self.tokens,
            ms = latency.as_millis() as u64;
            "request_settled"
        );
    }

    /// Records the outcome of a failed request and returns the failure.
    pub fn fail(&mut self, failure: CallerFailure) -> CallerFailure {
        self.settle(failure.outcome());
        failure
    }
}

impl Drop for RequestTrace {
    /// Records an unknown outcome if the caller disconnected before the response was complete.
    fn drop(&mut self) {
        self.settle(Outcome::Unknown);
    }
}
