//! One table of the store, as this node reads it.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use briarswitch_kernel::BootClock;

use crate::costs::CostCounters;
use crate::feed_pacer::{cost_kind_of, lock, FeedPacer, FeedResult};
use crate::ports::{FeedMark, FeedRequest, FeedSource, SourceError};
use crate::table_copy::TableCopy;

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
            (Ok(answer), since) => {
                let read_at = sent_at.saturating_sub(answer.age);
                lock(&self.copy).record(since, answer, read_at);
            }
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
        copy.record(None, &snapshot, sent_at.saturating_sub(snapshot.age));
        Ok(changes)
    }

    async fn request_paced(&self, request: FeedRequest) -> FeedResult {
        self.costs.count(cost_kind_of(&request));
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
