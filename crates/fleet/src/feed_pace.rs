//! How often a table of the store is asked for.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use briarswitch_core::id::*;
use briarswitch_kernel::BootClock;

use crate::costs::CostKind;
use crate::ports::{FeedRequest, FeedResponse, FeedSource, SourceError};

/// What the store said to a question.
pub(crate) type FlightResult = Result<FeedResponse, SourceError>;

/// Time after a question that failed in which no other one is asked of the same table.
///
/// The questions of 58 followers that retry would otherwise each be a call to a store that is away.
const FAILURE_PAUSE: Duration = Duration::from_millis(400);

/// How often a table is asked for.
#[derive(Debug, Default)]
pub(crate) struct FeedPace {
    /// Least time between two questions that are held open.
    pub(crate) pause: Duration,
    /// When the next question may be held open.
    next: Moment,
    /// When the next question may be sent after one failed.
    retry: Moment,
}

impl FeedPace {
    /// Returns how long a question has to wait before it may be sent.
    fn pause_before(&self, question: &FeedRequest, now: Moment) -> Duration {
        match kind_of(question) {
            CostKind::TableHeld => self.next.saturating_sub(now).min(question.wait),
            _ => self.retry.saturating_sub(now),
        }
    }

    fn note(&mut self, answer: &FlightResult, now: Moment) {
        self.next = now + self.pause;
        if matches!(answer, Err(SourceError::Unavailable(_))) {
            self.retry = now + FAILURE_PAUSE;
        }
    }
}

/// Asks the store, not sooner than the pace after the last answer or failure allows.
pub(crate) async fn ask_at_pace(
    direct: Arc<dyn FeedSource>,
    question: FeedRequest,
    pace: Arc<Mutex<FeedPace>>,
    reached: Arc<AtomicU64>,
) -> FlightResult {
    let pause = lock(&pace).pause_before(&question, BootClock::now());
    tokio::time::sleep(pause).await;
    let wait = question.wait.saturating_sub(pause);
    let answer = direct.changes(FeedRequest { wait, ..question }).await;
    let now = BootClock::now();
    if answer.is_ok() {
        reached.store(now.as_millis() as u64, Ordering::Relaxed);
    }
    lock(&pace).note(&answer, now);
    answer
}

/// Returns what a question is counted as.
pub(crate) fn kind_of(question: &FeedRequest) -> CostKind {
    match question.mark {
        None => CostKind::TableWhole,
        Some(_) if question.wait.is_zero() => CostKind::TableAtOnce,
        Some(_) => CostKind::TableHeld,
    }
}

/// Locks what no holder leaves half changed.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
