//! Targets that refuse requests and want no further ones from a node for a while.

use std::time::Duration;

use crate::id::Moment;

/// Longest time for which a target gets no requests because it asked for that.
const MAX_BACKOFF: Duration = Duration::from_secs(600);
/// Part of the time asked for by which nodes return at different times, at most.
const MAX_SPREAD_SHARE: f64 = 0.25;
/// Longest time by which nodes return at different times.
const MAX_SPREAD: Duration = Duration::from_secs(2);
/// Interval between the requests that a node sends after the backoff until the target accepts one.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// One node's backoff from a target that refused a request with a time to stay away.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TargetBackoff {
    until: Moment,
    /// When the next request may be sent; `None` if the target has accepted one since.
    next_probe: Option<Moment>,
}

impl TargetBackoff {
    /// Begins to back off for the time that the target `asked` for, or prolongs it.
    ///
    /// Nodes that were refused in the same second must not return all at once, so `draw`, from 0 to 1, adds to it.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use briarswitch_core::backoff::TargetBackoff;
    ///
    /// let at = Duration::from_secs;
    /// let mut backoff = TargetBackoff::default();
    /// backoff.begin(at(4), 1.0, at(10));
    /// assert_eq!(backoff.free_at(), Some(at(15)));
    /// ```
    pub fn begin(&mut self, asked: Duration, draw: f64, now: Moment) {
        let asked = asked.min(MAX_BACKOFF);
        let spread = asked.mul_f64(MAX_SPREAD_SHARE).min(MAX_SPREAD);
        self.until = self.until.max(now + asked + spread.mul_f64(draw));
        self.next_probe = self.next_probe.max(Some(self.until));
    }

    /// Records that the target accepted a request that was sent at `sent_at`.
    ///
    /// Requests that it accepted before the backoff may still be answered during it.
    pub fn record_accepted(&mut self, sent_at: Moment) {
        if sent_at >= self.until {
            self.next_probe = None;
        }
    }

    /// Returns when a request may be sent; `None` if there is no restriction.
    pub fn free_at(&self) -> Option<Moment> {
        self.next_probe
    }

    /// Counts a request that is sent at `now`; returns false if it must not be sent.
    ///
    /// After the backoff the target may still refuse everything, so requests go there one by one until it accepts one.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use briarswitch_core::backoff::TargetBackoff;
    ///
    /// let at = Duration::from_millis;
    /// let mut backoff = TargetBackoff::default();
    /// backoff.begin(at(3_000), 0.0, at(10_000));
    /// assert!(!backoff.reserve(at(12_900)));
    /// assert!(backoff.reserve(at(13_000)));
    /// assert!(!backoff.reserve(at(13_100)));
    /// backoff.record_accepted(at(13_000));
    /// assert!(backoff.reserve(at(13_200)));
    /// ```
    pub fn reserve(&mut self, now: Moment) -> bool {
        let Some(next) = self.next_probe else {
            return true;
        };
        let is_free = now >= next;
        if is_free {
            self.next_probe = Some(now + PROBE_INTERVAL);
        }
        is_free
    }

    /// Returns until when the target wants no requests from this node.
    pub fn until(&self) -> Moment {
        self.until
    }
}
