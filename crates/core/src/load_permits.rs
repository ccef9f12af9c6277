//! Permits of one node to begin loads from the weight store.

use std::collections::VecDeque;
use std::time::Duration;

use crate::id::Moment;

/// Time for which a permit is valid; targets are rebalanced once per second.
const PERMIT_TTL: Duration = Duration::from_millis(1_500);

/// Permits that were granted together.
#[derive(Clone, Copy, Debug)]
struct PermitBatch {
    count: usize,
    void_at: Moment,
}

/// Permits of one node to begin loads, which are void if it does not use them soon.
#[derive(Clone, Debug, Default)]
pub struct LoadPermits {
    /// Oldest first.
    held: VecDeque<PermitBatch>,
}

impl LoadPermits {
    /// Adds permits that were asked for at `asked_at`.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use briarswitch_core::load_permits::LoadPermits;
    ///
    /// let at = Duration::from_secs;
    /// let mut permits = LoadPermits::default();
    /// permits.add(2, at(1));
    /// assert_eq!(permits.available(at(2)), 2);
    /// permits.spend(1);
    /// assert_eq!(permits.available(at(2)), 1);
    /// assert_eq!(permits.available(at(3)), 0);
    /// ```
    pub fn add(&mut self, count: usize, asked_at: Moment) {
        self.held.push_back(PermitBatch {
            count,
            void_at: asked_at + PERMIT_TTL,
        });
    }

    /// Returns the number of permits that are valid at `now`.
    pub fn available(&mut self, now: Moment) -> usize {
        self.held
            .retain(|batch| batch.count > 0 && now < batch.void_at);
        self.held.iter().map(|batch| batch.count).sum()
    }

    /// Uses permits up.
    pub fn spend(&mut self, count: usize) {
        let mut left = count;
        for batch in &mut self.held {
            let spent = left.min(batch.count);
            batch.count -= spent;
            left -= spent;
        }
    }
}
