//! Replies to callers: error documents in the format that API clients expect, and reply headers.

use std::time::Duration;

use briarswitch_core::prelude::*;
use briarswitch_http::{reply_json, Response, PANIC_TEXT};
use briarswitch_wire::caller::{
    ErrorDetail, ErrorDoc, NODE_HEADER, OUTCOME_HEADER, REQUEST_HEADER, TARGET_HEADER,
};
use bytes::Bytes;
use http::header::{HeaderName, RETRY_AFTER};
use http::{HeaderValue, StatusCode};

/// A failure reported to a caller in place of a response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallerFailure {
    /// HTTP status of the reply.
    pub status: StatusCode,
    /// Point at which the request failed.
    pub point: FailurePoint,
    /// Error code that replaces the one of the failure point.
    pub code: Option<&'static str>,
    /// Human-readable message.
    pub message: String,
    /// Time after which the caller may retry.
    pub retry_after: Option<Duration>,
}

impl CallerFailure {
    /// Creates the failure of a request that was refused before any attempt.
    pub fn refused(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        Self {
            status,
            point: FailurePoint::Refused,
            code: Some(code),
            message: message.into(),
            retry_after: None,
        }
    }

    /// Creates the failure for a failure point.
    pub fn at(point: FailurePoint) -> Self {
        let (status, message) = describe(point);
        Self {
            status,
            point,
            code: None,
            message: message.to_owned(),
            retry_after: None,
        }
    }

    /// Creates the failure of a request whose handling panicked, which may have run.
    ///
    /// ```
    /// use briarswitch_node::reply::CallerFailure;
    ///
    /// let reply = CallerFailure::after_panic().reply();
    /// assert_eq!(reply.status(), 500);
    /// assert_eq!(reply.headers()["x-outcome"], "unknown");
    /// assert!(!reply.headers().contains_key("retry-after"));
    /// ```
    pub fn after_panic() -> Self {
        Self {
            status: StatusCode::INTERNAL_SERVER_ERROR,
            // Nobody knows where it failed; of this point nothing but the outcome is told.
            point: FailurePoint::BrokenBeforeHead,
            code: Some("node_panicked"),
            message: PANIC_TEXT.to_owned(),
            retry_after: None,
        }
    }

    /// Sets the time after which the caller may retry.
    #[must_use]
    pub fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Returns the outcome reported to the caller.
    pub fn outcome(&self) -> Outcome {
        self.point.outcome()
    }

    /// Builds the HTTP reply.
    pub fn reply(&self) -> Response {
        let doc = ErrorDoc {
            error: ErrorDetail {
                message: self.message.clone(),
                kind: kind_of(self.status).to_owned(),
                code: self.code.unwrap_or(self.point.code()).to_owned(),
                outcome: self.outcome().name().to_owned(),
                retry_after_ms: self.retry_after.map(millis),
            },
        };
        let mut reply = reply_json(self.status, &doc);
        if let Some(delay) = self.retry_after {
            let seconds = delay.as_millis().div_ceil(1000);
            let value = u64::try_from(seconds).unwrap_or(u64::MAX);
            reply
                .headers_mut()
                .insert(RETRY_AFTER, HeaderValue::from(value));
        }
        set_header(&mut reply, OUTCOME_HEADER, self.outcome().name());
        reply
    }
}

/// Creates the failure of a malformed request.
pub fn bad_request(code: &'static str, message: impl Into<String>) -> CallerFailure {
    CallerFailure::refused(StatusCode::BAD_REQUEST, code, message)
}

/// Sets the headers that name the request, the node and, unless empty, the target of a reply.
pub fn mark_reply(reply: &mut Response, request: &str, node: &str, target: &str) {
    set_header(reply, REQUEST_HEADER, request);
    set_header(reply, NODE_HEADER, node);
    if !target.is_empty() {
        set_header(reply, TARGET_HEADER, target);
    }
}

/// Sets a header, unless the value is not valid in a header.
pub fn set_header(reply: &mut Response, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        reply
            .headers_mut()
            .insert(HeaderName::from_static(name), value);
    }
}

/// Builds the error event that ends a broken stream.
///
/// ```
/// use briarswitch_core::outcome::FailurePoint;
/// use briarswitch_node::reply::error_event;
///
/// let event = error_event(FailurePoint::Truncated);
/// assert!(event.ends_with(b"\n\n") && !event.ends_with(b"[DONE]\n\n"));
/// ```
pub fn error_event(point: FailurePoint) -> Bytes {
    let (status, message) = describe(point);
    let doc = ErrorDoc {
        error: ErrorDetail {
            message: message.to_owned(),
            kind: kind_of(status).to_owned(),
            code: point.code().to_owned(),
            outcome: point.outcome().name().to_owned(),
            retry_after_ms: None,
        },
    };
    let text = serde_json::to_string(&doc).unwrap_or_default();
    Bytes::from(format!("data: {text}\n\n"))
}

fn millis(delay: Duration) -> u64 {
    u64::try_from(delay.as_millis()).unwrap_or(u64::MAX)
}

fn kind_of(status: StatusCode) -> &'static str {
    match status {
        StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN => "authentication_error",
        StatusCode::TOO_MANY_REQUESTS => "rate_limit_error",
        status if status.is_client_error() => "invalid_request_error",
        StatusCode::SERVICE_UNAVAILABLE => "overloaded_error",
        _ => "server_error",
    }
}

fn describe(point: FailurePoint) -> (StatusCode, &'static str) {
    match point {
        FailurePoint::Refused => (StatusCode::BAD_REQUEST, "the request was refused"),
        FailurePoint::NoTarget => (
            StatusCode::SERVICE_UNAVAILABLE,
            "no target can take the request now",
        ),
        FailurePoint::Quarantined => (
            StatusCode::SERVICE_UNAVAILABLE,
            "targets ended while they ran this request",
        ),
        FailurePoint::QueueDeadline => (
            StatusCode::SERVICE_UNAVAILABLE,
            "the time limit came before a target was free",
        ),
        FailurePoint::Connect | FailurePoint::ClosedBeforeSend => (
            StatusCode::SERVICE_UNAVAILABLE,
            "no target could be reached",
        ),
        FailurePoint::TargetRefused => (
            StatusCode::SERVICE_UNAVAILABLE,
            "the target did not run the request",
        ),
        FailurePoint::BrokenBeforeHead => (
            StatusCode::BAD_GATEWAY,
            "the connection to the target broke; the request may have run",
        ),
        FailurePoint::InvalidHead => (
            StatusCode::BAD_GATEWAY,
            "the target's answer has no valid head; the request may have run",
        ),
        FailurePoint::AnswerDeadline => (
            StatusCode::GATEWAY_TIMEOUT,
            "no answer came in time; the request may have run",
        ),
        FailurePoint::ForeignAnswer => (
            StatusCode::BAD_GATEWAY,
            "the target answered another request; this one may have run",
        ),
        FailurePoint::Truncated => (
            StatusCode::BAD_GATEWAY,
            "the answer broke off; the request may have run",
        ),
        FailurePoint::TargetError => (
            StatusCode::BAD_GATEWAY,
            "the target failed; the request may have run",
        ),
        FailurePoint::KeyClaimed => (
            StatusCode::CONFLICT,
            "the idempotency key was used before; that request may have run",
        ),
        FailurePoint::ClaimStore => (
            StatusCode::SERVICE_UNAVAILABLE,
            "the idempotency key could not be recorded; nothing was run",
        ),
    }
}
