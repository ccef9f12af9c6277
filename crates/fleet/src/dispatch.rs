//! Takes an identified request to a target, and to another where that is allowed.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use briarswitch_core::engine::EngineModel;
use briarswitch_core::id::*;
use briarswitch_core::outcome::{FailurePoint, Outcome};
use briarswitch_core::placement::{pick_group, GroupLoad};
use briarswitch_core::retry::RetryBudget;
use briarswitch_core::traffic::{AnswerKind, TrafficBook, TrafficRule};
use briarswitch_core::waiting::{WaitTerms, WaitingRequest};
use briarswitch_http::{
    stream_body, whole_body, Response, SendFailure, TargetAddress, TargetBody, TargetClient,
    TargetLimits, TargetReply,
};
use briarswitch_kernel::BootClock;
use bytes::Bytes;
use http::header::{CONTENT_LENGTH, HOST};
use http::{HeaderMap, HeaderValue, Method, StatusCode, Uri};
use indexmap::IndexMap;

use crate::gauge::GaugePlace;
use crate::ports::{AnswerFacts, CallerAsk, TargetMark};
use crate::queue::{wait_for_place, PlaceAsk, PlaceQueue, PlacedTarget, QueueKey};
use crate::refusal::OwnAnswer;
use crate::relay::StreamRelay;
use crate::shared::FleetShared;
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
/// Time between looks at whether the target that a request waits for has fallen silent.
const SILENCE_CHECK: Duration = Duration::from_millis(40);
/// Time between looks for a free place while nothing wakes the request.
const PLACE_CHECK: Duration = Duration::from_millis(25);
/// Attempts of one request that reached nobody, after which it is given up.
const UNREACHED_LIMIT: u32 = 4;
/// Least time without an answer after which a request that may be repeated is sent elsewhere.
const LEAST_PATIENCE: Duration = Duration::from_millis(500);
/// Largest whole answer in bytes.
const ANSWER_BYTES: usize = 64 << 20;
/// Largest rank that targets know; zero goes first.
const LAST_RANK: u8 = 9;
/// Passes without any event after which a group counts as silent.
const SILENT_PASSES: f64 = 4.0;
/// Least silence of a group that means anything; below it the network's delays show.
const LEAST_SILENCE: Duration = Duration::from_millis(180);
/// Factor on the longest of the last intervals between events.
const INTERVAL_FACTOR: f64 = 1.5;
/// Longest interval that counts as usual; a group that stalled must not teach patience.
const LONGEST_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which a silent target gets no new work.
const SUSPECT_TIME: Duration = Duration::from_millis(900);
/// Share of the bursts that the nodes' budgets add up to; the rest is kept for nodes unknown here.
const BURST_SHARE: f64 = 0.7;
/// Fewest nodes among which the burst of retries is divided.
const LEAST_NODES: usize = 6;

/// A request that was identified and matched by a rule.
pub struct RequestJob {
    /// What the caller asks.
    pub ask: CallerAsk,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers as received.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Rule that matched.
    pub rule: TrafficRule,
    /// Configuration that the rule is from.
    pub book: Arc<Option<TrafficBook>>,
    /// Service chosen.
    pub service: ServiceId,
    /// Organisation, if a key was asked for.
    pub organisation: Option<OrganisationId>,
    /// Rank; zero goes first.
    pub priority: u8,
    /// When its head was read.
    pub arrived: Moment,
    /// Time its caller had waited before it came here.
    pub waited_before: Duration,
    /// When the answer has to be there.
    pub deadline: Moment,
}

impl RequestJob {
    /// Returns the engine behind the service.
    pub fn engine(&self) -> Option<&EngineModel> {
        let book = self.book.as_ref().as_ref()?;
        book.services.get(&self.service)?.engine.as_ref()
    }

    /// Returns what the request needs of a target.
    pub fn place_ask(&self, tried: &[TargetId]) -> PlaceAsk {
        let model = self.engine().and(self.ask.model.clone());
        PlaceAsk {
            key: (self.service.clone(), model),
            prompt_tokens: self.ask.prompt_tokens,
            tried: tried.to_vec(),
            is_late: false,
        }
    }

    fn is_stream(&self) -> bool {
        matches!(self.rule.answer, AnswerKind::Events { .. })
    }
}

/// An answer that has begun.
pub struct BegunAnswer {
    /// Target.
    pub target: Arc<RouteTarget>,
    /// Place there, until the answer is over.
    pub place: Option<GaugePlace>,
    /// Status and headers.
    pub head: http::response::Parts,
    /// Body.
    pub body: TargetBody,
}

/// A failed attempt.
pub struct FailedAttempt {
    /// Point of failure.
    pub point: FailurePoint,
    /// The target's own answer, if it made one that may be passed on.
    pub answer: Option<Box<(http::response::Parts, Bytes)>>,
}

impl From<FailurePoint> for FailedAttempt {
    fn from(point: FailurePoint) -> Self {
        Self {
            point,
            answer: None,
        }
    }
}

/// Carries requests out.
pub struct FleetDispatcher {
    shared: Arc<FleetShared>,
    client: TargetClient,
    budgets: Mutex<IndexMap<ServiceId, RetryBudget>>,
    queue: PlaceQueue,
}

/// Takes a request out of the queue when its caller leaves or its place is found.
struct QueueGuard<'a> {
    queue: &'a PlaceQueue,
    key: &'a QueueKey,
    ticket: u64,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        self.queue.cancel(self.key, self.ticket);
    }
}

impl FleetDispatcher {
    /// Opens a dispatcher.
    pub fn open(shared: Arc<FleetShared>) -> Arc<Self> {
        let client = TargetClient::open(TargetLimits {
            connect: CONNECT_TIME,
            idle: IDLE_CONNECTIONS,
        });
        Arc::new(Self {
            shared,
            client,
            budgets: Mutex::default(),
            queue: PlaceQueue::default(),
        })
    }

    /// Returns the node's state.
    pub fn shared(&self) -> &Arc<FleetShared> {
        &self.shared
    }

    /// Carries a request out and builds its response.
    pub async fn run(self: &Arc<Self>, job: RequestJob, mut trace: RequestTrace) -> Response {
        self.earn(&job.service);
        let mut tried: Vec<TargetId> = Vec::new();
        let mut unreached = 0;
        let mut worst: Option<FailurePoint> = None;
        loop {
            let (target, place) = match self.place(&job, &tried).await {
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
                    Err(point) => FailedAttempt::from(point),
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
            if reached {
                trace.sent += 1;
            } else {
                unreached += 1;
            }
            let may_repeat = point.allows_retry(job.rule.is_repeatable())
                && trace.sent < job.rule.max_attempts
                && unreached < UNREACHED_LIMIT
                && BootClock::now() < job.deadline;
            if !may_repeat || (reached && !self.spend(&job.service)) {
                if let Some(answer) = failed.answer {
                    trace.end(RequestEnd::Failed);
                    return self.whole(answer.0, answer.1);
                }
                return self.give_up(worst_of(worst, point), &mut trace);
            }
            worst = Some(worst_of(worst, point));
        }
    }

    /// Finds a target with a free place, waiting a little while there is none.
    ///
    /// # Errors
    ///
    /// Returns the point to tell the caller when no place came free in time.
    pub async fn place(
        &self,
        job: &RequestJob,
        tried: &[TargetId],
    ) -> Result<PlacedTarget, FailurePoint> {
        self.place_since(job, tried, job.arrived, job.waited_before)
            .await
    }

    /// Finds a target for a stream that broke off and is to go on.
    ///
    /// It counts from now: what was delivered of it is lost if it ends here, so it does not stand
    /// behind those that come now.
    ///
    /// # Errors
    ///
    /// Returns the point to tell the caller when no place came free in time.
    pub async fn place_again(
        &self,
        job: &RequestJob,
        tried: &[TargetId],
    ) -> Result<PlacedTarget, FailurePoint> {
        self.place_since(job, tried, BootClock::now(), Duration::ZERO)
            .await
    }

    async fn place_since(
        &self,
        job: &RequestJob,
        tried: &[TargetId],
        arrived: Moment,
        waited_before: Duration,
    ) -> Result<PlacedTarget, FailurePoint> {
        let mut ask = job.place_ask(tried);
        let request = WaitingRequest::open(WaitTerms {
            arrived,
            waited_before,
            objective: job.rule.objective,
            first: self.queue.usual_first(&ask.key),
            deadline: job.deadline,
            priority: job.priority,
        });
        ask.is_late = request.is_late(BootClock::now());
        // Nobody overtakes those who wait and can still be on time.
        if !self.queue.has_waiters(&ask.key) {
            if let Some(placed) = self.pick(&ask) {
                return Ok(placed);
            }
        }
        let key = ask.key.clone();
        let (ticket, place) = self.queue.push(ask, request);
        self.serve_queue();
        let _guard = QueueGuard {
            queue: &self.queue,
            key: &key,
            ticket,
        };
        let placed = wait_for_place(place, request, PLACE_CHECK, || self.serve_queue()).await;
        placed.ok_or(FailurePoint::NoTarget)
    }

    /// Gives places that came free to those who wait.
    pub fn serve_queue(&self) {
        if !self.queue.is_empty() {
            self.queue.serve(|ask| self.pick(ask));
        }
    }

    /// Notes the time from a place to the first event there.
    pub fn note_first(&self, job: &RequestJob, time: Duration) {
        self.queue.note_first(&job.place_ask(&[]).key, time);
    }

    /// Picks a target now; `None` when each is full, suspect or tried.
    pub fn pick(&self, ask: &PlaceAsk) -> Option<PlacedTarget> {
        let table = self.shared.table.load();
        let book = self.shared.book.load();
        let now = BootClock::now();
        let (service, model) = &ask.key;
        let service_spec = book.as_ref().as_ref()?.services.get(service);
        let engine = service_spec.and_then(|spec| spec.engine.as_ref());
        let target = match engine {
            Some(engine) => {
                let model = engine.models.get(model.as_ref()?)?;
                let groups = table.groups(service, &model.id);
                let open: Vec<&Arc<RouteTarget>> = groups
                    .iter()
                    .filter(|group| !ask.tried.contains(&group.id) && !group.gauge.is_suspect(now))
                    .collect();
                let loads: Vec<GroupLoad> = open
                    .iter()
                    .map(|group| GroupLoad {
                        is_for_late: ask.is_late,
                        ..self.load_of(engine, group, now)
                    })
                    .collect();
                let draw = rand::random::<u32>() as usize;
                let index = pick_group(engine, model, &loads, ask.prompt_tokens, draw)?;
                open[index]
            }
            None => self.pick_plain(table.plain(service), &ask.tried, now)?,
        };
        let place = GaugePlace::open(&target.gauge, ask.prompt_tokens, now);
        Some((Arc::clone(target), place))
    }

    fn load_of(&self, engine: &EngineModel, group: &RouteTarget, now: Moment) -> GroupLoad {
        let own = &self.shared.settings.zone;
        let delay = engine.delays.iter().find(|delay| {
            (&delay.from == own && delay.to == group.zone)
                || (&delay.to == own && delay.from == group.zone)
        });
        GroupLoad {
            writers: group.gauge.load_at(now),
            own: group.gauge.own(),
            fresh: group.gauge.fresh(),
            nodes: self.shared.live_nodes(now),
            unread_tokens: group.gauge.unread(),
            delay: delay.map_or(Duration::ZERO, |delay| delay.delay),
            slowness: 1.0,
            is_queueing: group.gauge.is_queueing(now),
            is_for_late: false,
        }
    }

    /// Picks the single target with the least work, counting failures as work.
    fn pick_plain<'a>(
        &self,
        targets: &'a [Arc<RouteTarget>],
        tried: &[TargetId],
        now: Moment,
    ) -> Option<&'a Arc<RouteTarget>> {
        let cost = |target: &RouteTarget| {
            let slots = f64::from(target.slots.max(1));
            let load = f64::from(target.gauge.writers()) / slots;
            let is_far = target.zone != self.shared.settings.zone;
            let away = if is_far { 0.5 / slots } else { 0.0 };
            load + away + target.gauge.failing() * 2.0
        };
        let open = targets
            .iter()
            .filter(|target| !tried.contains(&target.id) && !target.gauge.is_suspect(now));
        open.min_by(|left, right| cost(left).total_cmp(&cost(right)))
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
        let request = self.request(job, &target, left, last_event);
        let address = TargetAddress {
            address: target.address.clone(),
            incarnation: 0,
        };
        // A kept connection may be closed by the target just when it is used, which would leave the
        // fate of a request that runs at most once open.
        let is_fresh = !job.rule.is_repeatable();
        let client = self.client.keeping(self.idle_limit(job, now));
        let sending = client.send(&address, request, is_fresh);
        let reply = match self.wait_head(sending, job, &target, now, may_move).await {
            Ok(reply) => reply,
            Err(point) => {
                target.gauge.note_outcome(true);
                return Err(point.into());
            }
        };
        self.check(job, target, place, reply).await
    }

    fn idle_limit(&self, job: &RequestJob, now: Moment) -> usize {
        let book = job.book.as_ref().as_ref();
        let service = book.and_then(|book| book.services.get(&job.service));
        let most = service.map_or(0, |service| service.max_connections);
        let share = f64::from(most) * IDLE_SHARE / f64::from(self.shared.live_nodes(now));
        (share as usize).clamp(1, IDLE_CONNECTIONS)
    }

    async fn wait_head(
        &self,
        sending: impl std::future::Future<Output = Result<TargetReply, SendFailure>>,
        job: &RequestJob,
        target: &RouteTarget,
        sent: Moment,
        may_move: bool,
    ) -> Result<TargetReply, FailurePoint> {
        tokio::pin!(sending);
        let patience = (job.rule.objective * 2).max(LEAST_PATIENCE);
        loop {
            match tokio::time::timeout(SILENCE_CHECK, &mut sending).await {
                Ok(Ok(reply)) => return Ok(reply),
                Ok(Err(failure)) => return Err(point_of(failure)),
                Err(_) => {}
            }
            let now = BootClock::now();
            if now >= job.deadline {
                return Err(FailurePoint::AnswerDeadline);
            }
            let waited = now.saturating_sub(sent);
            let limit = self.silence_limit(job, target);
            let is_silent = waited > limit && target.gauge.silence(now) > limit && limit < patience;
            if is_silent {
                self.suspect(target, now);
            }
            let is_worth_moving = is_silent || waited > patience;
            if is_worth_moving && may_move && self.can_move(job, target) {
                return Err(FailurePoint::BrokenBeforeHead);
            }
        }
    }

    /// Returns whether a request can go on elsewhere; if not, the slow target is still the best.
    fn can_move(&self, job: &RequestJob, from: &RouteTarget) -> bool {
        let ask = job.place_ask(std::slice::from_ref(&from.id));
        job.rule.is_repeatable()
            && self.with_budget(&job.service, |budget| budget.has_any())
            && self.pick(&ask).is_some()
    }

    /// Returns the silence of a target after which it has lost a member or is cut off.
    ///
    /// Every running stream of a group yields an event in each pass, so silence of all of them for
    /// several passes is seen long before the engine gives up.
    pub fn silence_limit(&self, job: &RequestJob, target: &RouteTarget) -> Duration {
        let model = target.group.as_ref().and_then(|group| {
            let engine = job.engine()?;
            Some((engine, engine.models.get(&group.model)?))
        });
        let Some((engine, model)) = model else {
            return (job.rule.objective * 2).max(LEAST_PATIENCE);
        };
        let pass = engine.pass_time(model, target.gauge.writers());
        let read = engine.read_time(model, target.gauge.unread());
        let usual = target.gauge.interval().min(LONGEST_INTERVAL);
        (pass.mul_f64(SILENT_PASSES) + read)
            .max(usual.mul_f64(INTERVAL_FACTOR))
            .max(LEAST_SILENCE)
    }

    /// Keeps new work from a target that fell silent, and has it looked at.
    pub fn suspect(&self, target: &RouteTarget, now: Moment) {
        if !target.gauge.is_suspect(now) {
            log::warn!(
                target_id = target.id.as_str(),
                group = target.group.as_ref().map_or("", |group| group.id.as_str()),
                silence_ms = target.gauge.silence(now).as_millis() as u64,
                writers = target.gauge.writers();
                "target_suspected"
            );
        }
        target.gauge.suspect(now + SUSPECT_TIME);
        self.shared.suspected.notify_one();
    }

    async fn check(
        &self,
        job: &RequestJob,
        target: Arc<RouteTarget>,
        place: GaugePlace,
        reply: TargetReply,
    ) -> Result<BegunAnswer, FailedAttempt> {
        let TargetReply { head, body } = reply;
        let facts = self
            .shared
            .platform
            .dialect
            .facts(head.status, &head.headers);
        let now = BootClock::now();
        if facts.is_not_run || facts.is_other_life {
            target.gauge.note_outcome(true);
            if facts.is_other_life || facts.at_fault.is_some() {
                self.suspect(&target, now);
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
            });
        }
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
                point,
                answer: Some(Box::new((head, bytes))),
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
        } = begun;
        let left = job.deadline.saturating_sub(BootClock::now());
        let read = tokio::time::timeout(left, body.read_whole(ANSWER_BYTES)).await;
        drop(place);
        self.serve_queue();
        match read {
            Ok(Ok(bytes)) => Ok((head, bytes)),
            Ok(Err(_)) => {
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
        let mut response = OwnAnswer::at(point).response();
        let dialect = &self.shared.platform.dialect;
        dialect.mark_own(response.headers_mut(), &trace.request);
        response
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

    /// Counts a request towards the retries that may be sent to its service.
    fn earn(&self, service: &str) {
        self.with_budget(service, RetryBudget::earn);
    }

    /// Takes one retry from the service's budget.
    pub fn spend(&self, service: &str) -> bool {
        let is_left = self.with_budget(service, RetryBudget::spend);
        if !is_left {
            log::info!(service = service; "retry_budget_empty");
        }
        is_left
    }

    /// Uses the budget of one service.
    ///
    /// Each node earns from its own requests only, and the burst is divided among the nodes, so
    /// the sum over all nodes holds whoever can talk to whom. A new budget begins empty, or
    /// restarts would refill it.
    fn with_budget<R>(&self, service: &str, act: impl FnOnce(&mut RetryBudget) -> R) -> R {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        if !budgets.contains_key(service) {
            let settings = &self.shared.settings;
            let nodes = (self.shared.peers.read().len() + 1).max(LEAST_NODES);
            let burst = settings.retry_burst as f64 * BURST_SHARE / nodes as f64;
            let permille = (settings.retry_ratio * 1000.0) as u64;
            let budget = RetryBudget::open_empty(permille, burst as u64);
            budgets.insert(service.to_owned(), budget);
        }
        act(&mut budgets[service])
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

/// Returns whether a status promises that the request has not run.
fn is_promise(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

fn point_of(failure: SendFailure) -> FailurePoint {
    match failure {
        SendFailure::Connect => FailurePoint::Connect,
        SendFailure::ClosedBeforeSend => FailurePoint::ClosedBeforeSend,
        SendFailure::Broken => FailurePoint::BrokenBeforeHead,
    }
}

/// Returns the point to report after several failures: one that leaves the outcome open stays.
fn worst_of(earlier: Option<FailurePoint>, later: FailurePoint) -> FailurePoint {
    match earlier {
        Some(point) if point.outcome() == Outcome::Unknown => point,
        _ => later,
    }
}
