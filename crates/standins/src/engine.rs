//! Fake model engine on one machine of a replica group.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use briarswitch_core::prelude::*;
use briarswitch_http::{
    read_body, reply_bytes, reply_json, reply_text, stream_body, Handler, Request, Response,
};
use briarswitch_wire::caller::KEY_HEADER;
use briarswitch_wire::engine::{
    ChatDoc, JoinDoc, OrderAction, OrderDoc, ReportDoc, StateDoc, ATTEMPT_HEADER, CHAT_PATH,
    GROUP_HEADER, LEAVING_HEADER, NOT_RUN_HEADER, PRIORITY_HEADER, RESUME_HEADER,
};
use bytes::Bytes;
use futures::future::BoxFuture;
use futures::{Stream, StreamExt};
use http::{HeaderMap, HeaderValue, StatusCode};

use crate::freeze::FreezeGate;
use crate::headers::text_of;
use crate::host::StandinHost;
use crate::slots::SlotQueue;
use crate::tokens::{token_text, CancelGuard, StreamCursor, StreamPlan};

const MAX_BODY_BYTES: usize = 16 << 20;
/// Pause before a connection is aborted, so that the data written before is still transmitted.
const ABORT_DELAY: Duration = Duration::from_millis(30);
const DEFAULT_TOKENS: u32 = 8;
/// Size of one block of the prompt cache.
const CACHE_BLOCK_BYTES: usize = 64;

/// Settings of an engine's regular behaviour.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Machine.
    pub vm: VmId,
    /// Incarnation of the machine.
    pub incarnation: Incarnation,
    /// Whether orders with an outdated fencing number are rejected.
    pub checks_fencing: bool,
    /// Interval at which the load in reports is updated.
    pub report_lag: Duration,
    /// Time to load weights.
    pub load_time: Duration,
    /// Prefill time of one uncached block of a prompt.
    pub block_time: Duration,
    /// Time to generate one token.
    pub token_time: Duration,
    /// Maximum number of requests in a batch.
    pub slots: usize,
    /// Capacity of the prompt cache in blocks.
    pub cached_blocks: usize,
}

impl EngineSettings {
    /// Creates settings for a fast engine on the first incarnation of a machine.
    pub fn quick(vm: &str) -> Self {
        Self {
            vm: vm.to_owned(),
            incarnation: 1,
            checks_fencing: true,
            report_lag: Duration::from_millis(100),
            load_time: Duration::from_millis(20),
            block_time: Duration::ZERO,
            token_time: Duration::ZERO,
            slots: 64,
            cached_blocks: 1024,
        }
    }
}

/// Faults that can be injected into an engine; each affected request decrements its counter.
#[derive(Clone, Debug, Default)]
pub struct EngineFaults {
    /// Number of events after which a stream is aborted.
    pub break_after: Option<usize>,
    /// Number of streams to abort.
    pub breaks: u32,
    /// Whether the engine refuses to resume streams.
    pub rejects_resume: bool,
    /// Number of non-streaming responses to truncate before their announced length.
    pub truncations: u32,
    /// Number of responses to return with the id of another attempt.
    pub foreign_responses: u32,
    /// Number of requests to reject as not run.
    pub refusals: u32,
    /// Number of non-streaming requests to run and then fail with a server error.
    pub errors: u32,
    /// Number of streams to end without their final event.
    pub missing_end_events: u32,
    /// Whether rejections carry the header for a target that is shutting down.
    pub is_leaving: bool,
}

/// A request that the engine ran.
#[derive(Clone, Debug)]
pub struct Execution {
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Idempotency key of the caller, if any.
    pub key: Option<String>,
    /// Group and generation of the engine at that time.
    pub group: Option<(GroupId, Generation)>,
    /// Time at which the request was accepted.
    pub at: Instant,
    /// Number of leading blocks of the prompt that were cached.
    pub cached_blocks: usize,
    /// Whether the request resumed a stream.
    pub is_resumed: bool,
}

/// Record of the calls that an engine received.
#[derive(Clone, Debug, Default)]
pub struct EngineRecord {
    /// Requests that were run.
    pub executions: Vec<Execution>,
    /// Accepted orders and their times.
    pub orders: Vec<(Instant, OrderDoc)>,
    /// Number of orders rejected because of their fencing number.
    pub rejected_orders: usize,
    /// Number of streams that the client closed before their end.
    pub cancelled: usize,
}

pub(crate) struct EngineState {
    state: StateDoc,
    group: Option<JoinDoc>,
    fence: Epoch,
    weights: Option<DeploymentId>,
    loads: u64,
    cache: Vec<u64>,
    faults: EngineFaults,
    pub(crate) record: EngineRecord,
    attempts: HashMap<AttemptId, ()>,
    token_time: Duration,
    /// Load shown in reports (running, queued) and the time it was updated.
    reported_load: Option<(Instant, (u32, u32))>,
}

struct EngineHandler {
    settings: EngineSettings,
    state: Arc<Mutex<EngineState>>,
    slots: SlotQueue,
    frozen: Arc<FreezeGate>,
}

/// A running fake engine.
pub struct EngineStandin {
    host: StandinHost,
    state: Arc<Mutex<EngineState>>,
    frozen: Arc<FreezeGate>,
}

impl EngineStandin {
    /// Starts an idle engine.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn spawn(address: &str, settings: EngineSettings) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(EngineState {
            state: StateDoc::Idle,
            group: None,
            fence: 0,
            weights: None,
            loads: 0,
            cache: Vec::new(),
            faults: EngineFaults::default(),
            record: EngineRecord::default(),
            attempts: HashMap::new(),
            token_time: settings.token_time,
            reported_load: None,
        }));
        let frozen = Arc::new(FreezeGate::default());
        let handler = EngineHandler {
            slots: SlotQueue::new(settings.slots),
            settings,
            state: Arc::clone(&state),
            frozen: Arc::clone(&frozen),
        };
        let host = StandinHost::spawn(address, Arc::new(handler))?;
        Ok(Self {
            host,
            state,
            frozen,
        })
    }

    /// Returns the address the engine listens on.
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Changes the injected faults.
    pub fn update_faults(&self, change: impl FnOnce(&mut EngineFaults)) {
        change(&mut self.lock().faults);
    }

    /// Changes the time to generate one token, for responses that start from now on.
    pub fn set_token_time(&self, token_time: Duration) {
        self.lock().token_time = token_time;
    }

    /// Returns the record of calls received so far.
    pub fn record(&self) -> EngineRecord {
        self.lock().record.clone()
    }

    /// Returns the state, group and generation of the engine.
    pub fn status(&self) -> (StateDoc, Option<(GroupId, Generation)>) {
        let state = self.lock();
        (state.state, state.membership())
    }

    /// Stops the engine immediately and closes its connections.
    pub fn kill(&mut self) {
        self.host.kill();
    }

    /// Holds back all responses until [`EngineStandin::thaw`].
    pub fn freeze(&self) {
        self.frozen.close();
    }

    /// Continues where the engine was frozen.
    pub fn thaw(&self) {
        self.frozen.open();
    }

    fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().expect("engine state")
    }
}

impl EngineState {
    fn membership(&self) -> Option<(GroupId, Generation)> {
        self.group
            .as_ref()
            .map(|join| (join.group.clone(), join.generation))
    }

    /// Adds the blocks of a prompt to the LRU cache; returns the number of leading blocks that were
    /// already cached and the total number of blocks.
    fn cache_prompt(&mut self, prompt: &str, limit: usize) -> (usize, usize) {
        let mut hash = 0_u64;
        let mut cached = 0;
        let mut is_prefix = true;
        let blocks: Vec<&[u8]> = prompt.as_bytes().chunks(CACHE_BLOCK_BYTES).collect();
        for block in &blocks {
            for byte in *block {
                hash = hash.wrapping_mul(0x0100_0000_01b3) ^ u64::from(*byte);
            }
            let position = self.cache.iter().position(|cached| *cached == hash);
            is_prefix &= position.is_some();
            cached += usize::from(is_prefix);
            if let Some(position) = position {
                self.cache.remove(position);
            }
            self.cache.push(hash);
        }
        let excess = self.cache.len().saturating_sub(limit);
        self.cache.drain(..excess);
        (cached, blocks.len())
    }
}

impl Handler for EngineHandler {
    fn handle(&self, request: Request) -> BoxFuture<'_, Response> {
        Box::pin(async move {
            self.frozen.pass().await;
            let (head, body) = request.into_parts();
            let Ok(bytes) = read_body(body, MAX_BODY_BYTES).await else {
                return reply_text(StatusCode::BAD_REQUEST, "incomplete or too large body");
            };
            self.frozen.pass().await;
            match head.uri.path() {
                "/report" => reply_json(StatusCode::OK, &self.report()),
                "/order" => match serde_json::from_slice(&bytes) {
                    Ok(order) => self.order(order),
                    Err(error) => reply_text(StatusCode::BAD_REQUEST, error.to_string()),
                },
                CHAT_PATH => match serde_json::from_slice(&bytes) {
                    Ok(chat) => self.chat(&head.headers, chat).await,
                    Err(error) => reply_text(StatusCode::BAD_REQUEST, error.to_string()),
                },
                _ => reply_text(StatusCode::NOT_FOUND, "no such path"),
            }
        })
    }
}

impl EngineHandler {
    fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().expect("engine state")
    }

    fn report(&self) -> ReportDoc {
        let load = self.slots.load();
        let mut state = self.lock();
        let is_due = state
            .reported_load
            .is_none_or(|(at, _)| at.elapsed() >= self.settings.report_lag);
        let (running, queued) = state.reported_load.map_or(load, |(_, load)| load);
        if is_due {
            state.reported_load = Some((Instant::now(), load));
        }
        ReportDoc {
            vm: self.settings.vm.clone(),
            incarnation: self.settings.incarnation,
            state: state.state,
            group: state.group.as_ref().map(|join| join.group.clone()),
            generation: state.group.as_ref().map_or(0, |join| join.generation),
            fence: state.fence,
            weights: state.weights.clone(),
            running,
            queued,
        }
    }

    fn order(&self, order: OrderDoc) -> Response {
        let mut state = self.lock();
        if self.settings.checks_fencing && order.fence < state.fence {
            state.record.rejected_orders += 1;
            return reply_text(StatusCode::CONFLICT, "outdated fencing number");
        }
        state.fence = state.fence.max(order.fence);
        state.record.orders.push((Instant::now(), order.clone()));
        match order.action {
            OrderAction::Leave => {
                state.state = StateDoc::Idle;
                state.group = None;
            }
            OrderAction::Join(join) => self.join(&mut state, join),
            OrderAction::Preload(deployment) => self.load(&mut state, deployment),
        }
        drop(state);
        reply_json(StatusCode::OK, &self.report())
    }

    fn join(&self, state: &mut EngineState, join: JoinDoc) {
        let is_loaded = state.weights.as_ref() == Some(&join.deployment);
        let deployment = join.deployment.clone();
        state.group = Some(join);
        if is_loaded {
            state.state = StateDoc::Ready;
            return;
        }
        self.load(state, deployment);
    }

    /// Loads weights; afterwards the engine is ready if it is in a group, and idle otherwise.
    fn load(&self, state: &mut EngineState, deployment: DeploymentId) {
        state.state = StateDoc::Loading;
        state.loads += 1;
        let load = state.loads;
        let shared = Arc::clone(&self.state);
        let time = self.settings.load_time;
        tokio::spawn(async move {
            tokio::time::sleep(time).await;
            let mut state = shared.lock().expect("engine state");
            if state.loads == load {
                state.weights = Some(deployment);
                if state.state == StateDoc::Loading {
                    let is_member = state.group.is_some();
                    state.state = if is_member {
                        StateDoc::Ready
                    } else {
                        StateDoc::Idle
                    };
                }
            }
        });
    }

    async fn chat(&self, headers: &HeaderMap, chat: ChatDoc) -> Response {
        let attempt = text_of(headers, ATTEMPT_HEADER).unwrap_or_default();
        let resume = text_of(headers, RESUME_HEADER).and_then(|text| text.parse::<usize>().ok());
        let priority = text_of(headers, PRIORITY_HEADER)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let group = text_of(headers, GROUP_HEADER);
        if let Some(rejection) = self.reject(&attempt, resume, group.as_deref()) {
            return rejection;
        }
        let slot = self.slots.acquire(priority).await;
        let prompt: String = chat
            .messages
            .iter()
            .map(|message| message.content.as_str())
            .collect();
        let uncached = self.accept(headers, &attempt, &prompt, resume);
        sleep_for(self.settings.block_time * uncached).await;
        let tokens = chat.max_tokens.unwrap_or(DEFAULT_TOKENS) as usize;
        let response_id = self.response_id(&attempt);
        if chat.stream {
            let plan = self.plan_stream(&response_id, tokens, resume.unwrap_or(0));
            let body = self.stream(plan, slot);
            return stream_reply(body, &response_id);
        }
        let token_time = self.lock().token_time;
        sleep_for(token_time * tokens as u32).await;
        drop(slot);
        self.complete_reply(&chat, &prompt, tokens, &response_id)
    }

    fn reject(
        &self,
        attempt: &str,
        resume: Option<usize>,
        group: Option<&str>,
    ) -> Option<Response> {
        let mut state = self.lock();
        let current = state.membership();
        let current = current.map(|(group, generation)| format!("{group}@{generation}"));
        let is_addressed = group.is_none() || group == current.as_deref();
        let is_ready = state.state == StateDoc::Ready && is_addressed;
        let is_known = state.attempts.contains_key(attempt) && !state.faults.rejects_resume;
        let is_unresumable = resume.is_some() && !is_known;
        let is_rejected = take_fault(&mut state.faults.refusals);
        if is_ready && !is_unresumable && !is_rejected {
            return None;
        }
        let mut reply = reply_text(StatusCode::SERVICE_UNAVAILABLE, "not run");
        let headers = reply.headers_mut();
        headers.insert(NOT_RUN_HEADER, HeaderValue::from_static("1"));
        if state.faults.is_leaving {
            headers.insert(LEAVING_HEADER, HeaderValue::from_static("1"));
        }
        Some(reply)
    }

    /// Records a request as run and returns the number of blocks of its prompt that need prefill.
    fn accept(
        &self,
        headers: &HeaderMap,
        attempt: &str,
        prompt: &str,
        resume: Option<usize>,
    ) -> u32 {
        let mut state = self.lock();
        let (cached, blocks) = state.cache_prompt(prompt, self.settings.cached_blocks);
        state.attempts.insert(attempt.to_owned(), ());
        let execution = Execution {
            attempt: attempt.to_owned(),
            key: text_of(headers, KEY_HEADER),
            group: state.membership(),
            at: Instant::now(),
            cached_blocks: cached,
            is_resumed: resume.is_some(),
        };
        state.record.executions.push(execution);
        if resume.is_some() {
            return 0;
        }
        (blocks - cached) as u32
    }

    fn response_id(&self, attempt: &str) -> String {
        if take_fault(&mut self.lock().faults.foreign_responses) {
            return "someone-else".to_owned();
        }
        attempt.to_owned()
    }

    fn complete_reply(
        &self,
        chat: &ChatDoc,
        prompt: &str,
        tokens: usize,
        attempt: &str,
    ) -> Response {
        let content: String = (0..tokens).map(token_text).collect();
        let completion = serde_json::json!({
            "id": attempt,
            "object": "chat.completion",
            "model": chat.model,
            "choices": [{
                "index": 0,
                "message": {"role": "assistant", "content": content},
                "finish_reason": "stop",
            }],
            "usage": {
                "prompt_tokens": prompt.len() / 4,
                "completion_tokens": tokens,
            },
        });
        let mut state = self.lock();
        if take_fault(&mut state.faults.errors) {
            return reply_text(StatusCode::INTERNAL_SERVER_ERROR, "engine failed");
        }
        let is_truncated = take_fault(&mut state.faults.truncations);
        drop(state);
        let text = completion.to_string();
        let mut reply = if is_truncated {
            truncated_reply(&text)
        } else {
            reply_bytes(StatusCode::OK, "application/json", Bytes::from(text))
        };
        set_attempt_id(&mut reply, attempt);
        reply
    }

    fn plan_stream(&self, attempt: &str, tokens: usize, from: usize) -> StreamPlan {
        let mut state = self.lock();
        let is_aborted = state.faults.break_after.is_some() && take_fault(&mut state.faults.breaks);
        StreamPlan {
            attempt: attempt.to_owned(),
            from,
            tokens,
            abort_at: if is_aborted {
                state.faults.break_after
            } else {
                None
            },
            has_end_event: !take_fault(&mut state.faults.missing_end_events),
        }
    }

    fn stream(
        &self,
        plan: StreamPlan,
        slot: crate::slots::SlotGuard,
    ) -> impl Stream<Item = Result<Bytes, io::Error>> + Send + 'static {
        let guard = CancelGuard {
            state: Arc::clone(&self.state),
            is_done: false,
        };
        let token_time = self.lock().token_time;
        let frozen = Arc::clone(&self.frozen);
        let start = StreamCursor {
            next: plan.from,
            is_ended: false,
            plan,
            guard,
            _slot: slot,
        };
        futures::stream::unfold(start, move |mut cursor| {
            let frozen = Arc::clone(&frozen);
            async move {
                sleep_for(token_time).await;
                if cursor.plan.abort_at == Some(cursor.next) {
                    sleep_for(ABORT_DELAY).await;
                }
                frozen.pass().await;
                cursor.advance().map(|item| (item, cursor))
            }
        })
    }
}

fn take_fault(counter: &mut u32) -> bool {
    let is_pending = *counter > 0;
    *counter = counter.saturating_sub(1);
    is_pending
}

async fn sleep_for(time: Duration) {
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
}

fn set_attempt_id(reply: &mut Response, attempt: &str) {
    if let Ok(value) = HeaderValue::from_str(attempt) {
        reply.headers_mut().insert(ATTEMPT_HEADER, value);
    }
}

fn stream_reply(
    body: impl Stream<Item = Result<Bytes, io::Error>> + Send + 'static,
    attempt: &str,
) -> Response {
    let mut reply = reply_text(StatusCode::OK, "");
    *reply.body_mut() = stream_body(body);
    reply.headers_mut().insert(
        http::header::CONTENT_TYPE,
        HeaderValue::from_static("text/event-stream"),
    );
    set_attempt_id(&mut reply, attempt);
    reply
}

/// Announces the full length, but aborts the connection after half of the body.
fn truncated_reply(text: &str) -> Response {
    let half = Bytes::copy_from_slice(&text.as_bytes()[..text.len() / 2]);
    let chunks = futures::stream::once(async { Ok(half) }).chain(futures::stream::once(async {
        sleep_for(ABORT_DELAY).await;
        Err(io::Error::other("injected fault: truncated response"))
    }));
    let mut reply = reply_text(StatusCode::OK, "");
    *reply.body_mut() = stream_body(chunks);
    reply.headers_mut().insert(
        http::header::CONTENT_LENGTH,
        HeaderValue::from(text.len() as u64),
    );
    reply
}
