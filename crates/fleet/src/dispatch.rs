//! Takes an identified request to a target, and to another where that is allowed.

use std::sync::Arc;
use std::time::Duration;

use briarswitch_core::id::*;
use briarswitch_core::outcome::{FailurePoint, Outcome};
use briarswitch_http::{
    stream_body, whole_body, Response, SendFailure, TargetAddress, TargetBody, TargetClient,
    TargetLimits, TargetReply,
};
use briarswitch_kernel::{BootClock, Mailbox};
use bytes::Bytes;
use http::header::{CONTENT_LENGTH, HOST};
use http::{HeaderValue, Uri};

use crate::budget::RetryBudgets;
use crate::failure::{is_promise, worst_of, FailedAttempt, FailureSign, WaitEnd};
use crate::gauge::GaugePlace;
use crate::job::{BegunAnswer, RequestJob};
use crate::peers::PeerMessage;
use crate::placer::TargetPlacer;
use crate::ports::{AnswerFacts, TargetMark};
use crate::refusal::OwnAnswer;
use crate::relay::StreamRelay;
use crate::run::{RunReports, TargetRun};
use crate::shared::FleetShared;
use crate::suspicion::{reroute_delay, silence_limit_for, SuspicionReporter};
use crate::table::RouteTarget;
use crate::trace::{RequestEnd, RequestTrace};

/// Most idle connections kept for one target.
const IDLE_CONNECTIONS: usize = 16;
/// Part of a target's connections that all nodes together may hold without using them.
///
/// A target resets what comes beyond its limit, and a request that runs at most once is then lost, for
/// nobody can say whether it ran. Six nodes that keep 16 each hold twice the 48 that the smallest
/// services take.
const IDLE_SHARE: f64 = 0.4;
/// Time to open a connection to a target; a healthy one takes a few milliseconds.
const CONNECT_TIME: Duration = Duration::from_millis(400);
/// Time between looks at whether a target that an answer or stream is awaited from is silent.
pub(crate) const SILENCE_CHECK: Duration = Duration::from_millis(40);
/// Attempts of one request that reached nobody in the time for it, after which it is given up.
const UNREACHED_LIMIT: u32 = 4;
/// Largest whole answer in bytes.
const ANSWER_BYTES: usize = 64 << 20;
/// Largest rank that targets know; zero goes first.
const LAST_RANK: u8 = 9;

/// Carries requests out.
pub struct FleetDispatcher {
    shared: Arc<FleetShared>,
    client: TargetClient,
    budgets: RetryBudgets,
    placer: TargetPlacer,
    suspicion: SuspicionReporter,
    reports: RunReports,
}

impl FleetDispatcher {
    /// Opens a dispatcher that tells `peers` of targets that fall silent.
    ///
    /// `reports` hear how runs end.
    pub fn open(
        shared: Arc<FleetShared>,
        peers: Mailbox<PeerMessage>,
        reports: RunReports,
    ) -> Arc<Self> {
        let client = TargetClient::open(TargetLimits {
            connect: CONNECT_TIME,
            idle: IDLE_CONNECTIONS,
        });
        Arc::new(Self {
            budgets: RetryBudgets::open(Arc::clone(&shared)),
            placer: TargetPlacer::open(Arc::clone(&shared)),
            shared,
            client,
            suspicion: SuspicionReporter::new(peers),
            reports,
        })
    }

    /// Returns the node's state.
    pub fn shared(&self) -> &Arc<FleetShared> {
        &self.shared
    }

    /// Returns what finds places.
    pub fn placer(&self) -> &TargetPlacer {
        &self.placer
    }

    /// Returns what keeps work from targets that fall silent.
    pub fn suspicion(&self) -> &SuspicionReporter {
        &self.suspicion
    }

    /// Returns the budgets of retries.
    pub fn budgets(&self) -> &RetryBudgets {
        &self.budgets
    }

    /// Carries a request out and builds its response.
    pub async fn run(self: &Arc<Self>, job: RequestJob, mut trace: RequestTrace) -> Response {
        self.budgets.earn(&job.service);
        if self.shared.suspects.quarantine_left(&job.print).is_some() {
            return self.give_up(FailurePoint::Quarantined, &mut trace);
        }
        let mut tried: Vec<TargetId> = Vec::new();
        let mut unreached = 0;
        let mut worst: Option<FailurePoint> = None;
        loop {
            let (target, place) = match self.placer.place(&job, &tried).await {
                Ok(placed) => placed,
                Err(point) => return self.give_up(worst_of(worst, point), &mut trace),
            };
            note_target(&mut trace, &target);
            trace.note_placed();
            let last_event = job.ask.last_event.clone();
            let may_move = trace.sent + 1 < job.rule.max_attempts;
            let begun = self
                .begin(&job, target, place, last_event.as_deref(), may_move)
                .await;
            let failed = match begun {
                Ok(begun) if job.is_stream() => return self.stream(job, begun, trace),
                Ok(begun) => match self.finish(&job, begun).await {
                    Ok((head, bytes)) => {
                        trace.end(RequestEnd::Answered);
                        return self.whole(head, bytes);
                    }
                    Err(point) => FailedAttempt::after_head(point),
                },
                Err(failed) => failed,
            };
            let point = failed.point;
            trace.note_failed(point.code());
            tried.push(trace.target.clone());
            let reached = !matches!(
                point,
                FailurePoint::Connect | FailurePoint::ClosedBeforeSend
            );
            match failed.sign {
                _ if reached => trace.sent += 1,
                // A refusal takes a millisecond, and each target is tried once: not worth sending the caller away.
                FailureSign::Refused => {}
                FailureSign::Plain | FailureSign::Broke => unreached += 1,
            }
            trace.broken += usize::from(failed.sign == FailureSign::Broke);
            let may_repeat = point.allows_retry(job.rule.is_repeatable())
                && self.shared.suspects.may_retry(&job.print, trace.broken)
                && trace.sent < job.rule.max_attempts
                && unreached < UNREACHED_LIMIT
                && BootClock::now() < job.deadline;
            if !may_repeat || (reached && !self.budgets.spend(&job.service)) {
                if let Some(answer) = failed.answer {
                    trace.end(RequestEnd::Failed);
                    return self.whole(answer.0, answer.1);
                }
                return self.give_up(worst_of(worst, point), &mut trace);
            }
            worst = Some(worst_of(worst, point));
        }
    }

    /// Sends a request and waits for the answer's head.
    ///
    /// # Errors
    ///
    /// Returns what failed, with the target's own answer where it made one.
    pub async fn begin(
        &self,
        job: &RequestJob,
        target: Arc<RouteTarget>,
        place: GaugePlace,
        last_event: Option<&str>,
        may_move: bool,
    ) -> Result<BegunAnswer, FailedAttempt> {
        let now = BootClock::now();
        let left = job.deadline.saturating_sub(now);
        if left.is_zero() {
            return Err(FailurePoint::QueueDeadline.into());
        }
        // It may have waited for a place since it came, and may have ended a target elsewhere meanwhile.
        if self.shared.suspects.quarantine_left(&job.print).is_some() {
            return Err(FailurePoint::Quarantined.into());
        }
        let request = self.request(job, &target, left, last_event);
        let address = TargetAddress {
            address: target.address.clone(),
            incarnation: 0,
        };
        // A kept connection may be closed by the target just when it is used, which would leave the
        // fate of a request that runs at most once open.
        let is_fresh = !job.rule.is_repeatable();
        let client = self.client.keeping(self.idle_limit(job));
        let sending = client.send(&address, request, is_fresh);
        let mut run = TargetRun::open(job.run_at(&target, now), self.reports.clone());
        match self.wait_head(sending, job, &target, now, may_move).await {
            Ok(reply) => self.check(job, target, place, reply, run).await,
            Err(end) => {
                target.gauge.note_outcome(true);
                match end {
                    WaitEnd::Failed(SendFailure::Broken) => run.broke("broken_before_head"),
                    WaitEnd::Failed(SendFailure::Refused) => {
                        // Nobody listens there. Until the directory drops it, seconds later, it would look like the
                        // target with the least work and be chosen first again and again.
                        run.settle();
                        self.suspicion.suspect(&target, BootClock::now());
                    }
                    WaitEnd::Failed(_) => run.settle(),
                    WaitEnd::Deadline | WaitEnd::Moved => {}
                }
                Err(end.into())
            }
        }
    }

    fn idle_limit(&self, job: &RequestJob) -> usize {
        let book = job.book.as_ref().as_ref();
        let service = book.and_then(|book| book.services.get(&job.service));
        let most = service.map_or(0, |service| service.max_connections);
        let share = f64::from(most) * IDLE_SHARE / f64::from(self.shared.live.read().live_nodes());
        (share as usize).clamp(1, IDLE_CONNECTIONS)
    }

    async fn wait_head(
        &self,
        sending: impl std::future::Future<Output = Result<TargetReply, SendFailure>>,
        job: &RequestJob,
        target: &RouteTarget,
        sent: Moment,
        may_move: bool,
    ) -> Result<TargetReply, WaitEnd> {
        tokio::pin!(sending);
        let patience = reroute_delay(job);
        loop {
            match tokio::time::timeout(SILENCE_CHECK, &mut sending).await {
                Ok(Ok(reply)) => return Ok(reply),
                Ok(Err(failure)) => return Err(WaitEnd::Failed(failure)),
                Err(_) => {}
            }
            let now = BootClock::now();
            if now >= job.deadline {
                return Err(WaitEnd::Deadline);
            }
            let waited = now.saturating_sub(sent);
            let limit = silence_limit_for(job, target);
            let is_silent = waited > limit && target.gauge.silence(now) > limit;
            if is_silent {
                self.suspicion.suspect(target, now);
            }
            // A prompt that is moved is read twice, so one that is only queued is left where it is.
            let is_worth_moving = is_silent || waited > patience.max(limit);
            if is_worth_moving && may_move && self.can_move(job, target) {
                return Err(WaitEnd::Moved);
            }
        }
    }

    /// Returns whether a request can go on elsewhere; if not, the slow target is still the best.
    fn can_move(&self, job: &RequestJob, from: &RouteTarget) -> bool {
        let ask = job.place_ask(std::slice::from_ref(&from.id));
        job.rule.is_repeatable()
            && self.budgets.has_any(&job.service)
            && self.placer.pick(&ask).is_some()
    }

    async fn check(
        &self,
        job: &RequestJob,
        target: Arc<RouteTarget>,
        place: GaugePlace,
        reply: TargetReply,
        mut run: TargetRun,
    ) -> Result<BegunAnswer, FailedAttempt> {
        let TargetReply { head, body } = reply;
        let facts = self
            .shared
            .platform
            .dialect
            .facts(head.status, &head.headers);
        let now = BootClock::now();
        if facts.is_not_run || facts.is_other_life {
            run.settle();
            target.gauge.note_outcome(true);
            if facts.is_other_life || facts.at_fault.is_some() {
                self.suspicion.suspect(&target, now);
            }
            return Err(FailurePoint::TargetRefused.into());
        }
        target.gauge.note_heard(now);
        if let (Some(running), Some(waiting)) = (facts.running, facts.waiting) {
            target.gauge.note_load(running, waiting, now);
        }
        let is_ours = facts.attempt.as_deref() == Some(job.ask.attempt.as_str());
        if !is_ours {
            return Err(FailurePoint::ForeignAnswer.into());
        }
        if head.status.is_success() && is_whole_answer(&facts) {
            target.gauge.note_outcome(false);
            return Ok(BegunAnswer {
                target,
                place: Some(place),
                head,
                body,
                run,
            });
        }
        run.settle();
        target.gauge.note_outcome(true);
        if head.status.is_success() {
            return Err(FailurePoint::Truncated.into());
        }
        Err(self.failure(job, head, &facts, body).await)
    }

    /// Keeps a failure that a target made, so that it can be passed on if nothing better comes.
    async fn failure(
        &self,
        job: &RequestJob,
        head: http::response::Parts,
        facts: &AnswerFacts,
        body: TargetBody,
    ) -> FailedAttempt {
        let left = job.deadline.saturating_sub(BootClock::now());
        let reading = body.read_whole(ANSWER_BYTES);
        let bytes = tokio::time::timeout(left, reading).await;
        let point = FailurePoint::TargetError;
        match bytes {
            // A status that promises "not run" is never passed on without the target's own word.
            Ok(Ok(bytes)) if facts.is_signed && !is_promise(head.status) => FailedAttempt {
                answer: Some(Box::new((head, bytes))),
                ..point.into()
            },
            _ => point.into(),
        }
    }

    async fn finish(
        &self,
        job: &RequestJob,
        begun: BegunAnswer,
    ) -> Result<(http::response::Parts, Bytes), FailurePoint> {
        let BegunAnswer {
            target,
            place,
            head,
            body,
            mut run,
        } = begun;
        let left = job.deadline.saturating_sub(BootClock::now());
        let read = tokio::time::timeout(left, body.read_whole(ANSWER_BYTES)).await;
        drop(place);
        self.placer.serve_queue();
        match read {
            Ok(Ok(bytes)) => {
                run.complete(&self.shared.suspects);
                Ok((head, bytes))
            }
            Ok(Err(_)) => {
                run.broke("truncated");
                target.gauge.note_outcome(true);
                Err(FailurePoint::Truncated)
            }
            Err(_) => Err(FailurePoint::AnswerDeadline),
        }
    }

    fn whole(&self, head: http::response::Parts, bytes: Bytes) -> Response {
        let length = HeaderValue::from(bytes.len() as u64);
        let mut response = Response::new(bytes.into());
        *response.status_mut() = head.status;
        *response.headers_mut() = self.shared.platform.dialect.to_caller(&head.headers);
        response.headers_mut().insert(CONTENT_LENGTH, length);
        response
    }

    fn stream(
        self: &Arc<Self>,
        job: RequestJob,
        begun: BegunAnswer,
        trace: RequestTrace,
    ) -> Response {
        let status = begun.head.status;
        let headers = self.shared.platform.dialect.to_caller(&begun.head.headers);
        let relay = StreamRelay::spawn(Arc::clone(self), job, begun, trace);
        let mut response = Response::new(stream_body(relay));
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        response
    }

    fn give_up(&self, point: FailurePoint, trace: &mut RequestTrace) -> Response {
        trace.reason = point.code();
        trace.end(match point.outcome() {
            Outcome::NotRun => RequestEnd::NotRun,
            _ => RequestEnd::Unknown,
        });
        let mut response = self.own_answer(point, trace).response();
        let dialect = &self.shared.platform.dialect;
        dialect.mark_own(response.headers_mut(), &trace.request);
        response
    }

    /// Returns what a caller is told of a request that ends without a target's answer.
    fn own_answer(&self, point: FailurePoint, trace: &RequestTrace) -> OwnAnswer {
        if point != FailurePoint::Quarantined {
            return OwnAnswer::at(point);
        }
        let left = trace
            .print
            .and_then(|print| self.shared.suspects.quarantine_left(&print));
        let left = left.unwrap_or_default();
        self.shared.metrics.count_refusal(&trace.organisation);
        log::info!(
            request = trace.request.as_str(),
            print = trace.print_text().as_str(),
            organisation = trace.organisation.as_str(),
            left_ms = left.as_millis() as u64;
            "quarantine_refused"
        );
        OwnAnswer::quarantined(left)
    }

    fn request(
        &self,
        job: &RequestJob,
        target: &RouteTarget,
        left: Duration,
        last_event: Option<&str>,
    ) -> http::Request<http_body_util::Full<Bytes>> {
        let mark = TargetMark {
            target: &target.id,
            organisation: job.organisation.as_deref(),
            left,
            priority: job.priority.min(LAST_RANK),
            last_event,
        };
        let mut request = http::Request::new(whole_body(job.body.clone()));
        *request.method_mut() = job.method.clone();
        *request.uri_mut() = job.path.parse::<Uri>().unwrap_or_default();
        *request.headers_mut() = self.shared.platform.dialect.to_target(&job.headers, mark);
        if !request.headers().contains_key(HOST) {
            if let Ok(host) = HeaderValue::from_str(&job.ask.host) {
                request.headers_mut().insert(HOST, host);
            }
        }
        request
    }
}

fn note_target(trace: &mut RequestTrace, target: &RouteTarget) {
    trace.target.clone_from(&target.id);
    if let Some(group) = &target.group {
        trace.group.clone_from(&group.id);
    }
}

fn is_whole_answer(facts: &AnswerFacts) -> bool {
    facts.is_signed && !facts.is_recoded
}
