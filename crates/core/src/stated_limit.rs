//! Limits that targets state in their responses: how many requests a second they take from all nodes together.

use std::time::Duration;

use crate::id::{Moment, TargetId};
use crate::request_limit::RequestLimit;

/// Time without a response that states it after which a limit is forgotten; usually a response ends it earlier.
const MAX_AGE: Duration = Duration::from_secs(60);
/// Time for which a node reports to the others that a limit was stated; several messages.
const REPORT_TIME: Duration = Duration::from_millis(500);
/// Time for which a node reports to the others that a limit has ended, with the time of the latest response that said so.
const END_REPORT_TIME: Duration = Duration::from_secs(2);
/// Interval at which nodes report again that a limit is still stated.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(3);
/// Age up to which reports are passed on by the nodes between the one that heard a limit and the others.
pub const MAX_REPORT_AGE: Duration = Duration::from_secs(2);
/// Time by which a report of another node has to be newer than what is known.
///
/// Its age is an estimate that leaves out the time that the messages took.
pub const AGE_ERROR: Duration = Duration::from_millis(500);

/// What the head of one response says about the target's limit.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LimitHeader {
    /// The response states no limit.
    #[default]
    Absent,
    /// The response states a limit that is not a number of requests; it changes nothing.
    Unreadable,
    /// The response states a limit.
    Stated(RequestLimit),
}

/// A change of what a node knows of a target's limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitChange {
    /// The target has a limit, or another one than before.
    Begun(RequestLimit),
    /// The target has no limit any more.
    Ended,
}

impl LimitChange {
    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Begun(_) => "begun",
            Self::Ended => "ended",
        }
    }
}

/// What one node reports to the others about a target's limit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LimitReport {
    /// The target.
    pub target: TargetId,
    /// The limit; `None` if it has ended.
    pub limit: Option<RequestLimit>,
    /// Time since the response that said so.
    pub age: Duration,
}

/// What a node knows of the limit that a target states.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct StatedLimit {
    limit: Option<RequestLimit>,
    /// When the limit was last stated, here or to another node, or when the request was sent whose response ended it.
    heard_at: Moment,
    /// Until when this node reports to the others what it heard itself.
    reported_until: Moment,
    /// When this or another node last began to report that the limit is stated.
    renewed_at: Moment,
}

impl StatedLimit {
    /// Records the head of a response to a request that was sent at `sent_at`.
    ///
    /// Responses may overtake each other, so a limit is ended only by a response to a request that was sent after the
    /// limit was last stated. It then counts as ended from the time of that request, since the target may have stated
    /// a limit to others while the response was on its way.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use briarswitch_core::request_limit::RequestLimit;
    /// use briarswitch_core::stated_limit::{LimitChange, LimitHeader, StatedLimit};
    ///
    /// let at = Duration::from_millis;
    /// let limit = RequestLimit::per_second(2.4);
    /// let mut stated = StatedLimit::default();
    /// let change = stated.record_response(LimitHeader::Stated(limit), at(900), at(1_000));
    /// assert_eq!(change, Some(LimitChange::Begun(limit)));
    /// assert_eq!(stated.record_response(LimitHeader::Absent, at(950), at(1_100)), None);
    /// let change = stated.record_response(LimitHeader::Absent, at(1_050), at(1_200));
    /// assert_eq!(change, Some(LimitChange::Ended));
    /// ```
    pub fn record_response(
        &mut self,
        header: LimitHeader,
        sent_at: Moment,
        now: Moment,
    ) -> Option<LimitChange> {
        match header {
            LimitHeader::Unreadable => None,
            LimitHeader::Stated(limit) => self.record_stated(limit, now),
            LimitHeader::Absent if sent_at > self.heard_at => self.record_absent(sent_at, now),
            LimitHeader::Absent => None,
        }
    }

    fn record_stated(&mut self, limit: RequestLimit, now: Moment) -> Option<LimitChange> {
        let mut next = Self {
            limit: Some(limit),
            heard_at: now,
            ..*self
        };
        if self.limit != next.limit || now >= self.renewed_at + RENEWAL_INTERVAL {
            next.renewed_at = now;
            next.reported_until = now + REPORT_TIME;
        }
        self.replace(next)
    }

    fn record_absent(&mut self, sent_at: Moment, now: Moment) -> Option<LimitChange> {
        let mut next = Self {
            limit: None,
            heard_at: sent_at,
            ..*self
        };
        if self.limit.is_some() {
            next.reported_until = now + END_REPORT_TIME;
        } else if now >= self.reported_until {
            return None;
        }
        self.replace(next)
    }

    /// Records what another node heard, `age` before `now`.
    pub fn record_report(
        &mut self,
        limit: Option<RequestLimit>,
        age: Duration,
        now: Moment,
    ) -> Option<LimitChange> {
        let heard_at = now.saturating_sub(age);
        let is_known = limit.is_none() && self.limit.is_none();
        if is_known || heard_at <= self.heard_at + AGE_ERROR {
            return None;
        }
        self.replace(Self {
            limit,
            heard_at,
            reported_until: Moment::ZERO,
            renewed_at: now,
        })
    }

    /// Forgets the limit, since another incarnation of the target has begun.
    pub fn forget(&mut self, now: Moment) {
        *self = Self {
            heard_at: now,
            ..Self::default()
        };
    }

    /// Returns the limit at `now`, if there is one.
    pub fn limit(&self, now: Moment) -> Option<RequestLimit> {
        self.limit.filter(|_| now < self.expires_at())
    }

    /// Returns when the limit is forgotten if no further response states it; zero if there is none.
    pub fn expires_at(&self) -> Moment {
        self.limit.map_or(Moment::ZERO, |_| self.heard_at + MAX_AGE)
    }

    /// Returns the time since the last response that stated the limit, or that ended it.
    pub fn age(&self, now: Moment) -> Duration {
        now.saturating_sub(self.heard_at)
    }

    /// Returns what this node has recently heard itself, and its age; `None` if there is nothing to report.
    pub fn report(&self, now: Moment) -> Option<(Option<RequestLimit>, Duration)> {
        (now < self.reported_until).then_some((self.limit, self.age(now)))
    }

    /// Returns until when this node reports to the others what it heard itself; zero if it heard nothing.
    pub fn reported_until(&self) -> Moment {
        self.reported_until
    }

    fn replace(&mut self, next: Self) -> Option<LimitChange> {
        let before = std::mem::replace(self, next).limit;
        if before == self.limit {
            return None;
        }
        Some(self.limit.map_or(LimitChange::Ended, LimitChange::Begun))
    }
}
