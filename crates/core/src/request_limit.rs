//! Limits on the requests that a target gets from all nodes together, kept without communication.

use std::time::Duration;

use crate::id::Moment;
use crate::limit::ranked_share;

/// Lowest limit in requests per second, also for a target that states zero.
///
/// Without any request no response would say that the limit has ended.
pub const MIN_REQUESTS_PER_SECOND: f64 = 0.1;
/// Highest limit in requests per second, which no target reaches.
const MAX_REQUESTS_PER_SECOND: f64 = 1e9;
/// Unit in which limits are kept, so that equal ones compare as equal.
const UNITS_PER_REQUEST: f64 = 1e6;
/// Largest number of requests in one window; nodes count each of them.
const MAX_REQUESTS: f64 = 100_000.0;
/// Longest difference between the times that two requests take to arrive.
const TRANSIT_VARIATION: Duration = Duration::from_millis(250);
/// Time without a response from a target, beyond two windows, after which nodes without a share get turns.
const TURN_DELAY: Duration = Duration::from_secs(5);

/// A limit on the requests that a target gets from all nodes together.
///
/// It is counted as a whole number of requests in a window of a second or more, so that fractions are kept: 2.4 a
/// second are 3 in 1.25 s, 0.5 a second are 1 in 2 s.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct RequestLimit {
    units_per_second: u64,
}

impl RequestLimit {
    /// Creates a limit of so many requests per second, at least [`MIN_REQUESTS_PER_SECOND`].
    ///
    /// ```
    /// use briarswitch_core::request_limit::{RequestLimit, MIN_REQUESTS_PER_SECOND};
    ///
    /// assert_eq!(RequestLimit::per_second(2.4).rate(), 2.4);
    /// assert_eq!(RequestLimit::per_second(0.0).rate(), MIN_REQUESTS_PER_SECOND);
    /// assert_eq!(RequestLimit::per_second(f64::NAN).rate(), MIN_REQUESTS_PER_SECOND);
    /// ```
    pub fn per_second(rate: f64) -> Self {
        // Not `clamp`, which would let NaN through.
        let rate = rate.max(MIN_REQUESTS_PER_SECOND);
        let rate = rate.min(MAX_REQUESTS_PER_SECOND);
        Self {
            units_per_second: (rate * UNITS_PER_REQUEST).round() as u64,
        }
    }

    /// Returns the requests per second.
    pub fn rate(&self) -> f64 {
        self.units_per_second as f64 / UNITS_PER_REQUEST
    }

    /// Returns the number of requests that all nodes together may send in each [`window`](Self::window).
    pub fn requests(&self) -> usize {
        self.rate().ceil().min(MAX_REQUESTS) as usize
    }

    /// Returns the time in which the target takes [`requests`](Self::requests).
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use briarswitch_core::request_limit::RequestLimit;
    ///
    /// let limit = RequestLimit::per_second(2.4);
    /// assert_eq!((limit.requests(), limit.window()), (3, Duration::from_millis(1_250)));
    /// ```
    pub fn window(&self) -> Duration {
        Duration::from_secs_f64(self.requests() as f64 / self.rate())
    }

    /// Returns the time over which one node counts its requests to the target.
    ///
    /// Longer than the window, since requests may take different times to arrive. A node that has just started waits
    /// as long, since it may have sent some before.
    pub fn counting_time(&self) -> Duration {
        self.window() + TRANSIT_VARIATION
    }

    /// Returns the requests that one node may send in [`counting_time`](Self::counting_time).
    ///
    /// `rank` is the node's position for this target among all `nodes` that are known, whether live or not. If the
    /// window has fewer requests than there are nodes, as many nodes as it has requests share it, and the others send
    /// none. Nodes that cannot see each other compute the same ranks, so the sum of the shares never exceeds the
    /// limit.
    ///
    /// ```
    /// use briarswitch_core::request_limit::RequestLimit;
    ///
    /// let limit = RequestLimit::per_second(14.0);
    /// let shares: Vec<u32> = (0..6).map(|rank| limit.share(6, rank)).collect();
    /// assert_eq!(shares.iter().sum::<u32>(), 14);
    /// assert_eq!((0..985).map(|rank| limit.share(985, rank)).max(), Some(1));
    /// ```
    pub fn share(&self, nodes: usize, rank: usize) -> u32 {
        ranked_share(self.requests(), nodes, rank) as u32
    }

    /// Returns a node's share of a limit that was last confirmed by a response `silence` ago.
    ///
    /// The nodes that have a share may be gone or have no callers, and then no response would ever say that the limit
    /// has ended. When the target has been silent for longer than its limit explains, the other nodes get a share one
    /// after the other, at the pace of the limit.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use briarswitch_core::request_limit::RequestLimit;
    ///
    /// let limit = RequestLimit::per_second(2.0);
    /// let shares = |silence| (0..6).map(move |rank| limit.share_after(silence, 6, rank)).sum::<u32>();
    /// assert_eq!(shares(Duration::from_secs(1)), 2);
    /// assert_eq!(shares(Duration::from_secs(8)), 5);
    /// ```
    pub fn share_after(&self, silence: Duration, nodes: usize, rank: usize) -> u32 {
        let share = self.share(nodes, rank);
        if share > 0 || silence < self.turn_delay() {
            return share;
        }
        // The ranks that have a share are spread evenly over all ranks.
        let sharing_before = rank * self.requests() / nodes.max(1);
        let turn = rank - sharing_before;
        let elapsed = silence - self.turn_delay();
        u32::from(elapsed.as_secs_f64() * self.rate() >= turn as f64)
    }

    fn turn_delay(&self) -> Duration {
        TURN_DELAY + self.window() * 2
    }
}

/// The requests that one node has recently sent to a target with a limit.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct RequestWindow {
    sent: Vec<Moment>,
}

impl RequestWindow {
    /// Returns the number of requests that count at `now`.
    pub fn count(&self, limit: &RequestLimit, now: Moment) -> u32 {
        let counting_time = limit.counting_time();
        let recent = self.sent.iter().filter(|at| now < **at + counting_time);
        recent.count() as u32
    }

    /// Returns whether another request may be sent at `now`, given this node's share.
    pub fn has_room(&self, limit: &RequestLimit, share: u32, now: Moment) -> bool {
        self.count(limit, now) < share
    }

    /// Returns the earliest time at which a request may be sent; `None` if the node has no share.
    pub fn free_at(&self, limit: &RequestLimit, share: u32, now: Moment) -> Option<Moment> {
        if self.has_room(limit, share, now) {
            return Some(now);
        }
        let oldest = self.sent.iter().rev().nth(share.checked_sub(1)? as usize);
        oldest.map(|at| *at + limit.counting_time())
    }

    /// Counts a request that is sent at `now`; returns false if the share is used up.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use briarswitch_core::request_limit::{RequestLimit, RequestWindow};
    ///
    /// let limit = RequestLimit::per_second(1.0);
    /// let mut window = RequestWindow::default();
    /// assert!(window.reserve(&limit, 1, Duration::from_secs(10)));
    /// assert!(!window.reserve(&limit, 1, Duration::from_secs(11)));
    /// assert!(window.reserve(&limit, 1, Duration::from_secs(12)));
    /// ```
    pub fn reserve(&mut self, limit: &RequestLimit, share: u32, now: Moment) -> bool {
        let counting_time = limit.counting_time();
        self.sent.retain(|at| now < *at + counting_time);
        let has_room = self.has_room(limit, share, now);
        if has_room {
            self.sent.push(now);
        }
        has_room
    }
}
