//! Crash history of requests, shared by the control thread and the traffic threads.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use briarswitch_core::crash::{ClearReport, CrashHistory, CrashVerdict, StoreMillis, MIN_CRASHES};
use briarswitch_core::fingerprint::SuspectFingerprint;
use briarswitch_core::id::Moment;
use briarswitch_core::run_suspects::RunSuspects;
use briarswitch_core::sound_parts::SoundParts;
use tokio::sync::watch;

use crate::ports::{StoreClock, SuspectRow};

/// Interval at which a request that waits is checked for a quarantine, as long as there are any crashes.
const BARRED_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// A quarantine that keeps a request from running.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BarredSuspect {
    /// The request itself, or a part of its prompt.
    pub fingerprint: SuspectFingerprint,
    /// Remaining time.
    pub left: Duration,
}

/// Records which requests, and parts of prompts, were running when targets crashed.
pub struct SuspectLedger {
    clock: Arc<dyn StoreClock>,
    history: Mutex<CrashHistory>,
    sound: Mutex<SoundParts>,
    /// Notified when the history changes.
    changes: watch::Sender<()>,
    /// Whether the history has any entry. Usually it has none, and requests then skip the lock.
    is_nonempty: AtomicBool,
}

impl SuspectLedger {
    /// Creates an empty ledger.
    ///
    /// ```
    /// use std::sync::Arc;
    ///
    /// use briarswitch_core::fingerprint::SuspectFingerprint;
    /// use briarswitch_fleet::ports::StoreClock;
    /// use briarswitch_fleet::suspect_ledger::SuspectLedger;
    ///
    /// struct FixedClock;
    ///
    /// impl StoreClock for FixedClock {
    ///     fn millis(&self) -> u64 {
    ///         5
    ///     }
    /// }
    ///
    /// let ledger = SuspectLedger::new(Arc::new(FixedClock));
    /// assert!(ledger.quarantine_left(&SuspectFingerprint::from([1; 16])).is_none());
    /// ```
    pub fn new(clock: Arc<dyn StoreClock>) -> Self {
        Self {
            clock,
            history: Mutex::default(),
            sound: Mutex::default(),
            changes: watch::Sender::new(()),
            is_nonempty: AtomicBool::new(false),
        }
    }

    /// Returns the current time of the store's clock, which dates crashes.
    pub fn now(&self) -> StoreMillis {
        self.clock.millis()
    }

    /// Returns the verdict on a request.
    pub fn verdict(&self, fingerprint: &SuspectFingerprint) -> CrashVerdict {
        if !self.is_nonempty.load(Ordering::Relaxed) {
            return CrashVerdict::Clear;
        }
        self.lock().verdict(fingerprint, self.now())
    }

    /// Returns what keeps a request from running, the longest quarantine first; `None` if it may run.
    pub fn barred(&self, suspects: &RunSuspects) -> Option<BarredSuspect> {
        if !self.is_nonempty.load(Ordering::Relaxed) {
            return None;
        }
        let (history, now) = (self.lock(), self.now());
        let barred = suspects.iter().filter_map(|fingerprint| {
            let verdict = history.verdict(fingerprint, now);
            let left = verdict.quarantine_left()?;
            Some(BarredSuspect {
                fingerprint: *fingerprint,
                left,
            })
        });
        barred.max_by_key(|barred| barred.left)
    }

    /// Waits until a request may not run any more.
    pub async fn wait_barred(&self, suspects: &RunSuspects) {
        let mut changes = self.changes.subscribe();
        while self.barred(suspects).is_none() {
            let changed = changes.changed();
            if self.is_nonempty.load(Ordering::Relaxed) {
                // Verdicts change with time, too.
                let _ = tokio::time::timeout(BARRED_POLL_INTERVAL, changed).await;
            } else {
                let _ = changed.await;
            }
        }
    }

    /// Records that a run ended with a complete response; returns those of its suspects to which crashes were put down.
    pub fn complete(&self, suspects: &RunSuspects, now: Moment) -> Vec<SuspectFingerprint> {
        self.lock_sound().record(suspects, now);
        if !self.is_nonempty.load(Ordering::Relaxed) {
            return Vec::new();
        }
        let history = self.lock();
        let crashed = suspects
            .iter()
            .filter(|fingerprint| history.has_crashes(fingerprint));
        crashed.copied().collect()
    }

    /// Returns to which of a run's suspects the crash of its target can be put down.
    pub fn blamed(&self, suspects: &RunSuspects, now: Moment) -> Vec<SuspectFingerprint> {
        self.lock_sound().blamed(suspects, now)
    }

    /// Returns whether a run with this part of a prompt ended with a complete response a short while ago.
    pub fn is_sound(&self, fingerprint: &SuspectFingerprint, now: Moment) -> bool {
        fingerprint.is_part() && self.lock_sound().contains(fingerprint, now)
    }

    /// Returns the remaining quarantine of a request or part, or `None` if it may run.
    pub fn quarantine_left(&self, fingerprint: &SuspectFingerprint) -> Option<Duration> {
        self.verdict(fingerprint).quarantine_left()
    }

    /// Returns whether a request may be sent again within the same attempt, `broken_runs` of whose
    /// runs broke off; the suspect with most crashes decides.
    ///
    /// A caller's own retry is decided by what all nodes know. Between two runs of one attempt no
    /// other node can know yet what the first run has done, and another run could crash the next
    /// target immediately.
    pub fn may_retry(&self, suspects: &RunSuspects, broken_runs: usize) -> bool {
        let crashes = if self.is_nonempty.load(Ordering::Relaxed) {
            let (history, now) = (self.lock(), self.now());
            let crashes = suspects.iter();
            let crashes = crashes.map(|fingerprint| history.crash_count(fingerprint, now));
            crashes.max().unwrap_or(0)
        } else {
            0
        };
        crashes + broken_runs < MIN_CRASHES
    }

    /// Returns how often targets have crashed while running the request or part, without expired crashes and
    /// those it was cleared of; for a part, many at once count once.
    pub fn crashes(&self, fingerprint: &SuspectFingerprint) -> usize {
        self.lock().crash_count(fingerprint, self.now())
    }

    /// Returns whether any target has crashed while running the request.
    pub fn has_crashes(&self, fingerprint: &SuspectFingerprint) -> bool {
        self.is_nonempty.load(Ordering::Relaxed) && self.lock().has_crashes(fingerprint)
    }

    /// Records a row that was observed here or reported; returns whether it is new.
    pub fn record(&self, row: &SuspectRow) -> bool {
        let mut history = self.lock();
        self.is_nonempty.store(true, Ordering::Relaxed);
        let is_changed = match row {
            SuspectRow::Crash(crash) => history.record_crash(*crash),
            SuspectRow::Clear(clear) => history.record_clear(*clear),
        };
        drop(history);
        if is_changed {
            self.changes.send_replace(());
        }
        is_changed
    }

    /// Returns the latest report that cleared a request or part, if no crash has been put down to it since.
    pub fn clearance(&self, fingerprint: &SuspectFingerprint) -> Option<ClearReport> {
        let history = self.lock();
        let clear = history.cleared(fingerprint)?;
        (!history.has_crashes(fingerprint)).then_some(clear)
    }

    /// Returns all rows about a request.
    pub fn rows(&self, fingerprint: &SuspectFingerprint) -> Vec<SuspectRow> {
        let history = self.lock();
        let crashes = history.crashes(fingerprint, self.now());
        let crashes = crashes.into_iter().map(SuspectRow::Crash);
        let clear = history.cleared(fingerprint).map(SuspectRow::Clear);
        crashes.chain(clear).collect()
    }

    /// Returns the requests that are suspected or quarantined, with their verdicts.
    pub fn suspects(&self) -> Vec<(SuspectFingerprint, CrashVerdict)> {
        let now = self.now();
        let history = self.lock();
        let verdicts = history
            .fingerprints()
            .map(|fingerprint| (*fingerprint, history.verdict(fingerprint, now)));
        verdicts
            .filter(|(_, verdict)| *verdict != CrashVerdict::Clear)
            .collect()
    }

    /// Drops expired crashes.
    pub fn prune(&self) {
        let mut history = self.lock();
        history.prune(self.now());
        let is_nonempty = history.fingerprints().next().is_some();
        self.is_nonempty.store(is_nonempty, Ordering::Relaxed);
    }

    fn lock_sound(&self) -> MutexGuard<'_, SoundParts> {
        self.sound.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> MutexGuard<'_, CrashHistory> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
