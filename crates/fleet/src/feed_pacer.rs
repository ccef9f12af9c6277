//! Limits how often a table of the store is requested.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use briarswitch_core::id::*;
use briarswitch_kernel::BootClock;

use crate::costs::CostKind;
use crate::ports::{FeedRequest, FeedResponse, FeedSource, SourceError};

/// The store's response to a request.
pub(crate) type FeedResult = Result<FeedResponse, SourceError>;

/// Time after a failed request during which the same table is not requested again.
///
/// Without it, the retries of 58 followers would each become a call to a store that is down.
const FAILURE_DELAY: Duration = Duration::from_millis(400);

/// Rate limit of the requests for one table.
#[derive(Debug, Default)]
pub(crate) struct FeedPacer {
    /// Minimum interval between two long polls.
    pub(crate) min_interval: Duration,
    /// Earliest time of the next long poll.
    next_held_at: Moment,
    /// Earliest time of the next request after a failed one.
    retry_at: Moment,
}

impl FeedPacer {
    /// Returns how long a request has to be delayed.
    fn delay_before(&self, request: &FeedRequest, now: Moment) -> Duration {
        match cost_kind_of(request) {
            CostKind::TableHeld => self.next_held_at.saturating_sub(now).min(request.wait),
            _ => self.retry_at.saturating_sub(now),
        }
    }

    fn record(&mut self, response: &FeedResult, now: Moment) {
        self.next_held_at = now + self.min_interval;
        if matches!(response, Err(SourceError::Unavailable(_))) {
            self.retry_at = now + FAILURE_DELAY;
        }
    }
}

/// Sends a request to the store as soon as the rate limit of its table allows.
pub(crate) async fn request_paced(
    store: Arc<dyn FeedSource>,
    request: FeedRequest,
    pacer: Arc<Mutex<FeedPacer>>,
    store_answered_ms: Arc<AtomicU64>,
) -> FeedResult {
    let delay = lock(&pacer).delay_before(&request, BootClock::now());
    tokio::time::sleep(delay).await;
    let wait = request.wait.saturating_sub(delay);
    let response = store.changes(FeedRequest { wait, ..request }).await;
    let now = BootClock::now();
    if response.is_ok() {
        store_answered_ms.store(now.as_millis() as u64, Ordering::Relaxed);
    }
    lock(&pacer).record(&response, now);
    response
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
