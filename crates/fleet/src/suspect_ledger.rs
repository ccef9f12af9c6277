//! What traffic reads of the requests under which targets have ended.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use briarswitch_core::crash::{CrashLedger, CrashVerdict, StoreMillis, LEAST_ENDS};
use briarswitch_core::print::RequestPrint;

use crate::ports::{StoreClock, SuspectRow};

/// The ledger of ends, shared by the control thread and traffic.
pub struct SuspectLedger {
    clock: Arc<dyn StoreClock>,
    ledger: Mutex<CrashLedger>,
    /// Whether the ledger holds anything; nearly always it does not.
    is_nonempty: AtomicBool,
}

impl SuspectLedger {
    /// Opens a board that knows of no end.
    ///
    /// ```
    /// use std::sync::Arc;
    ///
    /// use briarswitch_core::print::RequestPrint;
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
    /// assert!(ledger.quarantine_left(&RequestPrint::from([1; 16])).is_none());
    /// ```
    pub fn new(clock: Arc<dyn StoreClock>) -> Self {
        Self {
            clock,
            ledger: Mutex::default(),
            is_nonempty: AtomicBool::new(false),
        }
    }

    /// Returns the time by which ends are dated.
    pub fn now(&self) -> StoreMillis {
        self.clock.millis()
    }

    /// Returns what is held of a request.
    pub fn verdict(&self, fingerprint: &RequestPrint) -> CrashVerdict {
        if !self.is_nonempty.load(Ordering::Relaxed) {
            return CrashVerdict::Clear;
        }
        self.lock().verdict(fingerprint, self.now())
    }

    /// Returns how long a request is not to run, if it is not to.
    pub fn quarantine_left(&self, fingerprint: &RequestPrint) -> Option<Duration> {
        match self.verdict(fingerprint) {
            CrashVerdict::Quarantined(left) => Some(left),
            CrashVerdict::Clear | CrashVerdict::Suspect => None,
        }
    }

    /// Returns whether a request may be sent once more for the same attempt, `broken` of whose runs broke off.
    ///
    /// A caller's own repeat is decided by what all nodes know. Between two runs of one attempt nobody else can
    /// know yet what the first has done, and going on would end the next target at once.
    pub fn may_retry(&self, fingerprint: &RequestPrint, broken_runs: usize) -> bool {
        let is_nonempty = self.is_nonempty.load(Ordering::Relaxed);
        let crashes = if is_nonempty {
            self.crashes(fingerprint)
        } else {
            0
        };
        crashes + broken_runs < LEAST_ENDS
    }

    /// Returns how many targets have ended with the request under way, as far as they count.
    pub fn crashes(&self, fingerprint: &RequestPrint) -> usize {
        self.lock().ends(fingerprint, self.now()).len()
    }

    /// Returns whether any target has ended with the request under way.
    pub fn has_crashes(&self, fingerprint: &RequestPrint) -> bool {
        self.is_nonempty.load(Ordering::Relaxed) && self.lock().has_ends(fingerprint)
    }

    /// Takes in what was seen or told; returns whether it is news.
    pub fn record(&self, row: &SuspectRow) -> bool {
        let mut ledger = self.lock();
        self.is_nonempty.store(true, Ordering::Relaxed);
        match row {
            SuspectRow::Crash(end) => ledger.take_end(*end),
            SuspectRow::Clear(clear) => ledger.take_clear(*clear),
        }
    }

    /// Returns all that is known of a request.
    pub fn rows(&self, fingerprint: &RequestPrint) -> Vec<SuspectRow> {
        let ledger = self.lock();
        let crashes = ledger.ends(fingerprint, self.now());
        let crashes = crashes.into_iter().map(SuspectRow::Crash);
        let clear = ledger.cleared(fingerprint).map(SuspectRow::Clear);
        crashes.chain(clear).collect()
    }

    /// Returns the requests that are not clear, and what is held of them.
    pub fn suspects(&self) -> Vec<(RequestPrint, CrashVerdict)> {
        let now = self.now();
        let ledger = self.lock();
        let verdicts = ledger
            .prints()
            .map(|fingerprint| (*fingerprint, ledger.verdict(fingerprint, now)));
        verdicts
            .filter(|(_, verdict)| *verdict != CrashVerdict::Clear)
            .collect()
    }

    /// Forgets what counts no more.
    pub fn prune(&self) {
        let mut ledger = self.lock();
        ledger.prune(self.now());
        let is_nonempty = ledger.prints().next().is_some();
        self.is_nonempty.store(is_nonempty, Ordering::Relaxed);
    }

    fn lock(&self) -> MutexGuard<'_, CrashLedger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
