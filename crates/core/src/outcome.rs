//! What became of a request, and the table of failure points that decides it.

use std::fmt;

/// What a caller is told of its request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Outcome {
    /// The whole answer was delivered.
    Answered,
    /// No target ran the request.
    NotRun,
    /// The request may have run; no whole answer was delivered.
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

/// Every point at which an attempt can fail.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum FailurePoint {
    /// No organisation, rule or limit let the request through.
    Refused,
    /// No target had fresh evidence and room.
    NoTarget,
    /// Targets ended while they ran it, too often for a coincidence.
    Quarantined,
    /// The place in the queue was not reached before the deadline.
    QueueDeadline,
    /// The connection could not be opened.
    Connect,
    /// The connection was found closed before a byte of the request was written.
    ClosedBeforeSend,
    /// The target said that it did not run the request.
    TargetRefused,
    /// The connection broke after bytes of the request may have left.
    BrokenBeforeHead,
    /// No answer came before the deadline.
    AnswerDeadline,
    /// The answer carried another attempt's id.
    ForeignAnswer,
    /// The answer ended before its length or end mark.
    Truncated,
    /// The target reported an error of its own.
    TargetError,
    /// The caller's key is claimed and its result is not known here.
    KeyClaimed,
    /// The claim of the caller's key could not be recorded.
    ClaimStore,
}

impl FailurePoint {
    /// Every point, for tests that cause each one.
    pub const ALL: [Self; 14] = [
        Self::Refused,
        Self::NoTarget,
        Self::Quarantined,
        Self::QueueDeadline,
        Self::Connect,
        Self::ClosedBeforeSend,
        Self::TargetRefused,
        Self::BrokenBeforeHead,
        Self::AnswerDeadline,
        Self::ForeignAnswer,
        Self::Truncated,
        Self::TargetError,
        Self::KeyClaimed,
        Self::ClaimStore,
    ];

    /// Returns what the caller may be told after a failure at this point.
    ///
    /// `NotRun` is returned only where no byte of the request can have reached a target, or the
    /// target itself said that it did not run it. An error from the target counts as `Unknown`,
    /// since the target may have acted before failing.
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
            | Self::AnswerDeadline
            | Self::ForeignAnswer
            | Self::Truncated
            | Self::TargetError
            | Self::KeyClaimed => Outcome::Unknown,
        }
    }

    /// Returns whether another attempt is allowed.
    ///
    /// A request that may be repeated is tried again after any failure of a target; one that may
    /// not is tried again only when the failed attempt certainly did not run.
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

    /// Returns the machine-readable code in the error body.
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
            Self::AnswerDeadline => "answer_deadline",
            Self::ForeignAnswer => "foreign_answer",
            Self::Truncated => "truncated",
            Self::TargetError => "target_error",
            Self::KeyClaimed => "key_claimed",
            Self::ClaimStore => "claim_store",
        }
    }
}
