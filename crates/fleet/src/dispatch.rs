//! Sends an accepted request to one target.

use std::sync::Arc;
use std::time::Duration;

use briarswitch_core::id::*;
use briarswitch_core::outcome::FailurePoint;
use briarswitch_http::{
    full_body, BodyError, SendError, SendProgress, TargetAddress, TargetBody, TargetClient,
    TargetLimits, TargetResponse,
};
use briarswitch_kernel::{BootClock, Mailbox};
use bytes::Bytes;
use http::header::HOST;
use http::{HeaderValue, Uri};

use crate::body_check;
use crate::budget::RetryBudgets;
use crate::failure::{implies_not_run, FailedAttempt, HeadWaitError};
use crate::forwarder::RequestForwarder;
use crate::gauge::SlotGuard;
use crate::job::{RequestJob, ResponseStart};
use crate::peers::PeerMessage;
use crate::ports::{ResponseInfo, TargetRequestInfo};
use crate::queue_coordinator::QueueCoordinator;
use crate::reach_monitor::ReachReporter;
use crate::routing_table::RouteTarget;
use crate::run::{RunListeners, TargetRun};
use crate::shared::FleetShared;
use crate::speed_sample::AwaitedResponse;
use crate::statement_recorder::StatementRecorder;
use crate::suspicion::{reroute_delay, silence_limit_for, SuspicionReporter};
use crate::target_selector::TargetSelector;

/// Maximum number of idle connections kept per target.
const MAX_IDLE_CONNECTIONS: usize = 16;
/// Share of a target's connection limit that all nodes together may hold idle.
///
/// A target resets connections beyond its limit. An at-most-once request on such a connection cannot be retried, since
/// it is unknown whether it ran. Six nodes with 16 idle connections each would hold twice the 48 connections that the
/// smallest services allow.
const IDLE_CONNECTION_SHARE: f64 = 0.4;
/// Time-out for connecting to a target; a healthy target accepts within a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval at which a target is checked for silence while a response or the next part of a stream is awaited.
pub(crate) const SILENCE_POLL_INTERVAL: Duration = Duration::from_millis(40);
/// Largest buffered response in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// Lowest priority that targets accept, as the largest number; zero is the highest priority.
const LOWEST_PRIORITY: u8 = 9;

/// An attempt that was sent to a target and has no response yet.
struct SentAttempt {
    target: Arc<RouteTarget>,
    slot: SlotGuard,
    run: TargetRun,
    sent_at: Moment,
    awaited: AwaitedResponse,
}

/// Dispatches requests to targets.
pub struct FleetDispatcher {
    shared: Arc<FleetShared>,
    client: TargetClient,
    budgets: RetryBudgets,
    selector: Arc<TargetSelector>,
    suspicion: SuspicionReporter,
    reach: ReachReporter,
    forwarder: RequestForwarder,
    statements: StatementRecorder,
    run_listeners: RunListeners,
}

impl FleetDispatcher {
    /// Creates a dispatcher that reports silent targets to `peers`, failures to reach targets to `reach`, and runs that
    /// have ended to `run_listeners`; `coordinator` is that of this node.
    pub fn new(
        shared: Arc<FleetShared>,
        peers: Mailbox<PeerMessage>,
        reach: ReachReporter,
        run_listeners: RunListeners,
        coordinator: Arc<QueueCoordinator>,
    ) -> Arc<Self> {
        let client = TargetClient::new(TargetLimits {
            connect_timeout: CONNECT_TIMEOUT,
            max_idle: MAX_IDLE_CONNECTIONS,
        });
        Arc::new(Self {
            budgets: RetryBudgets::new(Arc::clone(&shared)),
            selector: TargetSelector::new(Arc::clone(&shared), coordinator),
            statements: StatementRecorder::new(Arc::clone(&shared)),
            forwarder: RequestForwarder::new(Arc::clone(&shared)),
            suspicion: SuspicionReporter::new(Arc::clone(&shared), peers),
            reach,
            shared,
            client,
            run_listeners,
        })
    }

    /// Returns the shared state of the node.
    pub fn shared(&self) -> &Arc<FleetShared> {
        &self.shared
    }

    /// Returns the selector of targets.
    pub fn selector(&self) -> &TargetSelector {
        &self.selector
    }

    /// Returns the reporter of silent targets.
    pub fn suspicion(&self) -> &SuspicionReporter {
        &self.suspicion
    }

    /// Returns the reporter of failures to reach targets.
    pub fn reach(&self) -> &ReachReporter {
        &self.reach
    }

    /// Returns the retry budgets.
    pub fn budgets(&self) -> &RetryBudgets {
        &self.budgets
    }

    /// Returns the forwarder of requests to other nodes.
    pub(crate) fn forwarder(&self) -> &RequestForwarder {
        &self.forwarder
    }

    /// Returns whether a request is quarantined now.
    pub(crate) fn is_quarantined(&self, job: &RequestJob) -> bool {
        self.shared.suspects.barred(&job.suspects).is_some()
    }

    /// Sends a request to a target and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Returns the failed attempt, with the target's error response if it sent one.
    pub async fn send(
        &self,
        job: &RequestJob,
        target: Arc<RouteTarget>,
        slot: SlotGuard,
        last_event: Option<&str>,
        may_reroute: bool,
    ) -> Result<ResponseStart, FailedAttempt> {
        let now = BootClock::now();
        let remaining = self.shared.exit.bound(job.deadline).saturating_sub(now);
        if remaining.is_zero() {
            return Err(FailurePoint::QueueDeadline.into());
        }
        // While it waited for a slot, the same request may have crashed a target through another node.
        if self.is_quarantined(job) {
            return Err(FailurePoint::Quarantined.into());
        }
        self.statements.log_choice(job, &target, now);
        let mut awaited = AwaitedResponse::begin(&self.shared, job, &target, now);
        let request = self.build_request(job, &target, remaining, last_event);
        let address = TargetAddress {
            address: target.address.clone(),
            incarnation: 0,
        };
        // A target may close an idle connection just as it is reused. It would then be unknown whether an at-most-once
        // request has run, so such requests use a new connection.
        let needs_new_connection = !job.rule.is_repeatable();
        let client = self.client.with_max_idle(self.idle_limit(job));
        let progress = SendProgress::default();
        let sending = client.send_tracked(&address, request, needs_new_connection, &progress);
        let mut run = TargetRun::start(job.run_info(&target, now), self.run_listeners.clone());
        match self
            .wait_head(sending, &progress, job, &target, &mut awaited, may_reroute)
            .await
        {
            Ok(reply) => {
                let attempt = SentAttempt {
                    target,
                    slot,
                    run,
                    sent_at: now,
                    awaited,
                };
                self.check_head(job, attempt, reply).await
            }
            Err(error) => {
                target.gauge.record_outcome(true);
                if let HeadWaitError::Send(_) = error {
                    self.reach.report_failure(&target.id);
                }
                match error {
                    HeadWaitError::Send(SendError::Broken | SendError::InvalidHead) => {
                        run.report_broken(FailurePoint::from(error).code());
                    }
                    HeadWaitError::Send(SendError::Refused) => {
                        // No process listens at the address. Until the directory removes the target, seconds later, it
                        // would appear to have the least load and be selected again and again.
                        run.end_unreported();
                        self.suspicion.suspect(&target, BootClock::now());
                    }
                    HeadWaitError::Send(_) => run.end_unreported(),
                    HeadWaitError::Deadline | HeadWaitError::Rerouted => {}
                }
                Err(error.into())
            }
        }
    }

    /// Returns how many idle connections this node keeps to each target of the job's service.
    fn idle_limit(&self, job: &RequestJob) -> usize {
        let config = job.config.as_ref().as_ref();
        let service = config.and_then(|config| config.services.get(&job.service));
        let max_connections = service.map_or(0, |service| service.max_connections);
        let share = f64::from(max_connections) * IDLE_CONNECTION_SHARE
            / f64::from(self.shared.live_view.read().live_nodes());
        (share as usize).clamp(1, MAX_IDLE_CONNECTIONS)
    }

    /// Waits for the head of the response, and ends the wait early if the request is better sent to another target.
    async fn wait_head(
        &self,
        sending: impl std::future::Future<Output = Result<TargetResponse, SendError>>,
        progress: &SendProgress,
        job: &RequestJob,
        target: &RouteTarget,
        awaited: &mut AwaitedResponse,
        may_reroute: bool,
    ) -> Result<TargetResponse, HeadWaitError> {
        tokio::pin!(sending);
        let reroute_delay = reroute_delay(job);
        loop {
            match tokio::time::timeout(SILENCE_POLL_INTERVAL, &mut sending).await {
                Ok(Ok(reply)) => return Ok(reply),
                Ok(Err(failure)) => return Err(HeadWaitError::Send(failure)),
                Err(_) => {}
            }
            let now = BootClock::now();
            if now >= job.deadline {
                return Err(HeadWaitError::Deadline);
            }
            let may_forward = job.owns_retries() && self.shared.reach.is_partitioned();
            if may_forward && !progress.has_begun() {
                return Err(HeadWaitError::Send(SendError::Connect));
            }
            let waited = now.saturating_sub(awaited.begun_at());
            awaited.check_overdue(&self.shared, target, now);
            let limit = silence_limit_for(job, target);
            let is_silent = waited > limit && target.gauge.silence(now) > limit;
            if is_silent {
                self.suspicion.suspect(target, now);
            }
            if may_forward && may_reroute && self.may_repeat(job) {
                return Err(HeadWaitError::Rerouted);
            }
            // Rerouting processes the prompt twice, so a request that is only queued stays at its target.
            let is_overdue = is_silent || waited > reroute_delay.max(limit);
            let is_targets_fault = !self.shared.doubts_reach(now);
            if is_overdue && is_targets_fault && may_reroute && self.can_reroute(job, target) {
                return Err(HeadWaitError::Rerouted);
            }
        }
    }

    /// Returns whether another target can take the request now; if not, waiting for the slow one is best.
    fn can_reroute(&self, job: &RequestJob, from: &RouteTarget) -> bool {
        let slot_request = job.slot_request(std::slice::from_ref(&from.id));
        self.may_repeat(job) && self.selector.has_slot(&slot_request)
    }

    fn may_repeat(&self, job: &RequestJob) -> bool {
        job.rule.is_repeatable() && self.budgets.can_withdraw(&job.service)
    }

    /// Checks that a response head comes from the right target, and updates the target's gauge.
    async fn check_head(
        &self,
        job: &RequestJob,
        attempt: SentAttempt,
        reply: TargetResponse,
    ) -> Result<ResponseStart, FailedAttempt> {
        let SentAttempt {
            target,
            mut slot,
            mut run,
            sent_at,
            awaited,
        } = attempt;
        let TargetResponse { head, body } = reply;
        let info = self
            .shared
            .platform
            .protocol
            .parse_response(head.status, &head.headers);
        let now = BootClock::now();
        self.statements
            .record_response(job, &target, &info, sent_at);
        if info.is_not_run || info.is_other_incarnation {
            run.end_unreported();
            target.gauge.record_outcome(true);
            slot.silence();
            if info.is_other_incarnation || info.failed_member.is_some() {
                self.suspicion.suspect(&target, now);
            }
            return Err(FailurePoint::TargetRefused.into());
        }
        target.gauge.record_activity(now);
        if let (Some(running), Some(waiting)) = (info.running, info.waiting) {
            target.gauge.record_reported_load(running, waiting, now);
        }
        let is_same_attempt = info.attempt.as_deref() == Some(job.request.attempt.as_str());
        if !is_same_attempt {
            return Err(FailurePoint::ForeignAnswer.into());
        }
        target.gauge.statements().record_accepted(sent_at);
        if head.status.is_success() && is_complete_response(&info) {
            target.gauge.record_outcome(false);
            return Ok(ResponseStart {
                target,
                slot: Some(slot),
                head,
                body,
                run,
                awaited,
            });
        }
        target.gauge.record_outcome(true);
        if head.status.is_success() {
            run.end_unreported();
            return Err(FailurePoint::Truncated.into());
        }
        Err(self.target_failure(job, head, &info, body, run).await)
    }

    /// Reads a target's error response, so that it can be passed on if no other attempt succeeds.
    async fn target_failure(
        &self,
        job: &RequestJob,
        head: http::response::Parts,
        info: &ResponseInfo,
        body: TargetBody,
        mut run: TargetRun,
    ) -> FailedAttempt {
        let remaining = job.deadline.saturating_sub(BootClock::now());
        let reading = self.read_complete(&run, body);
        let read = tokio::time::timeout(remaining, reading).await;
        match read {
            Ok(Err(BodyError::Incomplete)) => run.report_broken("truncated"),
            _ => run.end_unreported(),
        }
        let point = FailurePoint::TargetError;
        match read {
            // To the caller some statuses guarantee that the request has not run, so these are never passed on here.
            Ok(Ok(bytes)) if info.is_signed && !implies_not_run(head.status) => FailedAttempt {
                response: Some(Box::new((head, bytes))),
                ..point.into()
            },
            _ => point.into(),
        }
    }

    /// Reads the body of a response that is not a stream, and releases the slot.
    pub(crate) async fn read_response(
        &self,
        job: &RequestJob,
        response: ResponseStart,
    ) -> Result<(http::response::Parts, Bytes), FailurePoint> {
        let ResponseStart {
            target,
            mut slot,
            head,
            body,
            mut run,
            mut awaited,
        } = response;
        let remaining = job.deadline.saturating_sub(BootClock::now());
        let reading = self.read_complete(&run, body);
        let read = tokio::time::timeout(remaining, reading).await;
        if matches!(read, Ok(Ok(_))) {
            slot.iter_mut().for_each(SlotGuard::end_prefill);
        }
        drop(slot);
        self.selector.serve_queue();
        match read {
            Ok(Ok(bytes)) => {
                awaited.record_end(&self.shared, job, &target, BootClock::now());
                run.complete(&self.shared.suspects);
                Ok((head, bytes))
            }
            Ok(Err(_)) => {
                run.report_broken("truncated");
                target.gauge.record_outcome(true);
                Err(FailurePoint::Truncated)
            }
            Err(_) => Err(FailurePoint::AnswerDeadline),
        }
    }

    /// Reads the body of a run's response, and checks that it is complete.
    async fn read_complete(&self, run: &TargetRun, body: TargetBody) -> Result<Bytes, BodyError> {
        let body = body.read_all(MAX_RESPONSE_BYTES).await?;
        let host: &FleetShared = &self.shared;
        body_check::complete_body(host, run, body).await
    }

    fn build_request(
        &self,
        job: &RequestJob,
        target: &RouteTarget,
        remaining: Duration,
        last_event: Option<&str>,
    ) -> http::Request<http_body_util::Full<Bytes>> {
        let request_info = TargetRequestInfo {
            target: &target.id,
            organisation: job.organisation.as_deref(),
            remaining,
            priority: job.priority.min(LOWEST_PRIORITY),
            last_event,
        };
        let mut request = http::Request::new(full_body(job.body.clone()));
        *request.method_mut() = job.method.clone();
        *request.uri_mut() = job.path.parse::<Uri>().unwrap_or_default();
        *request.headers_mut() = self
            .shared
            .platform
            .protocol
            .target_headers(&job.headers, request_info);
        if !request.headers().contains_key(HOST) {
            if let Ok(host) = HeaderValue::from_str(&job.request.host) {
                request.headers_mut().insert(HOST, host);
            }
        }
        request
    }
}

fn is_complete_response(info: &ResponseInfo) -> bool {
    info.is_signed && !info.is_reencoded
}
