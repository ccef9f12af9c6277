//! A plain service on one machine, such as a billing application.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use briarswitch_core::prelude::*;
use briarswitch_http::{read_body, reply_json, reply_text, Handler, Request, Response};
use briarswitch_wire::caller::KEY_HEADER;
use briarswitch_wire::engine::{
    ReportDoc, StateDoc, ATTEMPT_HEADER, LEAVING_HEADER, NOT_RUN_HEADER,
};
use futures::future::BoxFuture;
use http::{HeaderMap, HeaderValue, StatusCode};

use crate::freeze::FreezeGate;
use crate::headers::text_of;
use crate::host::StandinHost;

const BODY_LIMIT: usize = 16 << 20;

/// Ways in which a plain service can be made to fail.
#[derive(Clone, Debug, Default)]
pub struct PlainFaults {
    /// Calls to run without ever answering.
    pub unanswered: u32,
    /// Time to spend on each call.
    pub processing_time: Duration,
    /// Calls to run and then break off without an answer.
    pub breaks: u32,
    /// Whether the service says that it is leaving, and runs nothing.
    pub is_leaving: bool,
}

/// One call that the service ran.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// Attempt it was given.
    pub attempt: AttemptId,
    /// Caller's key, if it had one.
    pub key: Option<String>,
    /// Path called.
    pub path: String,
    /// Time it was accepted.
    pub at: Instant,
}

#[derive(Default)]
struct PlainState {
    faults: PlainFaults,
    calls: Vec<ServiceCall>,
}

struct PlainHandler {
    vm: VmId,
    incarnation: Incarnation,
    state: Arc<Mutex<PlainState>>,
    frozen: Arc<FreezeGate>,
}

/// A running plain service.
pub struct PlainStandin {
    host: StandinHost,
    state: Arc<Mutex<PlainState>>,
    frozen: Arc<FreezeGate>,
}

impl PlainStandin {
    /// Starts a service.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error when the address cannot be had.
    pub fn spawn(address: &str, vm: &str, incarnation: Incarnation) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(PlainState::default()));
        let frozen = Arc::new(FreezeGate::default());
        let handler = PlainHandler {
            vm: vm.to_owned(),
            incarnation,
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
    pub fn update_faults(&self, change: impl FnOnce(&mut PlainFaults)) {
        change(&mut self.lock().faults);
    }

    /// Returns every call it ran.
    pub fn calls(&self) -> Vec<ServiceCall> {
        self.lock().calls.clone()
    }

    /// Ends the service at once.
    pub fn kill(&mut self) {
        self.host.kill();
    }

    /// Stops every answer until [`PlainStandin::thaw`].
    pub fn freeze(&self) {
        self.frozen.close();
    }

    /// Lets the service go on where it was frozen.
    pub fn thaw(&self) {
        self.frozen.open();
    }

    fn lock(&self) -> MutexGuard<'_, PlainState> {
        self.state.lock().expect("service state")
    }
}

enum CallOutcome {
    Respond(usize),
    NoResponse,
    Break,
    NotRun,
}

impl PlainHandler {
    fn lock(&self) -> MutexGuard<'_, PlainState> {
        self.state.lock().expect("service state")
    }

    fn run(&self, headers: &HeaderMap, path: &str) -> (CallOutcome, Duration) {
        let mut state = self.lock();
        let work = state.faults.processing_time;
        if state.faults.is_leaving {
            return (CallOutcome::NotRun, Duration::ZERO);
        }
        state.calls.push(ServiceCall {
            attempt: text_of(headers, ATTEMPT_HEADER).unwrap_or_default(),
            key: text_of(headers, KEY_HEADER),
            path: path.to_owned(),
            at: Instant::now(),
        });
        if state.faults.unanswered > 0 {
            state.faults.unanswered -= 1;
            return (CallOutcome::NoResponse, work);
        }
        if state.faults.breaks > 0 {
            state.faults.breaks -= 1;
            return (CallOutcome::Break, work);
        }
        (CallOutcome::Respond(state.calls.len()), work)
    }

    fn report(&self) -> ReportDoc {
        ReportDoc {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            state: StateDoc::Ready,
            group: None,
            generation: 0,
            fence: 0,
            weights: None,
            running: 0,
            queued: 0,
        }
    }
}

impl Handler for PlainHandler {
    fn handle(&self, request: Request) -> BoxFuture<'_, Response> {
        Box::pin(async move {
            self.frozen.pass().await;
            let (head, body) = request.into_parts();
            let Ok(bytes) = read_body(body, BODY_LIMIT).await else {
                return reply_text(StatusCode::BAD_REQUEST, "broken body");
            };
            let path = head.uri.path();
            if path == "/report" {
                return reply_json(StatusCode::OK, &self.report());
            }
            let (fate, work) = self.run(&head.headers, path);
            if !work.is_zero() {
                tokio::time::sleep(work).await;
            }
            let attempt = head.headers.get(ATTEMPT_HEADER).cloned();
            let mut reply = match fate {
                CallOutcome::Respond(count) => {
                    let text = String::from_utf8_lossy(&bytes);
                    let answer = serde_json::json!({"vm": self.vm, "count": count, "echo": text});
                    reply_json(StatusCode::OK, &answer)
                }
                CallOutcome::NoResponse => std::future::pending().await,
                CallOutcome::Break => broken_reply(),
                CallOutcome::NotRun => refusal(),
            };
            if let Some(attempt) = attempt {
                reply.headers_mut().insert(ATTEMPT_HEADER, attempt);
            }
            reply
        })
    }
}

fn broken_reply() -> Response {
    let mut reply = reply_text(StatusCode::OK, "");
    let pieces = [Err(io::Error::other("broken on purpose"))];
    *reply.body_mut() = briarswitch_http::stream_body(futures::stream::iter(pieces));
    reply
}

fn refusal() -> Response {
    let mut reply = reply_text(StatusCode::SERVICE_UNAVAILABLE, "leaving");
    let headers = reply.headers_mut();
    headers.insert(NOT_RUN_HEADER, HeaderValue::from_static("1"));
    headers.insert(LEAVING_HEADER, HeaderValue::from_static("1"));
    reply
}
