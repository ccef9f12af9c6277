//! A model engine on one machine of a replica group.

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

const BODY_LIMIT: usize = 16 << 20;
/// Time before a break, so that what was sent before it has left.
const BREAK_PAUSE: Duration = Duration::from_millis(30);
const DEFAULT_TOKENS: u32 = 8;
/// Bytes of a prompt that one cached block covers.
const BLOCK_BYTES: usize = 64;

/// How an engine behaves when nothing is wrong.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Machine.
    pub vm: VmId,
    /// Life of the machine.
    pub incarnation: Incarnation,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// Time by which the load in reports lags.
    pub report_lag: Duration,
    /// Time to load weights it does not hold.
    pub load_time: Duration,
    /// Time to read one uncached block of a prompt.
    pub block_time: Duration,
    /// Time to generate one token.
    pub token_time: Duration,
    /// Requests in one batch.
    pub slots: usize,
    /// Blocks of prompts kept.
    pub cached_blocks: usize,
}

impl EngineSettings {
    /// Makes settings for a fast engine of a machine's first life.
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

/// Ways in which an engine can be made to fail; counters are used up one request at a time.
#[derive(Clone, Debug, Default)]
pub struct EngineFaults {
    /// Streams to break after this many events.
    pub break_after: Option<usize>,
    /// Breaks that are left to make.
    pub breaks: u32,
    /// Whether a broken stream may not be resumed.
    pub rejects_resume: bool,
    /// Whole answers to cut short of their announced length.
    pub truncations: u32,
    /// Answers to give under another attempt's id.
    pub foreign_responses: u32,
    /// Requests to refuse as not run.
    pub refusals: u32,
    /// Requests to run and then fail with a server error.
    pub errors: u32,
    /// Streams to end without their end mark.
    pub missing_end_events: u32,
    /// Whether the engine says that it is leaving.
    pub is_leaving: bool,
}

/// One request that the engine ran.
#[derive(Clone, Debug)]
pub struct Execution {
    /// Attempt it was given.
    pub attempt: AttemptId,
    /// Caller's key, if it had one.
    pub key: Option<String>,
    /// Group and generation the engine was in.
    pub group: Option<(GroupId, Generation)>,
    /// Time it was accepted.
    pub at: Instant,
    /// Blocks of its prompt that were cached.
    pub cached_blocks: usize,
    /// Whether it resumed a stream.
    pub is_resumed: bool,
}

/// What an engine saw.
#[derive(Clone, Debug, Default)]
pub struct EngineRecord {
    /// Requests it ran.
    pub executions: Vec<Execution>,
    /// Orders it took, with the time and its state after them.
    pub orders: Vec<(Instant, OrderDoc)>,
    /// Orders it refused for their fencing number.
    pub rejected_orders: usize,
    /// Streams whose reader left before the end.
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
    /// Load that reports show, and since when.
    load_shown: Option<(Instant, (u32, u32))>,
}

struct EngineHandler {
    settings: EngineSettings,
    state: Arc<Mutex<EngineState>>,
    slots: SlotQueue,
    frozen: Arc<FreezeGate>,
}

/// A running engine.
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
    /// Returns the operating system's error when the address cannot be had.
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
            load_shown: None,
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

    /// Returns the address it listens at.
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Changes the faults.
    pub fn update_faults(&self, change: impl FnOnce(&mut EngineFaults)) {
        change(&mut self.lock().faults);
    }

    /// Changes the time to generate one token, for streams that begin from now on.
    pub fn set_token_time(&self, token_time: Duration) {
        self.lock().token_time = token_time;
    }

    /// Returns what the engine saw so far.
    pub fn record(&self) -> EngineRecord {
        self.lock().record.clone()
    }

    /// Returns its state, group and generation.
    pub fn status(&self) -> (StateDoc, Option<(GroupId, Generation)>) {
        let state = self.lock();
        (state.state, state.membership())
    }

    /// Ends the engine at once.
    pub fn kill(&mut self) {
        self.host.kill();
    }

    /// Stops every answer until [`EngineStandin::thaw`].
    pub fn freeze(&self) {
        self.frozen.close();
    }

    /// Lets the engine go on where it was frozen.
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

    /// Counts how many leading blocks of a prompt are cached, and caches all of them.
    fn cache_prompt(&mut self, prompt: &str, limit: usize) -> (usize, usize) {
        let mut hash = 0_u64;
        let mut cached = 0;
        let mut is_prefix = true;
        let blocks: Vec<&[u8]> = prompt.as_bytes().chunks(BLOCK_BYTES).collect();
        for block in &blocks {
            for byte in *block {
                hash = hash.wrapping_mul(0x0100_0000_01b3) ^ u64::from(*byte);
            }
            let place = self.cache.iter().position(|held| *held == hash);
            is_prefix &= place.is_some();
            cached += usize::from(is_prefix);
            if let Some(place) = place {
                self.cache.remove(place);
            }
            self.cache.push(hash);
        }
        let over = self.cache.len().saturating_sub(limit);
        self.cache.drain(..over);
        (cached, blocks.len())
    }
}

impl Handler for EngineHandler {
    fn handle(&self, request: Request) -> BoxFuture<'_, Response> {
        Box::pin(async move {
            self.frozen.pass().await;
            let (head, body) = request.into_parts();
            let Ok(bytes) = read_body(body, BODY_LIMIT).await else {
                return reply_text(StatusCode::BAD_REQUEST, "broken body");
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
            .load_shown
            .is_none_or(|(at, _)| at.elapsed() >= self.settings.report_lag);
        let (running, queued) = state.load_shown.map_or(load, |(_, shown)| shown);
        if is_due {
            state.load_shown = Some((Instant::now(), load));
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
            return reply_text(StatusCode::CONFLICT, "old fencing number");
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
        let is_held = state.weights.as_ref() == Some(&join.deployment);
        let deployment = join.deployment.clone();
        state.group = Some(join);
        if is_held {
            state.state = StateDoc::Ready;
            return;
        }
        self.load(state, deployment);
    }

    /// Loads weights; the engine is ready after that if it is in a group, else idle.
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
        if let Some(refusal) = self.refuse(&attempt, resume, group.as_deref()) {
            return refusal;
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
        let shown = self.shown_attempt(&attempt);
        if chat.stream {
            let plan = self.plan_stream(&shown, tokens, resume.unwrap_or(0));
            let body = self.stream(plan, slot);
            return stream_reply(body, &shown);
        }
        let pace = self.lock().token_time;
        sleep_for(pace * tokens as u32).await;
        drop(slot);
        self.whole(&chat, &prompt, tokens, &shown)
    }

    fn refuse(
        &self,
        attempt: &str,
        resume: Option<usize>,
        group: Option<&str>,
    ) -> Option<Response> {
        let mut state = self.lock();
        let own = state.membership();
        let own = own.map(|(group, generation)| format!("{group}@{generation}"));
        let is_meant = group.is_none() || group == own.as_deref();
        let is_ready = state.state == StateDoc::Ready && is_meant;
        let is_known = state.attempts.contains_key(attempt) && !state.faults.rejects_resume;
        let is_lost = resume.is_some() && !is_known;
        let is_refused = use_up(&mut state.faults.refusals);
        if is_ready && !is_lost && !is_refused {
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

    /// Records a request as run and returns the blocks of its prompt that have to be read.
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

    fn shown_attempt(&self, attempt: &str) -> String {
        if use_up(&mut self.lock().faults.foreign_responses) {
            return "someone-else".to_owned();
        }
        attempt.to_owned()
    }

    fn whole(&self, chat: &ChatDoc, prompt: &str, tokens: usize, attempt: &str) -> Response {
        let content: String = (0..tokens).map(token_text).collect();
        let answer = serde_json::json!({
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
        if use_up(&mut state.faults.errors) {
            return reply_text(StatusCode::INTERNAL_SERVER_ERROR, "engine failed");
        }
        let is_cut = use_up(&mut state.faults.truncations);
        drop(state);
        let text = answer.to_string();
        let mut reply = if is_cut {
            cut_short(&text)
        } else {
            reply_bytes(StatusCode::OK, "application/json", Bytes::from(text))
        };
        mark_attempt(&mut reply, attempt);
        reply
    }

    fn plan_stream(&self, attempt: &str, tokens: usize, from: usize) -> StreamPlan {
        let mut state = self.lock();
        let is_broken = state.faults.break_after.is_some() && use_up(&mut state.faults.breaks);
        StreamPlan {
            attempt: attempt.to_owned(),
            from,
            tokens,
            break_at: if is_broken {
                state.faults.break_after
            } else {
                None
            },
            is_marked: !use_up(&mut state.faults.missing_end_events),
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
                if cursor.plan.break_at == Some(cursor.next) {
                    sleep_for(BREAK_PAUSE).await;
                }
                frozen.pass().await;
                cursor.advance().map(|item| (item, cursor))
            }
        })
    }
}

fn use_up(counter: &mut u32) -> bool {
    let is_left = *counter > 0;
    *counter = counter.saturating_sub(1);
    is_left
}

async fn sleep_for(time: Duration) {
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
}

fn mark_attempt(reply: &mut Response, attempt: &str) {
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
    mark_attempt(&mut reply, attempt);
    reply
}

/// Announces the whole length and closes the connection half way.
fn cut_short(text: &str) -> Response {
    let half = Bytes::copy_from_slice(&text.as_bytes()[..text.len() / 2]);
    let pieces = futures::stream::once(async { Ok(half) }).chain(futures::stream::once(async {
        sleep_for(BREAK_PAUSE).await;
        Err(io::Error::other("cut on purpose"))
    }));
    let mut reply = reply_text(StatusCode::OK, "");
    *reply.body_mut() = stream_body(pieces);
    reply.headers_mut().insert(
        http::header::CONTENT_LENGTH,
        HeaderValue::from(text.len() as u64),
    );
    reply
}
