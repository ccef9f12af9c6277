//! Limits how often a table of the store is requested.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use briarswitch_core::id::*;

use crate::costs::CostKind;
use crate::ports::{FeedRequest, FeedResponse, SourceError};

/// The store's response to a request.
pub(crate) type FeedResult = Result<FeedResponse, SourceError>;

/// Time after a failed request during which the same table is not requested again.
///
/// Without it, the retries of 58 followers would each become a call to a store that is down.
const FAILURE_DELAY: Duration = Duration::from_millis(400);

/// Minimum interval between two reads of a whole table because its history is gone.
///
/// A store that drops its history may do so for each of its versions, and return tables that are seconds old.
const SNAPSHOT_INTERVAL: Duration = Duration::from_secs(1);

/// Rate limit of the requests for one table.
#[derive(Debug, Default)]
pub(crate) struct FeedPacer {
    /// Minimum interval between two long polls.
    pub(crate) min_interval: Duration,
    /// Earliest time of the next long poll.
    next_held_at: Moment,
    /// Earliest time of the next request after a failed one.
    retry_at: Moment,
    /// Earliest time at which the whole table is read again because its history is gone.
    next_snapshot_at: Moment,
}

impl FeedPacer {
    /// Returns how long a request has to be delayed.
    pub(crate) fn delay_before(&self, request: &FeedRequest, now: Moment) -> Duration {
        match cost_kind_of(request) {
            CostKind::TableHeld => self.next_held_at.saturating_sub(now).min(request.wait),
            _ => self.retry_at.saturating_sub(now),
        }
    }

    /// Returns how long a request whose history is gone has to be delayed before the whole table is read for it.
    pub(crate) fn delay_before_snapshot(&mut self, request: &FeedRequest, now: Moment) -> Duration {
        let delay = self.next_snapshot_at.saturating_sub(now).min(request.wait);
        self.next_snapshot_at = now + delay + SNAPSHOT_INTERVAL;
        delay
    }

    pub(crate) fn record(&mut self, response: &FeedResult, now: Moment) {
        self.next_held_at = now + self.min_interval;
        if matches!(response, Err(SourceError::Unavailable(_))) {
            self.retry_at = now + FAILURE_DELAY;
        }
    }
}

/// Returns the kind of cost that a request is counted under.
pub(crate) fn cost_kind_of(request: &FeedRequest) -> CostKind {
    match request.mark {
        None => CostKind::TableWhole,
        Some(_) if request.wait.is_zero() => CostKind::TableAtOnce,
        Some(_) => CostKind::TableHeld,
    }
}

/// Locks a mutex and ignores poisoning; no holder leaves its data inconsistent.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
