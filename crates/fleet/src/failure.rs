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
    pub response: Option<Box<(http::response::Parts, Bytes)>>,
    /// What became of the connection.
    pub connection: ConnectionFailure,
}

/// What became of the connection to a target where an attempt failed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ConnectionFailure {
    /// Nothing that says more than the point of failure.
    #[default]
    None,
    /// It broke while the target had the request.
    Broken,
    /// Nobody listened.
    Refused,
}

impl FailedAttempt {
    /// Returns the failure of an answer that had begun.
    pub fn after_head(point: FailurePoint) -> Self {
        let sign = match point {
            FailurePoint::Truncated => ConnectionFailure::Broken,
            _ => ConnectionFailure::None,
        };
        Self {
            connection: sign,
            ..point.into()
        }
    }
}

impl From<FailurePoint> for FailedAttempt {
    fn from(point: FailurePoint) -> Self {
        Self {
            point,
            response: None,
            connection: ConnectionFailure::default(),
        }
    }
}

/// Returns whether a status promises that the request has not run.
pub fn implies_not_run(status: StatusCode) -> bool {
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
pub enum HeadWaitError {
    /// The request could not be sent, or its connection broke.
    Send(SendFailure),
    /// The request's time is over.
    Deadline,
    /// The target is silent or slow, and there is another one.
    Rerouted,
}

impl From<HeadWaitError> for FailedAttempt {
    fn from(end: HeadWaitError) -> Self {
        let sign = match end {
            HeadWaitError::Send(SendFailure::Broken) => ConnectionFailure::Broken,
            HeadWaitError::Send(SendFailure::Refused) => ConnectionFailure::Refused,
            _ => ConnectionFailure::None,
        };
        Self {
            connection: sign,
            ..FailurePoint::from(end).into()
        }
    }
}

impl From<HeadWaitError> for FailurePoint {
    fn from(end: HeadWaitError) -> Self {
        match end {
            HeadWaitError::Send(SendFailure::Connect | SendFailure::Refused) => Self::Connect,
            HeadWaitError::Send(SendFailure::ClosedBeforeSend) => Self::ClosedBeforeSend,
            HeadWaitError::Send(SendFailure::Broken) | HeadWaitError::Rerouted => {
                Self::BrokenBeforeHead
            }
            HeadWaitError::Deadline => Self::AnswerDeadline,
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
