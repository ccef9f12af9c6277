//! What traffic reads of the requests under which targets have ended.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use briarswitch_core::crash::{CrashHistory, CrashVerdict, StoreMillis, MIN_CRASHES};
use briarswitch_core::fingerprint::RequestFingerprint;

use crate::ports::{StoreClock, SuspectRow};

/// The ledger of ends, shared by the control thread and traffic.
pub struct SuspectBoard {
    clock: Arc<dyn StoreClock>,
    ledger: Mutex<CrashHistory>,
    /// Whether the ledger holds anything; nearly always it does not.
    is_used: AtomicBool,
}

impl SuspectBoard {
    /// Opens a board that knows of no end.
    ///
    /// ```
    /// use std::sync::Arc;
    ///
    /// use briarswitch_core::fingerprint::RequestFingerprint;
    /// use briarswitch_fleet::ports::StoreClock;
    /// use briarswitch_fleet::suspects::SuspectBoard;
    ///
    /// struct FixedClock;
    ///
    /// impl StoreClock for FixedClock {
    ///     fn millis(&self) -> u64 {
    ///         5
    ///     }
    /// }
    ///
    /// let board = SuspectBoard::open(Arc::new(FixedClock));
    /// assert!(board.quarantine(&RequestFingerprint::from([1; 16])).is_none());
    /// ```
    pub fn open(clock: Arc<dyn StoreClock>) -> Self {
        Self {
            clock,
            ledger: Mutex::default(),
            is_used: AtomicBool::new(false),
        }
    }

    /// Returns the time by which ends are dated.
    pub fn now(&self) -> StoreMillis {
        self.clock.millis()
    }

    /// Returns what is held of a request.
    pub fn verdict(&self, print: &RequestFingerprint) -> CrashVerdict {
        if !self.is_used.load(Ordering::Relaxed) {
            return CrashVerdict::Clear;
        }
        self.lock().verdict(print, self.now())
    }

    /// Returns how long a request is not to run, if it is not to.
    pub fn quarantine(&self, print: &RequestFingerprint) -> Option<Duration> {
        match self.verdict(print) {
            CrashVerdict::Quarantined(left) => Some(left),
            CrashVerdict::Clear | CrashVerdict::Suspect => None,
        }
    }

    /// Returns whether a request may be sent once more for the same attempt, `broken` of whose runs broke off.
    ///
    /// A caller's own repeat is decided by what all nodes know. Between two runs of one attempt nobody else can
    /// know yet what the first has done, and going on would end the next target at once.
    pub fn may_go_on(&self, print: &RequestFingerprint, broken: usize) -> bool {
        let is_used = self.is_used.load(Ordering::Relaxed);
        let ends = if is_used { self.ends(print) } else { 0 };
        ends + broken < MIN_CRASHES
    }

    /// Returns how many targets have ended with the request under way, as far as they count.
    pub fn ends(&self, print: &RequestFingerprint) -> usize {
        self.lock().crashes(print, self.now()).len()
    }

    /// Returns whether any target has ended with the request under way.
    pub fn has_ends(&self, print: &RequestFingerprint) -> bool {
        self.is_used.load(Ordering::Relaxed) && self.lock().has_crashes(print)
    }

    /// Takes in what was seen or told; returns whether it is news.
    pub fn take(&self, row: &SuspectRow) -> bool {
        let mut ledger = self.lock();
        self.is_used.store(true, Ordering::Relaxed);
        match row {
            SuspectRow::End(end) => ledger.record_crash(*end),
            SuspectRow::Clear(clear) => ledger.record_clear(*clear),
        }
    }

    /// Returns all that is known of a request.
    pub fn rows(&self, print: &RequestFingerprint) -> Vec<SuspectRow> {
        let ledger = self.lock();
        let ends = ledger.crashes(print, self.now());
        let ends = ends.into_iter().map(SuspectRow::End);
        let clear = ledger.cleared(print).map(SuspectRow::Clear);
        ends.chain(clear).collect()
    }

    /// Returns the requests that are not clear, and what is held of them.
    pub fn suspects(&self) -> Vec<(RequestFingerprint, CrashVerdict)> {
        let now = self.now();
        let ledger = self.lock();
        let verdicts = ledger
            .fingerprints()
            .map(|print| (*print, ledger.verdict(print, now)));
        verdicts
            .filter(|(_, verdict)| *verdict != CrashVerdict::Clear)
            .collect()
    }

    /// Forgets what counts no more.
    pub fn prune(&self) {
        let mut ledger = self.lock();
        ledger.prune(self.now());
        let is_used = ledger.fingerprints().next().is_some();
        self.is_used.store(is_used, Ordering::Relaxed);
    }

    fn lock(&self) -> MutexGuard<'_, CrashHistory> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
