//! What is known of one request, told in one line when it is over.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use briarswitch_core::id::*;
use briarswitch_core::print::RequestPrint;
use briarswitch_kernel::BootClock;

use crate::metrics::RequestLabels;
use crate::shared::FleetShared;

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestEnd {
    /// The caller got a target's whole answer.
    Answered,
    /// The caller got a failure that a target made.
    Failed,
    /// No target ran it, and the caller was told so.
    NotRun,
    /// It may have run; the caller got no whole answer.
    Unknown,
    /// It was wrong or not allowed.
    Rejected,
    /// The caller went away first.
    CallerLeft,
}

impl RequestEnd {
    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Failed => "failed",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
            Self::Rejected => "rejected",
            Self::CallerLeft => "caller_left",
        }
    }
}

/// One request from its arrival to its end.
pub struct RequestTrace {
    shared: Arc<FleetShared>,
    /// Id that the caller gave the attempt.
    pub request_id: RequestId,
    /// Fingerprint, once the request was read.
    pub fingerprint: Option<RequestPrint>,
    /// When its head was read.
    pub arrived: Moment,
    /// Organisation.
    pub organisation: OrganisationId,
    /// Rule that matched.
    pub rule: String,
    /// Configuration that the rule is from.
    pub config_version: ConfigVersion,
    /// Service.
    pub service: ServiceId,
    /// Target of the last attempt.
    pub target: TargetId,
    /// Group of the last attempt.
    pub group: GroupId,
    /// Tokens of its prompt; zero where it has none.
    pub prompt_tokens: u64,
    /// Most tokens that its answer may have; zero where the caller does not say.
    pub max_tokens: u64,
    /// Time that the caller said it would wait.
    pub timeout: Duration,
    /// Time for which the caller is thought to have waited before.
    pub waited_before: Duration,
    /// Attempts sent.
    pub attempts_sent: u32,
    /// Runs of this attempt whose connection broke.
    pub broken_runs: usize,
    /// Why the last attempt or the request failed.
    pub reason: &'static str,
    /// Time until the first place at a target was found.
    pub slot_wait: Option<Duration>,
    /// Time to the first event.
    pub first_event: Option<Duration>,
    /// Longest pause between events.
    pub longest_pause: Duration,
    /// Events delivered.
    pub events: u64,
    end: Option<RequestEnd>,
}

impl RequestTrace {
    /// Begins a request.
    pub fn begin(shared: &Arc<FleetShared>, request: &str, arrived: Moment) -> Self {
        shared.in_flight.fetch_add(1, Ordering::SeqCst);
        Self {
            shared: Arc::clone(shared),
            request_id: request.to_owned(),
            fingerprint: None,
            arrived,
            organisation: OrganisationId::new(),
            rule: String::new(),
            config_version: 0,
            service: ServiceId::new(),
            target: TargetId::new(),
            group: GroupId::new(),
            prompt_tokens: 0,
            max_tokens: 0,
            timeout: Duration::ZERO,
            waited_before: Duration::ZERO,
            attempts_sent: 0,
            broken_runs: 0,
            reason: "",
            slot_wait: None,
            first_event: None,
            longest_pause: Duration::ZERO,
            events: 0,
            end: None,
        }
    }

    /// Returns the fingerprint for the log; empty until the request was read.
    pub fn fingerprint_text(&self) -> String {
        self.fingerprint
            .map(|print| print.to_string())
            .unwrap_or_default()
    }

    /// Notes how the request ended.
    pub fn end(&mut self, end: RequestEnd) {
        self.end.get_or_insert(end);
    }

    /// Notes that an attempt failed, and why.
    pub fn record_failed_attempt(&mut self, reason: &'static str) {
        self.reason = reason;
        log::info!(
            request = self.request_id.as_str(),
            target_id = self.target.as_str(),
            group = self.group.as_str(),
            reason = reason,
            attempt = self.attempts_sent + 1,
            ms = BootClock::now().saturating_sub(self.arrived).as_millis() as u64;
            "attempt_failed"
        );
    }

    /// Notes that a place at a target was found.
    pub fn record_slot(&mut self) {
        let waited = BootClock::now().saturating_sub(self.arrived);
        self.slot_wait.get_or_insert(waited);
    }

    /// Notes that the first event went to the caller.
    pub fn record_first_event(&mut self) {
        if self.first_event.is_none() {
            let latency = BootClock::now().saturating_sub(self.arrived);
            self.first_event = Some(latency);
            self.shared
                .metrics
                .record_first_event(&self.service, latency);
        }
    }
}

impl Drop for RequestTrace {
    fn drop(&mut self) {
        self.shared.in_flight.fetch_sub(1, Ordering::SeqCst);
        let end = self.end.unwrap_or(RequestEnd::CallerLeft);
        let latency = BootClock::now().saturating_sub(self.arrived);
        let labels = RequestLabels {
            organisation: &self.organisation,
            service: &self.service,
            outcome: end.name(),
        };
        self.shared.metrics.count_request(labels, latency);
        log::info!(
            request = self.request_id.as_str(),
            print = self.fingerprint_text().as_str(),
            organisation = self.organisation.as_str(),
            rule = self.rule.as_str(),
            config = self.config_version,
            config_age_ms = self.shared.config_age().as_millis() as u64,
            service = self.service.as_str(),
            target_id = self.target.as_str(),
            group = self.group.as_str(),
            outcome = end.name(),
            reason = self.reason,
            prompt_tokens = self.prompt_tokens,
            most_tokens = self.max_tokens,
            sent = self.attempts_sent,
            events = self.events,
            patience_ms = self.timeout.as_millis() as u64,
            before_ms = self.waited_before.as_millis() as u64,
            wait_ms = self.slot_wait.map_or(0, |waited| waited.as_millis() as u64),
            first_ms = self.first_event.map_or(0, |first| first.as_millis() as u64),
            pause_ms = self.longest_pause.as_millis() as u64,
            ms = latency.as_millis() as u64;
            "request_ended"
        );
    }
}
