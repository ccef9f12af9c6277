//! Rate limits divided among nodes, so that their sum never passes the whole.

use crate::id::Moment;

/// One node's share of an organisation's rate, as a token bucket that holds one second's worth.
#[derive(Clone, Debug)]
pub struct RateShare {
    rate: f64,
    balance: f64,
    refilled: Moment,
}

impl RateShare {
    /// Opens the share of one of `nodes` nodes in `per_second` requests a second.
    ///
    /// The division is by the nodes configured, not by those now seen: a node that is cut off may
    /// still be serving, and counting it out would let the sum pass the limit.
    pub fn new(per_second: u32, nodes: usize, now: Moment) -> Self {
        let rate = f64::from(per_second) / nodes.max(1) as f64;
        Self {
            rate,
            balance: rate.max(1.0),
            refilled: now,
        }
    }

    /// Returns the requests a second of this share.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Takes one request, or returns the seconds after which one will be allowed.
    ///
    /// # Errors
    ///
    /// Returns the time to wait in seconds when the share is used up.
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
