//! Limits how often a table of the store is requested.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use briarswitch_core::id::*;
use briarswitch_kernel::BootClock;

use crate::costs::{CostCounters, CostKind};
use crate::ports::{FeedMark, FeedRequest, FeedResponse, FeedSource, SourceError};
use crate::table_copy::TableCopy;

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
    fn delay_before(&self, request: &FeedRequest, now: Moment) -> Duration {
        match cost_kind_of(request) {
            CostKind::TableHeld => self.next_held_at.saturating_sub(now).min(request.wait),
            _ => self.retry_at.saturating_sub(now),
        }
    }

    /// Returns how long a request whose history is gone has to be delayed before the whole table is read for it.
    fn delay_before_snapshot(&mut self, request: &FeedRequest, now: Moment) -> Duration {
        let delay = self.next_snapshot_at.saturating_sub(now).min(request.wait);
        self.next_snapshot_at = now + delay + SNAPSHOT_INTERVAL;
        delay
    }

    fn record(&mut self, response: &FeedResult, now: Moment) {
        self.next_held_at = now + self.min_interval;
        if matches!(response, Err(SourceError::Unavailable(_))) {
            self.retry_at = now + FAILURE_DELAY;
        }
    }
}

/// One table of the store, as this node reads it.
#[derive(Clone)]
pub(crate) struct StoreTable {
    pub(crate) store: Arc<dyn FeedSource>,
    pub(crate) pacer: Arc<Mutex<FeedPacer>>,
    pub(crate) copy: Arc<Mutex<TableCopy>>,
    /// Time of the store's last response in milliseconds of [`BootClock`].
    pub(crate) answered_ms: Arc<AtomicU64>,
    pub(crate) costs: Arc<CostCounters>,
}

impl StoreTable {
    /// Sends a request to the store as soon as the rate limit of the table allows.
    ///
    /// If the store no longer keeps the requested changes, they are derived from the whole table where possible.
    pub(crate) async fn request(self, request: FeedRequest) -> FeedResult {
        let sent_at = BootClock::now();
        let response = self.request_paced(request.clone()).await;
        match (&response, request.mark) {
            (Ok(answer), since) => lock(&self.copy).record(since, answer, sent_at),
            (Err(SourceError::HistoryGone), Some(since)) if lock(&self.copy).is_of(since) => {
                return self.request_difference(request, since).await;
            }
            _ => {}
        }
        response
    }

    async fn request_difference(&self, request: FeedRequest, since: FeedMark) -> FeedResult {
        let delay = lock(&self.pacer).delay_before_snapshot(&request, BootClock::now());
        tokio::time::sleep(delay).await;
        let whole = FeedRequest {
            mark: None,
            wait: Duration::ZERO,
            ..request
        };
        self.costs.count(cost_kind_of(&whole));
        let sent_at = BootClock::now();
        let snapshot = self.request_paced(whole).await?;
        let mut copy = lock(&self.copy);
        let changes = copy.changes_to(&snapshot, since, BootClock::now());
        let changes = changes.ok_or(SourceError::HistoryGone)?;
        log::info!(
            rows = changes.rows.len(),
            stale = snapshot.mark.version < since.version;
            "history_gone"
        );
        copy.record(None, &snapshot, sent_at);
        Ok(changes)
    }

    async fn request_paced(&self, request: FeedRequest) -> FeedResult {
        let delay = lock(&self.pacer).delay_before(&request, BootClock::now());
        tokio::time::sleep(delay).await;
        let wait = request.wait.saturating_sub(delay);
        let response = self.store.changes(FeedRequest { wait, ..request }).await;
        let now = BootClock::now();
        if response.is_ok() {
            self.answered_ms
                .store(now.as_millis() as u64, Ordering::Relaxed);
        }
        lock(&self.pacer).record(&response, now);
        response
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
