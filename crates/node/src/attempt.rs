//! A single attempt to run a request at a target, and the classification of its result.

use std::time::Duration;

use briarswitch_core::prelude::*;
use briarswitch_http::{full_body, SendError, TargetBody, TargetClient, TargetResponse, WholeBody};
use briarswitch_kernel::{BootClock, Mailbox};
use briarswitch_wire::engine::{
    ATTEMPT_HEADER, GROUP_HEADER, LEAVING_HEADER, NOT_RUN_HEADER, PRIORITY_HEADER, RESUME_HEADER,
    TIMEOUT_HEADER,
};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Uri};

use crate::routes::Target;
use crate::watch::WatchMessage;

/// Maximum size of a response that is not streamed, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// A request as it is sent to targets.
#[derive(Clone, Debug)]
pub struct TargetRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers forwarded from the caller.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Whether the request may be sent again after an attempt that may have run.
    pub is_repeatable: bool,
    /// Whether a successful response must name the attempt that it belongs to.
    pub must_echo: bool,
    /// Priority of the request.
    pub priority: u8,
    /// Local time by which the response must be complete or, if it is streamed, have started.
    pub deadline: Moment,
}

/// A response that belongs to the attempt, its body not yet read.
pub struct AttemptReply {
    /// Status and headers.
    pub head: http::response::Parts,
    /// Body, as it arrives.
    pub body: TargetBody,
}

/// Sends attempts to targets.
#[derive(Clone)]
pub struct AttemptRunner {
    client: TargetClient,
    watch: Mailbox<WatchMessage>,
}

impl AttemptRunner {
    /// Creates a runner that reports failing and leaving targets to the watch service.
    pub fn new(client: TargetClient, watch: Mailbox<WatchMessage>) -> Self {
        Self { client, watch }
    }

    /// Sends an attempt and waits for the head of its response.
    ///
    /// `resume` is the number of events after which the target is asked to continue a stream.
    ///
    /// # Errors
    ///
    /// Returns the failure point, which determines the outcome that the caller may be told.
    pub async fn begin(
        &self,
        request: &TargetRequest,
        target: &Target,
        attempt: &str,
        resume: Option<usize>,
    ) -> Result<AttemptReply, FailurePoint> {
        let sent = BootClock::now();
        let left = request.deadline.saturating_sub(sent);
        let outgoing = build_request(request, target, attempt, resume, left);
        let sending = self
            .client
            .send(&target.address, outgoing, !request.is_repeatable);
        let reply = match tokio::time::timeout(left, sending).await {
            Ok(Ok(reply)) => reply,
            Ok(Err(failure)) => return Err(self.report_failure(failure, target, sent)),
            Err(_) => return Err(FailurePoint::AnswerDeadline),
        };
        self.check_reply(reply, request, target, attempt)
    }

    fn report_failure(&self, failure: SendError, target: &Target, sent: Moment) -> FailurePoint {
        let _ = self.watch.post(WatchMessage::Failed {
            vm: target.vm.clone(),
            at: sent,
        });
        match failure {
            SendError::Connect | SendError::Refused => FailurePoint::Connect,
            SendError::ClosedBeforeSend => FailurePoint::ClosedBeforeSend,
            SendError::Broken => FailurePoint::BrokenBeforeHead,
            SendError::InvalidHead => FailurePoint::InvalidHead,
        }
    }

    fn check_reply(
        &self,
        reply: TargetResponse,
        request: &TargetRequest,
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
            None => request.must_echo && head.status.is_success(),
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

/// Reads the body of a response to its end, which may not be marked.
///
/// # Errors
///
/// Returns [`FailurePoint::Truncated`] if the body breaks off or is too large, and
/// [`FailurePoint::AnswerDeadline`] if it is not complete in time.
pub async fn read_to_end(body: TargetBody, deadline: Moment) -> Result<WholeBody, FailurePoint> {
    let left = deadline.saturating_sub(BootClock::now());
    match tokio::time::timeout(left, body.read_all(MAX_RESPONSE_BYTES)).await {
        Ok(read) => read.map_err(|_| FailurePoint::Truncated),
        Err(_) => Err(FailurePoint::AnswerDeadline),
    }
}

fn build_request(
    request: &TargetRequest,
    target: &Target,
    attempt: &str,
    resume: Option<usize>,
    left: Duration,
) -> http::Request<http_body_util::Full<Bytes>> {
    let mut outgoing = http::Request::new(full_body(request.body.clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.path.parse::<Uri>().unwrap_or_default();
    let headers = outgoing.headers_mut();
    headers.clone_from(&request.headers);
    insert(headers, "host", &target.address.address);
    insert(headers, ATTEMPT_HEADER, attempt);
    insert(headers, GROUP_HEADER, &target.id);
    insert(headers, PRIORITY_HEADER, &request.priority.to_string());
    insert(headers, TIMEOUT_HEADER, &left.as_millis().to_string());
    if let Some(events) = resume {
        insert(headers, RESUME_HEADER, &events.to_string());
    }
    outgoing
}

fn insert(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}
