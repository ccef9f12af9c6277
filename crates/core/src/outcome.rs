//! Outcomes of requests, and the failure points that determine them.

use std::fmt;

/// The outcome of a request as reported to its caller.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Outcome {
    /// The complete response was delivered.
    Answered,
    /// No target ran the request.
    NotRun,
    /// The request may have run, but no complete response was delivered.
    Unknown,
}

impl Outcome {
    /// Returns the name used in headers, logs and metrics.
    ///
    /// ```
    /// use briarswitch_core::outcome::Outcome;
    ///
    /// assert_eq!(Outcome::NotRun.name(), "not_run");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// A point at which an attempt can fail.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum FailurePoint {
    /// Rejected because of its organisation, a rule or a limit.
    Refused,
    /// No target had both fresh evidence of being up and a free slot.
    NoTarget,
    /// Quarantined: targets crashed while running the request too often for a coincidence.
    Quarantined,
    /// The deadline passed while the request was queued.
    QueueDeadline,
    /// The connection could not be opened.
    Connect,
    /// The connection was found closed before any byte of the request was written.
    ClosedBeforeSend,
    /// The target reported that it did not run the request.
    TargetRefused,
    /// The connection broke after bytes of the request may have been sent.
    BrokenBeforeHead,
    /// The head of the response could not be read, or its status is not that of a final response.
    InvalidHead,
    /// No response arrived before the deadline.
    AnswerDeadline,
    /// The response carried the id of another attempt.
    ForeignAnswer,
    /// The response ended before its declared length or its end marker.
    Truncated,
    /// The target reported an internal error.
    TargetError,
    /// The caller's idempotency key is claimed and the result is not known here.
    KeyClaimed,
    /// The claim of the caller's idempotency key could not be recorded.
    ClaimStore,
}

impl FailurePoint {
    /// All failure points, for tests that trigger each of them.
    pub const ALL: [Self; 15] = [
        Self::Refused,
        Self::NoTarget,
        Self::Quarantined,
        Self::QueueDeadline,
        Self::Connect,
        Self::ClosedBeforeSend,
        Self::TargetRefused,
        Self::BrokenBeforeHead,
        Self::InvalidHead,
        Self::AnswerDeadline,
        Self::ForeignAnswer,
        Self::Truncated,
        Self::TargetError,
        Self::KeyClaimed,
        Self::ClaimStore,
    ];

    /// Returns the outcome that may be reported after a failure at this point.
    ///
    /// `NotRun` is returned only if no byte of the request can have reached a target, or if the
    /// target itself reported that it did not run the request. An error reported by the target
    /// counts as `Unknown`, since the target may have acted before it failed.
    ///
    /// ```
    /// use briarswitch_core::outcome::{FailurePoint, Outcome};
    ///
    /// assert_eq!(FailurePoint::Connect.outcome(), Outcome::NotRun);
    /// assert_eq!(FailurePoint::BrokenBeforeHead.outcome(), Outcome::Unknown);
    /// ```
    pub fn outcome(self) -> Outcome {
        match self {
            Self::Refused
            | Self::NoTarget
            | Self::Quarantined
            | Self::QueueDeadline
            | Self::Connect
            | Self::ClosedBeforeSend
            | Self::TargetRefused
            | Self::ClaimStore => Outcome::NotRun,
            Self::BrokenBeforeHead
            | Self::InvalidHead
            | Self::AnswerDeadline
            | Self::ForeignAnswer
            | Self::Truncated
            | Self::TargetError
            | Self::KeyClaimed => Outcome::Unknown,
        }
    }

    /// Returns whether another attempt is allowed.
    ///
    /// A repeatable request is retried after any failure of a target; any other request only if the
    /// failed attempt certainly did not run.
    pub fn allows_retry(self, repeatable: bool) -> bool {
        let is_target_failure = !matches!(
            self,
            Self::Refused
                | Self::NoTarget
                | Self::Quarantined
                | Self::QueueDeadline
                | Self::AnswerDeadline
                | Self::KeyClaimed
                | Self::ClaimStore
        );
        is_target_failure && (repeatable || self.outcome() == Outcome::NotRun)
    }

    /// Returns the failure point with a code; `None` if there is none.
    ///
    /// ```
    /// use briarswitch_core::outcome::FailurePoint;
    ///
    /// assert_eq!(FailurePoint::from_code("connect"), Some(FailurePoint::Connect));
    /// ```
    pub fn from_code(code: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|point| point.code() == code)
    }

    /// Returns the machine-readable code for the error body.
    pub fn code(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::NoTarget => "no_target",
            Self::Quarantined => "quarantined",
            Self::QueueDeadline => "queue_deadline",
            Self::Connect => "connect",
            Self::ClosedBeforeSend => "closed_before_send",
            Self::TargetRefused => "target_refused",
            Self::BrokenBeforeHead => "broken_before_head",
            Self::InvalidHead => "invalid_head",
            Self::AnswerDeadline => "answer_deadline",
            Self::ForeignAnswer => "foreign_answer",
            Self::Truncated => "truncated",
            Self::TargetError => "target_error",
            Self::KeyClaimed => "key_claimed",
            Self::ClaimStore => "claim_store",
        }
    }
}
