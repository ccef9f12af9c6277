//! How often a table of the store is asked for.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use briarswitch_core::id::*;
use briarswitch_kernel::BootClock;

use crate::costs::CostKind;
use crate::ports::{FeedAnswer, FeedQuestion, FeedSource, SourceError};

/// What the store said to a question.
pub(crate) type FeedResult = Result<FeedAnswer, SourceError>;

/// Time after a question that failed in which no other one is asked of the same table.
///
/// The questions of 58 followers that retry would otherwise each be a call to a store that is away.
const FAILURE_DELAY: Duration = Duration::from_millis(400);

/// How often a table is asked for.
#[derive(Debug, Default)]
pub(crate) struct FeedPacer {
    /// Least time between two questions that are held open.
    pub(crate) min_interval: Duration,
    /// When the next question may be held open.
    next_held_at: Moment,
    /// When the next question may be sent after one failed.
    retry_at: Moment,
}

impl FeedPacer {
    /// Returns how long a question has to wait before it may be sent.
    fn delay_before(&self, request: &FeedQuestion, now: Moment) -> Duration {
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

/// Asks the store, not sooner than the pace after the last answer or failure allows.
pub(crate) async fn request_paced(
    store: Arc<dyn FeedSource>,
    request: FeedQuestion,
    pacer: Arc<Mutex<FeedPacer>>,
    store_answered_ms: Arc<AtomicU64>,
) -> FeedResult {
    let delay = lock(&pacer).delay_before(&request, BootClock::now());
    tokio::time::sleep(delay).await;
    let wait = request.wait.saturating_sub(delay);
    let response = store.changes(FeedQuestion { wait, ..request }).await;
    let now = BootClock::now();
    if response.is_ok() {
        store_answered_ms.store(now.as_millis() as u64, Ordering::Relaxed);
    }
    lock(&pacer).record(&response, now);
    response
}

/// Returns what a question is counted as.
pub(crate) fn cost_kind_of(request: &FeedQuestion) -> CostKind {
    match request.mark {
        None => CostKind::TableWhole,
        Some(_) if request.wait.is_zero() => CostKind::TableAtOnce,
        Some(_) => CostKind::TableHeld,
    }
}

/// Locks what no holder leaves half changed.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
