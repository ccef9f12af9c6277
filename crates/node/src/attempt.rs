//! One attempt to run a request at a target, and what its result proves.

use std::time::Duration;

use briarswitch_core::prelude::*;
use briarswitch_http::{full_body, SendError, TargetBody, TargetClient, TargetResponse};
use briarswitch_kernel::{BootClock, Mailbox};
use briarswitch_wire::engine::{
    ATTEMPT_HEADER, GROUP_HEADER, LEAVING_HEADER, NOT_RUN_HEADER, PRIORITY_HEADER, RESUME_HEADER,
    TIMEOUT_HEADER,
};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Uri};

use crate::routes::Target;
use crate::watch::WatchMessage;

/// Largest whole answer held, in bytes.
const ANSWER_LIMIT: usize = 64 << 20;

/// A request as it is sent to targets.
#[derive(Clone, Debug)]
pub struct TargetAsk {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers passed on.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Whether another attempt may be made after this one may have run.
    pub is_repeatable: bool,
    /// Whether the target has to name the attempt in its answer.
    pub must_echo: bool,
    /// Priority.
    pub priority: u8,
    /// Local time by which the answer has to be whole, or its stream begun.
    pub deadline: Moment,
}

/// The head of an answer that belongs to the attempt.
pub struct AttemptReply {
    /// Status and headers.
    pub head: http::response::Parts,
    /// Body that follows.
    pub body: TargetBody,
}

/// Sends attempts to targets.
#[derive(Clone)]
pub struct AttemptRunner {
    client: TargetClient,
    watch: Mailbox<WatchMessage>,
}

impl AttemptRunner {
    /// Opens a runner that tells the watch service of targets found gone or leaving.
    pub fn open(client: TargetClient, watch: Mailbox<WatchMessage>) -> Self {
        Self { client, watch }
    }

    /// Sends one attempt and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Returns the point of failure, which decides what the caller may be told.
    pub async fn begin(
        &self,
        ask: &TargetAsk,
        target: &Target,
        attempt: &str,
        resume: Option<usize>,
    ) -> Result<AttemptReply, FailurePoint> {
        let sent = BootClock::now();
        let left = ask.deadline.saturating_sub(sent);
        let request = build_request(ask, target, attempt, resume, left);
        let sending = self
            .client
            .send(&target.address, request, !ask.is_repeatable);
        let reply = match tokio::time::timeout(left, sending).await {
            Ok(Ok(reply)) => reply,
            Ok(Err(failure)) => return Err(self.note_failure(failure, target, sent)),
            Err(_) => return Err(FailurePoint::AnswerDeadline),
        };
        self.check(reply, ask, target, attempt)
    }

    fn note_failure(&self, failure: SendError, target: &Target, sent: Moment) -> FailurePoint {
        let _ = self.watch.post(WatchMessage::Failed {
            vm: target.vm.clone(),
            at: sent,
        });
        match failure {
            SendError::Connect | SendError::Refused => FailurePoint::Connect,
            SendError::ClosedBeforeSend => FailurePoint::ClosedBeforeSend,
            SendError::Broken => FailurePoint::BrokenBeforeHead,
        }
    }

    fn check(
        &self,
        reply: TargetResponse,
        ask: &TargetAsk,
        target: &Target,
        attempt: &str,
    ) -> Result<AttemptReply, FailurePoint> {
        let TargetResponse { head, body } = reply;
        if head.headers.contains_key(LEAVING_HEADER) {
            let _ = self.watch.post(WatchMessage::Leaving {
                vm: target.vm.clone(),
                incarnation: target.address.incarnation,
            });
        }
        if head.headers.contains_key(NOT_RUN_HEADER) {
            return Err(FailurePoint::TargetRefused);
        }
        let echo = head.headers.get(ATTEMPT_HEADER);
        let is_foreign = match echo {
            Some(echo) => echo.as_bytes() != attempt.as_bytes(),
            None => ask.must_echo && head.status.is_success(),
        };
        if is_foreign {
            return Err(FailurePoint::ForeignAnswer);
        }
        if head.status.is_server_error() {
            return Err(FailurePoint::TargetError);
        }
        Ok(AttemptReply { head, body })
    }
}

/// Reads an answer to its end.
///
/// # Errors
///
/// Returns [`FailurePoint::Truncated`] when it breaks off or is too large, and
/// [`FailurePoint::AnswerDeadline`] when it is not whole in time.
pub async fn read_whole(body: TargetBody, deadline: Moment) -> Result<Bytes, FailurePoint> {
    let left = deadline.saturating_sub(BootClock::now());
    match tokio::time::timeout(left, body.read_all(ANSWER_LIMIT)).await {
        Ok(result) => result.map_err(|_| FailurePoint::Truncated),
        Err(_) => Err(FailurePoint::AnswerDeadline),
    }
}

fn build_request(
    ask: &TargetAsk,
    target: &Target,
    attempt: &str,
    resume: Option<usize>,
    left: Duration,
) -> http::Request<http_body_util::Full<Bytes>> {
    let mut request = http::Request::new(full_body(ask.body.clone()));
    *request.method_mut() = ask.method.clone();
    *request.uri_mut() = ask.path.parse::<Uri>().unwrap_or_default();
    let headers = request.headers_mut();
    headers.clone_from(&ask.headers);
    insert(headers, "host", &target.address.address);
    insert(headers, ATTEMPT_HEADER, attempt);
    insert(headers, GROUP_HEADER, &target.id);
    insert(headers, PRIORITY_HEADER, &ask.priority.to_string());
    insert(headers, TIMEOUT_HEADER, &left.as_millis().to_string());
    if let Some(events) = resume {
        insert(headers, RESUME_HEADER, &events.to_string());
    }
    request
}

fn insert(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}
