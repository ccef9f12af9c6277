//! What a target has said of itself in its responses: that it leaves, for how long it wants no requests, how many it takes.
//!
//! It is kept by target, apart from the target's entry, group and connections.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use briarswitch_core::backoff::TargetBackoff;
use briarswitch_core::id::{Incarnation, Moment};
use briarswitch_core::request_limit::{RequestLimit, RequestWindow};
use briarswitch_core::stated_limit::{LimitChange, LimitHeader, StatedLimit};

use crate::feed_pacer::lock;
use crate::micros::micros;

/// Longest time for which a target that says it is leaving gets no requests; much longer than leaving takes.
const MAX_LEAVING_TIME: Duration = Duration::from_secs(600);

/// One node's share of the limit of a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitShare {
    /// Limit of all nodes together.
    pub limit: RequestLimit,
    /// Requests that this node may send in the counting time of the limit.
    pub requests: u32,
}

impl LimitShare {
    /// Returns the requests per second that this node may send.
    pub fn rate(&self) -> f64 {
        f64::from(self.requests) / self.limit.counting_time().as_secs_f64()
    }
}

/// What one target has said of itself, and what this node has sent it under a limit.
///
/// The atomic values show without a lock whether there is anything to look up; most targets never say anything.
#[derive(Debug, Default)]
pub struct TargetStatements {
    incarnation: AtomicU64,
    leaving_until: AtomicU64,
    backoff: Mutex<TargetBackoff>,
    has_backoff: AtomicBool,
    limit: Mutex<StatedLimit>,
    limited_until: AtomicU64,
    limit_reported_until: AtomicU64,
    sent: Mutex<RequestWindow>,
}

impl TargetStatements {
    /// Records that the target says it is leaving; returns whether that is new.
    pub fn record_leaving(&self, now: Moment) -> bool {
        let until = micros(now + MAX_LEAVING_TIME);
        let before = self.leaving_until.swap(until, Ordering::Relaxed);
        before <= micros(now)
    }

    /// Returns whether the target has said that it is leaving.
    pub fn is_leaving(&self, now: Moment) -> bool {
        micros(now) < self.leaving_until.load(Ordering::Relaxed)
    }

    /// Records that the target refused a request and wants no further ones from this node for the time `asked`.
    pub fn begin_backoff(&self, asked: Duration, now: Moment) {
        self.backoff().begin(asked, rand::random(), now);
        self.has_backoff.store(true, Ordering::Relaxed);
    }

    /// Records that the target accepted a request that was sent at `sent_at`.
    pub fn record_accepted(&self, sent_at: Moment) {
        if self.has_backoff.load(Ordering::Relaxed) {
            let mut backoff = self.backoff();
            backoff.record_accepted(sent_at);
            self.has_backoff
                .store(backoff.free_at().is_some(), Ordering::Relaxed);
        }
    }

    /// Returns when this node may send the next request to a target that asked it to stay away; `None` if it may now.
    pub fn backoff_until(&self, now: Moment) -> Option<Moment> {
        if !self.has_backoff.load(Ordering::Relaxed) {
            return None;
        }
        self.backoff().free_at().filter(|free_at| now < *free_at)
    }

    /// Returns for how long the target wants no requests from this node.
    pub fn backoff_left(&self, now: Moment) -> Duration {
        if !self.has_backoff.load(Ordering::Relaxed) {
            return Duration::ZERO;
        }
        self.backoff().until().saturating_sub(now)
    }

    /// Counts a request that is sent to the target; returns false if the target wants none from this node now.
    pub fn reserve_after_backoff(&self, now: Moment) -> bool {
        !self.has_backoff.load(Ordering::Relaxed) || self.backoff().reserve(now)
    }

    /// Records what a response to a request that was sent at `sent_at` says about the target's limit.
    pub fn record_limit_header(
        &self,
        header: LimitHeader,
        sent_at: Moment,
        now: Moment,
    ) -> Option<LimitChange> {
        self.update_limit(|limit| limit.record_response(header, sent_at, now))
    }

    /// Records what another node has heard about the target's limit, `age` before `now`.
    pub fn record_limit_report(
        &self,
        limit: Option<RequestLimit>,
        age: Duration,
        now: Moment,
    ) -> Option<LimitChange> {
        self.update_limit(|stated| stated.record_report(limit, age, now))
    }

    /// Returns the limit that the target states, with the time since it last did; `None` if there is none.
    pub fn limit_with_age(&self, now: Moment) -> Option<(RequestLimit, Duration)> {
        if !self.may_be_limited(now) {
            return None;
        }
        let limit = self.limit();
        Some((limit.limit(now)?, limit.age(now)))
    }

    /// Returns what this node has recently heard itself about the target's limit, and its age.
    pub fn limit_report(&self, now: Moment) -> Option<(Option<RequestLimit>, Duration)> {
        let may_report = micros(now) < self.limit_reported_until.load(Ordering::Relaxed);
        may_report.then(|| self.limit().report(now))?
    }

    /// Returns whether this node may send another request to the target, given its share of a limit.
    pub fn has_room(&self, share: &LimitShare, now: Moment) -> bool {
        self.sent().has_room(&share.limit, share.requests, now)
    }

    /// Returns when this node may send the next request to the target; `None` if it has no share.
    pub fn free_at(&self, share: &LimitShare, now: Moment) -> Option<Moment> {
        self.sent().free_at(&share.limit, share.requests, now)
    }

    /// Returns the number of requests that count towards a limit of the target.
    pub fn counted_requests(&self, limit: &RequestLimit, now: Moment) -> u32 {
        self.sent().count(limit, now)
    }

    /// Counts a request that is sent to the target; returns false if this node's share of a limit is used up.
    pub fn reserve(&self, share: &LimitShare, now: Moment) -> bool {
        self.sent().reserve(&share.limit, share.requests, now)
    }

    /// Records which incarnation runs under the target's id, and forgets what another one has said.
    ///
    /// The entry of the earlier one may have been gone for a while.
    pub fn begin_incarnation(&self, incarnation: Incarnation, now: Moment) {
        if self.incarnation.swap(incarnation, Ordering::Relaxed) != incarnation {
            self.forget(now);
        }
    }

    fn forget(&self, now: Moment) {
        self.leaving_until.store(0, Ordering::Relaxed);
        *self.backoff() = TargetBackoff::default();
        self.has_backoff.store(false, Ordering::Relaxed);
        self.update_limit(|limit| limit.forget(now));
    }

    /// Returns whether something that the target said is in force at `now`.
    pub fn is_any_in_force(&self, now: Moment) -> bool {
        let is_backing_off = self.backoff_until(now).is_some();
        is_backing_off || self.is_leaving(now) || self.may_be_limited(now)
    }

    /// Changes what is known of the limit, and until when that has to be looked up.
    fn update_limit<T>(&self, update: impl FnOnce(&mut StatedLimit) -> T) -> T {
        let mut limit = self.limit();
        let result = update(&mut limit);
        self.limited_until
            .store(micros(limit.expires_at()), Ordering::Relaxed);
        self.limit_reported_until
            .store(micros(limit.reported_until()), Ordering::Relaxed);
        result
    }

    fn may_be_limited(&self, now: Moment) -> bool {
        micros(now) < self.limited_until.load(Ordering::Relaxed)
    }

    fn limit(&self) -> MutexGuard<'_, StatedLimit> {
        lock(&self.limit)
    }

    fn backoff(&self) -> MutexGuard<'_, TargetBackoff> {
        lock(&self.backoff)
    }

    fn sent(&self) -> MutexGuard<'_, RequestWindow> {
        lock(&self.sent)
    }
}
