//! Slow start: limits the requests that reach a target before it has warmed up.

use std::time::Duration;

use crate::id::Moment;
use crate::limit::ranked_share;

/// Time over which one node counts its requests to a target that warms up.
///
/// Longer than the second to which the limit applies, since requests may take different times to
/// arrive. A node that has just started waits as long, since it may have sent some before.
pub const COUNTING_WINDOW: Duration = Duration::from_millis(1_250);

/// How the targets of a service warm up.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WarmupSpec {
    /// Time that a target takes to warm up.
    pub duration: Duration,
    /// Requests per second that a target can take meanwhile, from all nodes together; zero if
    /// there is no limit.
    pub requests_per_second: f64,
}

impl WarmupSpec {
    /// Returns the requests that one node may send to a target that warms up, in any second.
    ///
    /// `rank` is the node's position for this target among all `nodes` that are known, whether
    /// live or not. As many nodes as the limit has requests share it, and the others send none: an
    /// equal share of a limit of 14 is zero at 58 nodes. Nodes that cannot see each other compute
    /// the same ranks, so the sum of the shares never exceeds the limit.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use briarswitch_core::warmup::WarmupSpec;
    ///
    /// let spec = WarmupSpec { duration: Duration::from_secs(3), requests_per_second: 14.0 };
    /// let shares: Vec<u32> = (0..6).map(|rank| spec.share(6, rank)).collect();
    /// assert_eq!(shares.iter().sum::<u32>(), 14);
    /// assert_eq!((0..985).map(|rank| spec.share(985, rank)).max(), Some(1));
    /// ```
    pub fn share(&self, nodes: usize, rank: usize) -> u32 {
        // A target that gets no request at all would stay unused for the whole time.
        let limit = (self.requests_per_second.floor() as usize).max(1);
        ranked_share(limit, nodes, rank) as u32
    }

    /// Returns whether requests to targets that warm up are limited.
    pub fn is_limited(&self) -> bool {
        self.requests_per_second > 0.0
    }
}

/// The requests that one node has recently sent to a target that warms up.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct WarmupWindow {
    sent: Vec<Moment>,
}

impl WarmupWindow {
    /// Returns whether another request may be sent at `now`, given this node's share.
    pub fn has_room(&self, share: u32, now: Moment) -> bool {
        let recent = self.sent.iter().filter(|at| now < **at + COUNTING_WINDOW);
        recent.count() < share as usize
    }

    /// Counts a request that is sent at `now`; returns false if the share is used up.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use briarswitch_core::warmup::WarmupWindow;
    ///
    /// let mut window = WarmupWindow::default();
    /// assert!(window.reserve(1, Duration::from_secs(10)));
    /// assert!(!window.reserve(1, Duration::from_secs(11)));
    /// assert!(window.reserve(1, Duration::from_secs(12)));
    /// ```
    pub fn reserve(&mut self, share: u32, now: Moment) -> bool {
        self.sent.retain(|at| now < *at + COUNTING_WINDOW);
        let has_room = self.has_room(share, now);
        if has_room {
            self.sent.push(now);
        }
        has_room
    }
}
