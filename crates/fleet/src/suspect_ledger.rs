//! Crash history of requests, shared by the control thread and the traffic threads.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use briarswitch_core::crash::{CrashHistory, CrashVerdict, StoreMillis, MIN_CRASHES};
use briarswitch_core::fingerprint::SuspectFingerprint;

use crate::ports::{StoreClock, SuspectRow};

/// Records which requests were running when targets crashed.
pub struct SuspectLedger {
    clock: Arc<dyn StoreClock>,
    history: Mutex<CrashHistory>,
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

    /// Returns the remaining quarantine of a request, or `None` if it may run.
    pub fn quarantine_left(&self, fingerprint: &SuspectFingerprint) -> Option<Duration> {
        match self.verdict(fingerprint) {
            CrashVerdict::Quarantined(remaining) => Some(remaining),
            CrashVerdict::Clear | CrashVerdict::Suspect => None,
        }
    }

    /// Returns whether a request may be sent again within the same attempt, `broken_runs` of whose
    /// runs broke off.
    ///
    /// A caller's own retry is decided by what all nodes know. Between two runs of one attempt no
    /// other node can know yet what the first run has done, and another run could crash the next
    /// target immediately.
    pub fn may_retry(&self, fingerprint: &SuspectFingerprint, broken_runs: usize) -> bool {
        let is_nonempty = self.is_nonempty.load(Ordering::Relaxed);
        let crashes = if is_nonempty {
            self.crashes(fingerprint)
        } else {
            0
        };
        crashes + broken_runs < MIN_CRASHES
    }

    /// Returns how many targets have crashed while running the request, without expired crashes and
    /// those it was cleared of.
    pub fn crashes(&self, fingerprint: &SuspectFingerprint) -> usize {
        self.lock().crashes(fingerprint, self.now()).len()
    }

    /// Returns whether any target has crashed while running the request.
    pub fn has_crashes(&self, fingerprint: &SuspectFingerprint) -> bool {
        self.is_nonempty.load(Ordering::Relaxed) && self.lock().has_crashes(fingerprint)
    }

    /// Records a row that was observed here or reported; returns whether it is new.
    pub fn record(&self, row: &SuspectRow) -> bool {
        let mut history = self.lock();
        self.is_nonempty.store(true, Ordering::Relaxed);
        match row {
            SuspectRow::Crash(crash) => history.record_crash(*crash),
            SuspectRow::Clear(clear) => history.record_clear(*clear),
        }
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

    fn lock(&self) -> MutexGuard<'_, CrashHistory> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
