//! Record of one request, which is logged in one line when the request ends.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use briarswitch_core::id::*;
use briarswitch_core::outcome::{FailurePoint, Outcome};
use briarswitch_core::run_suspects::RunSuspects;
use briarswitch_kernel::BootClock;

use crate::failure::FailedAttempt;
use crate::forward::ForwardedHead;
use crate::gauge::TargetGauge;
use crate::metrics::RequestLabels;
use crate::restriction::PassedOver;
use crate::routing_table::RouteTarget;
use crate::shared::FleetShared;
use crate::slot_forecast::ForecastRefusal;
use crate::target_speed::rounded;

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestEnd {
    /// The caller received a target's complete response.
    Answered,
    /// The caller received a target's error response.
    Failed,
    /// No target ran the request, and the response to the caller says so.
    NotRun,
    /// The request may have run; the caller received no complete response.
    Unknown,
    /// The request was invalid or not allowed.
    Rejected,
    /// The caller disconnected before the response was complete.
    CallerLeft,
}

impl RequestEnd {
    /// Returns how a request ended that is dropped before its end: its caller left, or its handling panicked.
    fn of_dropped() -> Self {
        if std::thread::panicking() {
            Self::Unknown
        } else {
            Self::CallerLeft
        }
    }

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

/// Record of one request from its arrival to its end; dropping it logs and counts the request.
pub struct RequestTrace {
    shared: Arc<FleetShared>,
    /// Id that the caller gave to the attempt.
    pub request_id: RequestId,
    /// Fingerprints of the request and of the parts of its prompt; `None` until the request has been read.
    pub suspects: Option<RunSuspects>,
    /// Time at which the head of the request was read.
    pub arrived: Moment,
    /// Organisation of the caller; empty if no key is required.
    pub organisation: OrganisationId,
    /// Name of the rule that matched.
    pub rule: String,
    /// Version of the configuration that contains the rule.
    pub config_version: ConfigVersion,
    /// Service that the rule selected.
    pub service: ServiceId,
    /// Target of the last attempt.
    pub target: TargetId,
    /// Group of the last attempt.
    pub group: GroupId,
    /// Number of tokens of the prompt; zero if there is none.
    pub prompt_tokens: u64,
    /// Maximum number of tokens of the response; zero if the caller does not state it.
    pub max_tokens: u64,
    /// Time for which the caller waits for the response.
    pub timeout: Duration,
    /// Estimated time for which the caller had waited before this attempt.
    pub waited_before: Duration,
    /// Number of attempts sent to targets.
    pub attempts_sent: u32,
    /// Number of runs whose connection broke.
    pub broken_runs: usize,
    /// Reason why the last attempt or the request failed.
    pub reason: &'static str,
    /// Time from arrival until the first slot at a target was reserved.
    pub slot_wait: Option<Duration>,
    /// Time from arrival until the first event was sent to the caller.
    pub first_event: Option<Duration>,
    /// Targets that could not be used for the last attempt.
    pub passed_over: PassedOver,
    /// Node that granted the slot of the last attempt; empty if this node found it by itself.
    pub granted_by: NodeId,
    /// Forecast because of which the request was refused, if it was.
    pub forecast: Option<ForecastRefusal>,
    /// Node to which the request was last forwarded; empty if it was not.
    pub forwarded_to: NodeId,
    /// Node that forwarded the request; empty if it came from its caller.
    forwarded_by: NodeId,
    /// Longest pause between two events.
    pub longest_pause: Duration,
    /// Number of events sent to the caller.
    pub events: u64,
    /// By how much the target of the last attempt was slower than the median of those of its kind, as known then.
    pub speed_ratio: f64,
    end: Option<RequestEnd>,
}

impl RequestTrace {
    /// Starts the record of a request, which counts as in flight until the record is dropped.
    pub fn begin(shared: &Arc<FleetShared>, request_id: &str, arrived: Moment) -> Self {
        shared.in_flight.fetch_add(1, Ordering::SeqCst);
        Self {
            shared: Arc::clone(shared),
            request_id: request_id.to_owned(),
            suspects: None,
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
            passed_over: PassedOver::default(),
            granted_by: NodeId::new(),
            forecast: None,
            forwarded_to: NodeId::new(),
            forwarded_by: NodeId::new(),
            longest_pause: Duration::ZERO,
            events: 0,
            speed_ratio: 1.0,
            end: None,
        }
    }

    /// Returns the fingerprint as text; empty until the request has been read.
    pub fn fingerprint_text(&self) -> String {
        let suspects = self.suspects.as_ref();
        suspects
            .map(|suspects| suspects.request().to_string())
            .unwrap_or_default()
    }

    fn parts_text(&self) -> String {
        let suspects = self.suspects.as_ref();
        suspects.map(RunSuspects::parts_text).unwrap_or_default()
    }

    /// Sets how the request ended; later calls have no effect.
    pub fn end(&mut self, end: RequestEnd) {
        self.end.get_or_insert(end);
    }

    /// Records and logs an attempt at the target with this gauge that failed.
    pub fn record_failed_attempt(
        &mut self,
        failed: &FailedAttempt,
        gauge: &TargetGauge,
        sent_at: Moment,
    ) {
        self.reason = failed.point.code();
        let now = BootClock::now();
        let contact = self.shared.gauges.contact(now);
        log::info!(
            request = self.request_id.as_str(),
            target_id = self.target.as_str(),
            group = self.group.as_str(),
            reason = self.reason,
            connection = failed.connection.name(),
            attempt = self.attempts_sent + 1,
            took_ms = now.saturating_sub(sent_at).as_millis() as u64,
            silence_ms = contact.silence.map_or(-1, |silence| silence.as_millis() as i64),
            heard = contact.heard,
            awaited = contact.awaited,
            peer_requests = gauge.remote_requests(),
            peer_suspected = gauge.is_suspect_to_peer(now),
            ms = now.saturating_sub(self.arrived).as_millis() as u64;
            "attempt_failed"
        );
    }

    /// Logs and counts the end of a response's body that only the end of its connection shows.
    pub fn record_unmarked_end(&self, partial_bytes: usize, is_complete: bool) {
        self.shared.metrics.count_unmarked_end(is_complete);
        log::info!(
            request = self.request_id.as_str(),
            target_id = self.target.as_str(),
            group = self.group.as_str(),
            forwarded_to = self.forwarded_to.as_str(),
            events = self.events,
            partial_bytes = partial_bytes,
            complete = is_complete,
            ms = BootClock::now().saturating_sub(self.arrived).as_millis() as u64;
            "end_unmarked"
        );
    }

    /// Records that another node forwarded the request after so many attempts; it counts as in flight for that node.
    pub fn record_sender(&mut self, sender: &NodeId, attempts_sent: u32) {
        self.attempts_sent = attempts_sent;
        self.forwarded_by.clone_from(sender);
        self.shared
            .forwarded_in_flight
            .fetch_add(1, Ordering::SeqCst);
    }

    /// Records that another node relays a target's response.
    pub fn record_peer(&mut self, peer: &NodeId, head: &ForwardedHead) {
        self.forwarded_to.clone_from(peer);
        self.group.clear();
        // That node logs what it knew of the target.
        self.speed_ratio = 1.0;
        self.target.clone_from(&head.target);
        self.attempts_sent = head.attempts_sent;
    }

    /// Records the target of an attempt.
    pub fn record_target(&mut self, target: &RouteTarget) {
        self.target.clone_from(&target.id);
        self.speed_ratio = target.gauge.speed().ratio();
        self.forwarded_to.clear();
        if let Some(group) = &target.group {
            self.group.clone_from(&group.id);
        }
    }

    /// Sets that the request ended without a target's response.
    pub fn end_failed(&mut self, point: FailurePoint) {
        self.reason = point.code();
        self.end(match point.outcome() {
            Outcome::NotRun => RequestEnd::NotRun,
            _ => RequestEnd::Unknown,
        });
    }

    /// Records that a slot at a target was reserved.
    pub fn record_slot(&mut self) {
        let waited = BootClock::now().saturating_sub(self.arrived);
        self.slot_wait.get_or_insert(waited);
    }

    /// Records that the first event was sent to the caller.
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
        if !self.forwarded_by.is_empty() {
            self.shared
                .forwarded_in_flight
                .fetch_sub(1, Ordering::SeqCst);
        }
        let end = self.end.unwrap_or_else(RequestEnd::of_dropped);
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
            parts = self.parts_text().as_str(),
            organisation = self.organisation.as_str(),
            rule = self.rule.as_str(),
            config = self.config_version,
            config_age_ms = self.shared.config_age().as_millis() as u64,
            service = self.service.as_str(),
            target_id = self.target.as_str(),
            group = self.group.as_str(),
            forwarded_to = self.forwarded_to.as_str(),
            forwarded_by = self.forwarded_by.as_str(),
            granted_by = self.granted_by.as_str(),
            outcome = end.name(),
            reason = self.reason,
            prompt_tokens = self.prompt_tokens,
            most_tokens = self.max_tokens,
            sent = self.attempts_sent,
            events = self.events,
            limited = self.passed_over.limited,
            backing_off = self.passed_over.backing_off,
            leaving = self.passed_over.leaving,
            forecast_ms = self.forecast.map_or(0, |forecast| forecast.logged_ms()),
            patience_ms = self.timeout.as_millis() as u64,
            before_ms = self.waited_before.as_millis() as u64,
            wait_ms = self.slot_wait.map_or(0, |wait| wait.as_millis() as u64),
            first_ms = self.first_event.map_or(0, |first| first.as_millis() as u64),
            speed_ratio = rounded(self.speed_ratio),
            pause_ms = self.longest_pause.as_millis() as u64,
            ms = latency.as_millis() as u64;
            "request_ended"
        );
    }
}
