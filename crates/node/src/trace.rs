//! What is known of one request from its beginning to its settlement.

use std::sync::{Arc, Mutex, PoisonError};

use briarswitch_core::prelude::*;
use briarswitch_kernel::BootClock;

use crate::admission::TargetPermit;
use crate::dispatch::MatchedRequest;
use crate::in_flight::InFlightGuard;
use crate::metrics::RequestLabels;
use crate::reply::CallerFailure;
use crate::shared::NodeShared;

/// What is counted of a request when it ends.
pub struct RequestTrace {
    shared: Arc<NodeShared>,
    /// Request id.
    pub request: RequestId,
    organisation: OrganisationId,
    /// Deployment that serves it.
    pub deployment: DeploymentId,
    started: Moment,
    /// Tokens delivered so far.
    pub tokens: u64,
    /// Group or machine of the last attempt.
    pub target: String,
    /// Attempts made.
    pub attempts: u32,
    settled: Option<Outcome>,
    key: Option<ClaimedKey>,
    _flight: InFlightGuard,
}

/// A key claimed for a request that is still going on.
struct ClaimedKey {
    cache: Arc<Mutex<ClaimCache>>,
    key: String,
}

impl RequestTrace {
    /// Opens the trace of a request that begins now.
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

    /// Notes the key claimed for the request; its outcome goes into the book.
    pub fn set_claimed_key(&mut self, book: &Arc<Mutex<ClaimCache>>, key: &str) {
        self.key = Some(ClaimedKey {
            cache: Arc::clone(book),
            key: key.to_owned(),
        });
    }

    /// Forgets the key claimed for the request and returns it.
    pub fn take_claimed_key(&mut self) -> Option<String> {
        self.key.take().map(|open| open.key)
    }

    /// Notes that the first token came.
    pub fn record_first_token(&self, permit: &TargetPermit) {
        let latency = BootClock::now().saturating_sub(self.started);
        self.shared
            .metrics
            .record_first_token(&self.deployment, latency);
        permit.record_latency(latency);
    }

    /// Counts the request with its outcome, once.
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
        if let Some(open) = self.key.take() {
            let mut book = open.cache.lock().unwrap_or_else(PoisonError::into_inner);
            book.settle(&open.key, outcome, now);
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

    /// Counts the request as failed and hands the failure on.
    pub fn fail(&mut self, failure: CallerFailure) -> CallerFailure {
        self.settle(failure.outcome());
        failure
    }
}

impl Drop for RequestTrace {
    /// A caller that left before its answer was over leaves the outcome open.
    fn drop(&mut self) {
        self.settle(Outcome::Unknown);
    }
}
