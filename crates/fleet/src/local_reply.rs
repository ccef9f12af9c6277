//! Answers of the node's own, for requests that no target answered.

use std::time::Duration;

use briarswitch_core::outcome::{FailurePoint, Outcome};
use briarswitch_http::{reply_text, Response};
use http::header::RETRY_AFTER;
use http::{HeaderValue, StatusCode};

/// Range of the time after which callers are told to come back.
///
/// Callers that were refused together must not return together.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_millis(600));

/// An answer of the node's own.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LocalReply {
    /// Status.
    pub status: StatusCode,
    /// What the body says.
    pub text: &'static str,
    /// When to come back.
    pub retry_after: Option<Duration>,
}

impl LocalReply {
    /// Returns an answer after which coming back is pointless.
    pub fn rejected(status: StatusCode, text: &'static str) -> Self {
        Self {
            status,
            text,
            retry_after: None,
        }
    }

    /// Returns the promise that the request has not run and will not.
    pub fn not_run(text: &'static str) -> Self {
        let (least, most) = RETRY_AFTER_RANGE;
        let spread = (most - least).mul_f64(rand::random::<f64>());
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            text,
            retry_after: Some(least + spread),
        }
    }

    /// Returns the promise that the request has not run, and will not for a while whenever it comes again.
    pub fn quarantined(left: Duration) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            text: FailurePoint::Quarantined.code(),
            retry_after: Some(left),
        }
    }

    /// Returns the answer after a failed attempt; only [`Outcome::NotRun`] promises anything.
    pub fn for_failure(point: FailurePoint) -> Self {
        match point.outcome() {
            Outcome::NotRun => Self::not_run(point.code()),
            _ if point == FailurePoint::AnswerDeadline => {
                Self::rejected(StatusCode::GATEWAY_TIMEOUT, point.code())
            }
            _ => Self::rejected(StatusCode::BAD_GATEWAY, point.code()),
        }
    }

    /// Builds the response.
    pub fn into_response(self) -> Response {
        let mut response = reply_text(self.status, self.text);
        if let Some(time) = self.retry_after {
            let text = format!("{:.2}", time.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&text) {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        response
    }
}
