//! What a failed attempt means for the request, its caller and its target.

use briarswitch_core::outcome::{FailurePoint, Outcome};
use briarswitch_http::SendFailure;
use bytes::Bytes;
use http::StatusCode;

/// A failed attempt.
pub struct FailedAttempt {
    /// Point of failure.
    pub point: FailurePoint,
    /// The target's own answer, if it made one that may be passed on.
    pub answer: Option<Box<(http::response::Parts, Bytes)>>,
    /// What became of the connection.
    pub sign: FailureSign,
}

/// What became of the connection to a target where an attempt failed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum FailureSign {
    /// Nothing that says more than the point of failure.
    #[default]
    Plain,
    /// It broke while the target had the request.
    Broke,
    /// Nobody listened.
    Refused,
}

impl FailedAttempt {
    /// Returns the failure of an answer that had begun.
    pub fn after_head(point: FailurePoint) -> Self {
        let sign = match point {
            FailurePoint::Truncated => FailureSign::Broke,
            _ => FailureSign::Plain,
        };
        Self {
            sign,
            ..point.into()
        }
    }
}

impl From<FailurePoint> for FailedAttempt {
    fn from(point: FailurePoint) -> Self {
        Self {
            point,
            answer: None,
            sign: FailureSign::default(),
        }
    }
}

/// Returns whether a status promises that the request has not run.
pub fn is_promise(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Why the wait for an answer's head ended without one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WaitEnd {
    /// The request could not be sent, or its connection broke.
    Failed(SendFailure),
    /// The request's time is over.
    Deadline,
    /// The target is silent or slow, and there is another one.
    Moved,
}

impl From<WaitEnd> for FailedAttempt {
    fn from(end: WaitEnd) -> Self {
        let sign = match end {
            WaitEnd::Failed(SendFailure::Broken) => FailureSign::Broke,
            WaitEnd::Failed(SendFailure::Refused) => FailureSign::Refused,
            _ => FailureSign::Plain,
        };
        Self {
            sign,
            ..FailurePoint::from(end).into()
        }
    }
}

impl From<WaitEnd> for FailurePoint {
    fn from(end: WaitEnd) -> Self {
        match end {
            WaitEnd::Failed(SendFailure::Connect | SendFailure::Refused) => Self::Connect,
            WaitEnd::Failed(SendFailure::ClosedBeforeSend) => Self::ClosedBeforeSend,
            WaitEnd::Failed(SendFailure::Broken) | WaitEnd::Moved => Self::BrokenBeforeHead,
            WaitEnd::Deadline => Self::AnswerDeadline,
        }
    }
}

/// Returns the point to report after several failures: one that leaves the outcome open stays.
pub fn worst_of(earlier: Option<FailurePoint>, later: FailurePoint) -> FailurePoint {
    match earlier {
        Some(point) if point.outcome() == Outcome::Unknown => point,
        _ => later,
    }
}
