//! Rate limits divided among nodes so that the sum of the shares never exceeds the limit.

use crate::id::Moment;

/// A node's share of an organisation's rate limit: a token bucket that holds one second's worth.
#[derive(Clone, Debug)]
pub struct RateShare {
    rate: f64,
    balance: f64,
    refilled: Moment,
}

impl RateShare {
    /// Creates the share of one of `nodes` nodes in a limit of `per_second` requests per second.
    ///
    /// The limit is divided by the number of configured nodes, not of reachable ones: a node that
    /// is partitioned may still serve requests, and excluding it would let the sum exceed the
    /// limit.
    pub fn new(per_second: u32, nodes: usize, now: Moment) -> Self {
        let rate = f64::from(per_second) / nodes.max(1) as f64;
        Self {
            rate,
            balance: rate.max(1.0),
            refilled: now,
        }
    }

    /// Returns the requests per second of this share.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Takes one request from the share.
    ///
    /// # Errors
    ///
    /// Returns the time in seconds after which a request will be allowed if the share is used up.
    ///
    /// ```
    /// use briarswitch_core::limit::RateShare;
    /// use std::time::Duration;
    ///
    /// let mut share = RateShare::new(6, 6, Duration::ZERO);
    /// assert!(share.take(Duration::ZERO).is_ok());
    /// assert!(share.take(Duration::ZERO).is_err());
    /// ```
    pub fn take(&mut self, now: Moment) -> Result<(), f64> {
        let elapsed = now.saturating_sub(self.refilled).as_secs_f64();
        self.refilled = self.refilled.max(now);
        self.balance = (self.balance + elapsed * self.rate).min(self.rate.max(1.0));
        if self.balance < 1.0 {
            return Err((1.0 - self.balance) / self.rate);
        }
        self.balance -= 1.0;
        Ok(())
    }
}

/// Returns the part of a limit that the node with a rank among `nodes` nodes may use.
///
/// The parts of all ranks add up to the limit, also where it is smaller than the number of nodes: then as many nodes
/// have a part of one as the limit allows. An equal part for each node would be zero for all of them.
///
/// ```
/// use briarswitch_core::limit::ranked_share;
///
/// assert_eq!([0, 1, 2].map(|rank| ranked_share(14, 3, rank)), [4, 5, 5]);
/// assert_eq!((0..985).map(|rank| ranked_share(14, 985, rank)).sum::<usize>(), 14);
/// ```
pub fn ranked_share(limit: usize, nodes: usize, rank: usize) -> usize {
    let nodes = nodes.max(1);
    if rank >= nodes {
        return 0;
    }
    (rank + 1) * limit / nodes - rank * limit / nodes
}
