//! Responses that the node generates itself, for requests without a target's response.

use std::time::Duration;

use briarswitch_core::outcome::{FailurePoint, Outcome};
use briarswitch_core::return_schedule::unscheduled_return;
use briarswitch_http::{reply_text, Response};
use http::header::RETRY_AFTER;
use http::{HeaderValue, StatusCode};

/// A response that the node generates itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LocalReply {
    /// HTTP status.
    pub status: StatusCode,
    /// Text of the body.
    pub text: &'static str,
    /// Delay after which to retry; `None` if a retry is pointless.
    pub retry_after: Option<Duration>,
}

impl LocalReply {
    /// Returns a reply without a `Retry-After` header: the caller should not retry.
    pub fn rejected(status: StatusCode, text: &'static str) -> Self {
        Self {
            status,
            text,
            retry_after: None,
        }
    }

    /// Returns a reply that guarantees that the request has not run and will not run.
    pub fn not_run(text: &'static str) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            text,
            retry_after: Some(unscheduled_return(rand::random())),
        }
    }

    /// Returns a reply that guarantees that the request has not run and will be refused for the remaining time.
    pub fn quarantined(remaining: Duration) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            text: FailurePoint::Quarantined.code(),
            retry_after: Some(remaining),
        }
    }

    /// Returns the reply to a request that failed at `point`; only [`Outcome::NotRun`] guarantees that it has not run.
    pub fn for_failure(point: FailurePoint) -> Self {
        match point.outcome() {
            Outcome::NotRun => Self::not_run(point.code()),
            _ if point == FailurePoint::AnswerDeadline => {
                Self::rejected(StatusCode::GATEWAY_TIMEOUT, point.code())
            }
            _ => Self::rejected(StatusCode::BAD_GATEWAY, point.code()),
        }
    }

    /// Adds time to the delay after which to retry, if there is one; its random part remains.
    pub fn delayed_by(self, delay: Duration) -> Self {
        Self {
            retry_after: self.retry_after.map(|after| after + delay),
            ..self
        }
    }

    /// Replaces the delay after which to retry, if there is one.
    pub fn returning_in(self, delay: Duration) -> Self {
        Self {
            retry_after: self.retry_after.map(|_| delay),
            ..self
        }
    }

    /// Builds the HTTP response.
    pub fn into_response(self) -> Response {
        let mut response = reply_text(self.status, self.text);
        if let Some(delay) = self.retry_after {
            let text = format!("{:.2}", delay.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&text) {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        response
    }
}
