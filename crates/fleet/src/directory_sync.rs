//! Keeps the directory of targets in sync with the store.

use std::sync::Arc;
use std::time::Duration;

use briarswitch_core::id::{Moment, ZoneId};
use briarswitch_core::recovery_window::{EntryCensus, RecoveryWindow};
use briarswitch_core::target::TargetChange;
use briarswitch_kernel::{BootClock, Service, ServiceLink};
use serde_json::{json, Value};

use crate::feed::store_reader_count;
use crate::ports::{DirectoryUpdate, FeedMark, SourceError};
use crate::shared::{DirectoryView, FleetShared};
use crate::source_health::{retry_delay, SourceHealth};

/// Maximum wait of a long poll for changes of the directory.
///
/// A reader that freezes is noticed after this time and [`READER_TIMEOUT`](crate::feed), and a
/// target that is leaving has to be known within two seconds.
const MAX_DIRECTORY_WAIT: Duration = Duration::from_millis(1_000);
/// Minimum and maximum interval between two polls for changes of the directory.
///
/// Targets renew their entries all the time; without a minimum, every renewal would cost a call.
/// The maximum stays well below the two seconds after which a target that is leaving must not get
/// new work.
const DIRECTORY_INTERVAL: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_millis(1_000));
/// Interval added per node that reads from the store, so that all of them together poll 30 times
/// per second.
///
/// The store handles 2,000 calls per second and charges for each; 71 nodes that polled at the
/// minimum interval made 13,416 calls in 56 s.
const DIRECTORY_INTERVAL_PER_READER: Duration = Duration::from_millis(33);
/// Minimum delay before the next poll of the directory, which protects a source that returns at
/// once.
const MIN_DIRECTORY_DELAY: Duration = Duration::from_millis(20);
/// Interval between checks for lapsed entries that have expired.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Name of the service that syncs the directory.
pub const DIRECTORY_SERVICE: &str = "directory";

/// Keeps the directory of targets in sync with the store.
pub struct DirectorySync {
    shared: Arc<FleetShared>,
    mark: Option<FeedMark>,
    /// Era of the store from which the list was read.
    era: Option<u64>,
    view: DirectoryView,
    source_health: SourceHealth,
    recovery_window: RecoveryWindow,
    is_expiry_scheduled: bool,
    /// When the source last responded.
    answered_at: Moment,
}

/// Message to [`DirectorySync`].
pub enum DirectoryMessage {
    /// Poll the source.
    Poll,
    /// The source responded or failed.
    Polled(Result<DirectoryUpdate, SourceError>),
    /// Check for lapsed entries that have expired.
    Expire,
}

impl DirectorySync {
    /// Creates a service that knows no targets yet.
    pub fn new(shared: Arc<FleetShared>) -> Self {
        Self {
            shared,
            mark: None,
            era: None,
            view: DirectoryView::default(),
            source_health: SourceHealth::default(),
            recovery_window: RecoveryWindow::default(),
            is_expiry_scheduled: false,
            answered_at: BootClock::now(),
        }
    }

    fn poll(&self, link: &ServiceLink<DirectoryMessage>) {
        let shared = Arc::clone(&self.shared);
        let mark = self.mark;
        let wait = self.source_health.max_wait(MAX_DIRECTORY_WAIT);
        let table = self.shared.platform.directory.table();
        self.shared
            .feed
            .set_min_interval(table, self.poll_interval());
        link.spawn(async move {
            let directory = &shared.platform.directory;
            let response = shared.changes(directory.table(), mark, wait).await;
            DirectoryMessage::Polled(response.map(|response| directory.decode(&response)))
        });
    }

    fn apply(
        &mut self,
        update: DirectoryUpdate,
        now: Moment,
        link: &ServiceLink<DirectoryMessage>,
    ) {
        self.recovery_window.note_answer(now);
        let era = update.mark().era;
        if self.era.replace(era).is_some_and(|before| before != era) {
            self.recovery_window.note_restore(now);
        }
        let unanswered = now.saturating_sub(std::mem::replace(&mut self.answered_at, now));
        self.mark = Some(update.mark());
        if !update.is_snapshot() && update.changes().is_empty() {
            return;
        }
        let census = self
            .view
            .cache
            .census(update.changes(), update.is_snapshot());
        self.log_missing(&update, &census, unanswered);
        self.record_starts(update.changes(), now);
        let window = self.recovery_window;
        let keep_until = |zone: &ZoneId| window.keep_until(&census, zone, now);
        let cache = &mut self.view.cache;
        match update {
            DirectoryUpdate::Snapshot(_, listed) => cache.replace(listed, keep_until),
            DirectoryUpdate::Changes(_, changes) => {
                for change in changes {
                    let record = cache.targets().get(change.target());
                    let until = record.and_then(|record| keep_until(&record.zone));
                    cache.apply(change, until);
                }
            }
        }
        self.view.is_loaded = true;
        self.publish();
        self.schedule_expiry_check(link);
    }

    /// Logs how many entries a response shows to be gone, and what it shows of the others.
    fn log_missing(&self, update: &DirectoryUpdate, census: &EntryCensus, unanswered: Duration) {
        let counts = census.total();
        if counts.missing == 0 {
            return;
        }
        let (window, now) = (self.recovery_window, self.answered_at);
        let kept = census.zones();
        let kept = kept.filter(|zone| window.keep_until(census, zone, now).is_some());
        log::info!(
            missing = counts.missing,
            listed = counts.listed(),
            written = counts.written,
            snapshot = update.is_snapshot(),
            unanswered_ms = unanswered.as_millis() as u64,
            kept_zones = kept.count();
            "entries_missing"
        );
    }

    /// Records which targets are warming up, and which have started again and no longer mean what they stated; an
    /// entry that is read again unchanged says nothing new.
    fn record_starts(&self, changes: &[TargetChange], now: Moment) {
        for change in changes {
            let TargetChange::Put(record) = change else {
                continue;
            };
            let known = self.view.cache.targets().get(&record.id);
            let is_known = known.is_some_and(|known| {
                known.warmup_left == record.warmup_left && known.incarnation == record.incarnation
            });
            let gauge = self.shared.gauges.get(&record.id);
            gauge
                .statements()
                .begin_incarnation(record.incarnation, now);
            if !is_known && !record.warmup_left.is_zero() {
                gauge.begin_warmup(now + record.warmup_left);
            }
        }
    }

    fn schedule_expiry_check(&mut self, link: &ServiceLink<DirectoryMessage>) {
        if self.view.cache.is_pending() && !self.is_expiry_scheduled {
            self.is_expiry_scheduled = true;
            link.send_after(EXPIRY_CHECK_INTERVAL, DirectoryMessage::Expire);
        }
    }

    fn poll_interval(&self) -> Duration {
        let (min, max) = DIRECTORY_INTERVAL;
        (DIRECTORY_INTERVAL_PER_READER * store_reader_count(&self.shared.live_view.read()))
            .clamp(min, max)
    }

    fn publish(&mut self) {
        self.view.cache.prune_unlisted();
        self.shared.directory.publish(self.view.clone());
        self.shared.rebuild_table();
    }
}

impl Service for DirectorySync {
    type Message = DirectoryMessage;

    fn name(&self) -> &'static str {
        DIRECTORY_SERVICE
    }

    fn start(&mut self, link: &ServiceLink<DirectoryMessage>) {
        self.poll(link);
    }

    fn handle(&mut self, message: DirectoryMessage, link: &ServiceLink<DirectoryMessage>) {
        let now = link.now();
        match message {
            DirectoryMessage::Poll => self.poll(link),
            DirectoryMessage::Polled(Ok(update)) => {
                self.source_health.record(DIRECTORY_SERVICE, None, now);
                self.apply(update, now, link);
                link.send_after(MIN_DIRECTORY_DELAY, DirectoryMessage::Poll);
            }
            DirectoryMessage::Polled(Err(error)) => {
                self.source_health
                    .record(DIRECTORY_SERVICE, Some(&error), now);
                if error == SourceError::HistoryGone {
                    self.mark = None;
                } else {
                    self.recovery_window.note_failure();
                }
                link.send_after(retry_delay(), DirectoryMessage::Poll);
            }
            DirectoryMessage::Expire => {
                self.is_expiry_scheduled = false;
                let census = self.view.cache.census(&[], false);
                if self.recovery_window.may_expire(&census) && self.view.cache.expire(now) {
                    self.publish();
                }
                self.schedule_expiry_check(link);
            }
        }
    }

    fn dump(&self) -> Value {
        json!({
            "targets": self.view.cache.targets().len(),
            "mark": self.mark,
        })
    }

    fn renew(&self) -> Self {
        Self::new(Arc::clone(&self.shared))
    }
}
