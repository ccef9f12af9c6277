//! Fake plain service on one machine, such as a billing application.

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

const MAX_BODY_BYTES: usize = 16 << 20;

/// Faults that can be injected into a plain service.
#[derive(Clone, Debug, Default)]
pub struct PlainFaults {
    /// Number of calls to run without ever responding.
    pub unanswered: u32,
    /// Processing time of each call.
    pub processing_time: Duration,
    /// Number of calls to run and then abort without a response.
    pub breaks: u32,
    /// Size in bytes of a text that is each answer; zero for the usual answers.
    pub answer_bytes: usize,
    /// Whether the service rejects all calls because it is shutting down.
    pub is_leaving: bool,
}

/// A call that the service ran.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Idempotency key of the caller, if any.
    pub key: Option<String>,
    /// Path of the request.
    pub path: String,
    /// Time at which the call was accepted.
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

/// A running fake service.
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
    /// Returns an error if the address cannot be bound.
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

    /// Returns the address the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Changes the injected faults.
    pub fn update_faults(&self, change: impl FnOnce(&mut PlainFaults)) {
        change(&mut self.lock().faults);
    }

    /// Returns all calls that the service ran.
    pub fn calls(&self) -> Vec<ServiceCall> {
        self.lock().calls.clone()
    }

    /// Stops the service immediately and closes its connections.
    pub fn kill(&mut self) {
        self.host.kill();
    }

    /// Holds back all responses until [`PlainStandin::thaw`].
    pub fn freeze(&self) {
        self.frozen.close();
    }

    /// Continues where the service was frozen.
    pub fn thaw(&self) {
        self.frozen.open();
    }

    fn lock(&self) -> MutexGuard<'_, PlainState> {
        self.state.lock().expect("service state")
    }
}

enum CallOutcome {
    Respond { count: usize, filler: usize },
    NoResponse,
    Abort,
    NotRun,
}

impl PlainHandler {
    fn lock(&self) -> MutexGuard<'_, PlainState> {
        self.state.lock().expect("service state")
    }

    fn run(&self, headers: &HeaderMap, path: &str) -> (CallOutcome, Duration) {
        let mut state = self.lock();
        let processing_time = state.faults.processing_time;
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
            return (CallOutcome::NoResponse, processing_time);
        }
        if state.faults.breaks > 0 {
            state.faults.breaks -= 1;
            return (CallOutcome::Abort, processing_time);
        }
        let outcome = CallOutcome::Respond {
            count: state.calls.len(),
            filler: state.faults.answer_bytes,
        };
        (outcome, processing_time)
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
            let Ok(bytes) = read_body(body, MAX_BODY_BYTES).await else {
                return reply_text(StatusCode::BAD_REQUEST, "incomplete or too large body");
            };
            let path = head.uri.path();
            if path == "/report" {
                return reply_json(StatusCode::OK, &self.report());
            }
            let (outcome, processing_time) = self.run(&head.headers, path);
            if !processing_time.is_zero() {
                tokio::time::sleep(processing_time).await;
            }
            let attempt = head.headers.get(ATTEMPT_HEADER).cloned();
            let mut reply = match outcome {
                CallOutcome::Respond { filler, .. } if filler > 0 => {
                    reply_text(StatusCode::OK, "a".repeat(filler))
                }
                CallOutcome::Respond { count, .. } => {
                    let text = String::from_utf8_lossy(&bytes);
                    let body = serde_json::json!({"vm": self.vm, "count": count, "echo": text});
                    reply_json(StatusCode::OK, &body)
                }
                CallOutcome::NoResponse => std::future::pending().await,
                CallOutcome::Abort => aborted_reply(),
                CallOutcome::NotRun => rejection(),
            };
            if let Some(attempt) = attempt {
                reply.headers_mut().insert(ATTEMPT_HEADER, attempt);
            }
            reply
        })
    }
}

fn aborted_reply() -> Response {
    let mut reply = reply_text(StatusCode::OK, "");
    let chunks = [Err(io::Error::other("injected fault: aborted response"))];
    *reply.body_mut() = briarswitch_http::stream_body(futures::stream::iter(chunks));
    reply
}

fn rejection() -> Response {
    let mut reply = reply_text(StatusCode::SERVICE_UNAVAILABLE, "leaving");
    let headers = reply.headers_mut();
    headers.insert(NOT_RUN_HEADER, HeaderValue::from_static("1"));
    headers.insert(LEAVING_HEADER, HeaderValue::from_static("1"));
    reply
}
