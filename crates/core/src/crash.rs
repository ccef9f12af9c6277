//! Detects requests, and parts of prompts, that crash the targets that run them.
//!
//! A request that was running at a target when it crashed, or a part of its prompt, may be the cause or may only have
//! been present. Each crash is weighted by the probability that the target crashed by coincidence while
//! the request ran. A request with too many crashes for a coincidence is quarantined.

use std::time::Duration;

use indexmap::IndexMap;

use crate::crash_evidence::{is_quarantined, is_suspect, merge_same_cause, quarantine_remaining};
use crate::fingerprint::SuspectFingerprint;
use crate::id::Moment;

pub use crate::crash_evidence::{is_expired, CRASH_RETENTION, MIN_CRASHES};
pub use crate::crash_report::{
    ClearReport, CrashReport, CrashedTarget, IncarnationKey, StoreMillis, MAX_STORE_MILLIS,
};

/// Period over which the crash rate is computed.
const RATE_WINDOW: Duration = Duration::from_secs(30);
/// Minimum period over which the crash rate is computed, for a node that has just started.
const MIN_RATE_WINDOW: Duration = Duration::from_secs(10);
/// Maximum number of requests that are remembered.
const MAX_REQUESTS: usize = 4_096;

/// Rate at which targets crash, whatever they run.
#[derive(Clone, Debug, Default)]
pub struct CrashRate {
    samples: Vec<(Moment, u64)>,
    targets: usize,
}

impl CrashRate {
    /// Records the total number of crashes so far and the current number of targets.
    pub fn record(&mut self, crashes: u64, targets: usize, now: Moment) {
        let since = now.saturating_sub(RATE_WINDOW);
        self.samples.retain(|(at, _)| *at >= since);
        self.samples.push((now, crashes));
        self.targets = targets;
    }

    /// Returns the crashes per target and second. One crash is added, so that the rate is never
    /// zero.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use briarswitch_core::crash::CrashRate;
    ///
    /// let mut rate = CrashRate::default();
    /// rate.record(0, 10, Duration::from_secs(1));
    /// rate.record(19, 10, Duration::from_secs(21));
    /// assert_eq!(rate.per_second(), 0.1);
    /// ```
    pub fn per_second(&self) -> f64 {
        let first = self.samples.first().copied().unwrap_or_default();
        let last = self.samples.last().copied().unwrap_or_default();
        let crashes = last.1.saturating_sub(first.1) + 1;
        let time = last.0.saturating_sub(first.0).max(MIN_RATE_WINDOW);
        crashes as f64 / (self.targets.max(1) as f64 * time.as_secs_f64())
    }
}

/// Assessment of a request by its crashes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashVerdict {
    /// No significant evidence against it.
    Clear,
    /// More crashes than coincidence explains well; it still runs, and all nodes are informed.
    Suspect,
    /// It must not run for this time.
    Quarantined(Duration),
}

impl CrashVerdict {
    /// Returns the remaining quarantine; `None` if there is none.
    ///
    /// ```
    /// use briarswitch_core::crash::CrashVerdict;
    ///
    /// assert_eq!(CrashVerdict::Suspect.quarantine_left(), None);
    /// ```
    pub fn quarantine_left(self) -> Option<Duration> {
        match self {
            Self::Quarantined(left) => Some(left),
            Self::Clear | Self::Suspect => None,
        }
    }
}

#[derive(Clone, Debug, Default)]
struct CrashRecord {
    /// Keyed by incarnation, so that a crash counts once, whoever saw it and however often it is
    /// reported.
    crashes: IndexMap<IncarnationKey, CrashReport>,
    cleared: StoreMillis,
}

impl CrashRecord {
    /// Returns the crashes that count at `now`, in order of time.
    fn crashes_at(&self, now: StoreMillis) -> Vec<CrashReport> {
        let mut crashes: Vec<CrashReport> = self
            .crashes
            .values()
            .filter(|crash| crash.at > self.cleared && !is_expired(crash.at, now))
            .copied()
            .collect();
        crashes.sort_by_key(|crash| (crash.at, crash.incarnation));
        crashes
    }
}

/// Crashes of targets by the requests that were running there.
///
/// Two histories that have recorded the same reports, in any order and any number of times, agree.
#[derive(Clone, Debug, Default)]
pub struct CrashHistory {
    records: IndexMap<SuspectFingerprint, CrashRecord>,
}

impl CrashHistory {
    /// Records a crash; returns whether this changed the history.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use briarswitch_core::crash::{CrashHistory, CrashVerdict, CrashReport, CrashedTarget};
    /// use briarswitch_core::fingerprint::SuspectFingerprint;
    ///
    /// let fingerprint = SuspectFingerprint::from([1; 16]);
    /// let mut history = CrashHistory::default();
    /// for (name, at) in [("a", 1_000), ("b", 2_000), ("c", 3_000)] {
    ///     let (target, domain) = (name.to_owned(), String::new());
    ///     let target = CrashedTarget { target: &target, incarnation: 0, domain: &domain };
    ///     let ran = Duration::from_millis(50);
    ///     history.record_crash(CrashReport::of(fingerprint, target, at, ran, 0.001));
    /// }
    /// assert!(matches!(history.verdict(&fingerprint, 3_000), CrashVerdict::Quarantined(_)));
    /// ```
    pub fn record_crash(&mut self, crash: CrashReport) -> bool {
        let record = self.records.entry(crash.fingerprint).or_default();
        let is_changed = match record.crashes.get_mut(&crash.incarnation) {
            // Two nodes may report the same crash; the result must not depend on which report came
            // first.
            Some(known) => {
                let before = *known;
                known.at = known.at.min(crash.at);
                known.chance_permille = known.chance_permille.max(crash.chance_permille);
                *known != before
            }
            None => record.crashes.insert(crash.incarnation, crash).is_none(),
        };
        self.evict_excess();
        is_changed
    }

    /// Records that a request did not cause earlier crashes; returns whether this changed the
    /// history.
    ///
    /// ```
    /// use briarswitch_core::crash::{ClearReport, CrashHistory};
    /// use briarswitch_core::fingerprint::SuspectFingerprint;
    ///
    /// let clear = ClearReport { fingerprint: SuspectFingerprint::from([1; 16]), at: 5 };
    /// let mut history = CrashHistory::default();
    /// assert!(history.record_clear(clear));
    /// assert!(!history.record_clear(clear));
    /// ```
    pub fn record_clear(&mut self, clear: ClearReport) -> bool {
        let record = self.records.entry(clear.fingerprint).or_default();
        if clear.at <= record.cleared {
            return false;
        }
        // Earlier crashes are kept: if one were reported again with a later time, it would count as
        // new.
        record.cleared = clear.at;
        self.evict_excess();
        true
    }

    /// Returns the assessment of a request.
    ///
    /// ```
    /// use briarswitch_core::crash::{CrashHistory, CrashVerdict};
    /// use briarswitch_core::fingerprint::SuspectFingerprint;
    ///
    /// let verdict = CrashHistory::default().verdict(&SuspectFingerprint::from([1; 16]), 5);
    /// assert_eq!(verdict, CrashVerdict::Clear);
    /// ```
    pub fn verdict(&self, fingerprint: &SuspectFingerprint, now: StoreMillis) -> CrashVerdict {
        let Some(record) = self.records.get(fingerprint) else {
            return CrashVerdict::Clear;
        };
        let mut crashes = record.crashes_at(now);
        if fingerprint.is_part() && is_quarantined(&crashes) {
            self.drop_explained(fingerprint, &mut crashes, now);
        }
        match quarantine_remaining(&crashes, now) {
            Some(remaining) => CrashVerdict::Quarantined(remaining),
            None if is_suspect(&crashes) => CrashVerdict::Suspect,
            None => CrashVerdict::Clear,
        }
    }

    /// Drops the crashes of a part that another one explains: one that is quarantined itself, under which more targets
    /// have crashed.
    fn drop_explained(
        &self,
        part: &SuspectFingerprint,
        crashes: &mut Vec<CrashReport>,
        now: StoreMillis,
    ) {
        let own_count = crashes.len();
        let others = self.records.iter().filter(|(other, record)| {
            other.is_part() && *other != part && record.crashes.len() > own_count
        });
        for (_, other) in others {
            let other_crashes = other.crashes_at(now);
            if other_crashes.len() > own_count && is_quarantined(&other_crashes) {
                crashes.retain(|crash| !other.crashes.contains_key(&crash.incarnation));
            }
        }
    }

    /// Returns the crashes of targets that ran the request, as far as they still count.
    pub fn crashes(&self, fingerprint: &SuspectFingerprint, now: StoreMillis) -> Vec<CrashReport> {
        let record = self.records.get(fingerprint);
        record.map_or_else(Vec::new, |record| record.crashes_at(now))
    }

    /// Returns how often targets have crashed that ran the request or part; many targets lost at once count once for a
    /// part, which may have run at all of them.
    ///
    /// ```
    /// use briarswitch_core::crash::{CrashHistory, CrashReport, IncarnationKey};
    /// use briarswitch_core::fingerprint::SuspectFingerprint;
    ///
    /// let fingerprint = SuspectFingerprint::of_part("a");
    /// let mut history = CrashHistory::default();
    /// for incarnation in [1, 2].map(IncarnationKey) {
    ///     let crash = CrashReport { fingerprint, incarnation, domain: incarnation.0, at: 5, chance_permille: 20 };
    ///     history.record_crash(crash);
    /// }
    /// assert_eq!(history.crash_count(&fingerprint, 5), 1);
    /// ```
    pub fn crash_count(&self, fingerprint: &SuspectFingerprint, now: StoreMillis) -> usize {
        let crashes = self.crashes(fingerprint, now);
        if fingerprint.is_part() {
            merge_same_cause(&crashes).len()
        } else {
            crashes.len()
        }
    }

    /// Returns the latest report that cleared the request.
    pub fn cleared(&self, fingerprint: &SuspectFingerprint) -> Option<ClearReport> {
        let record = self.records.get(fingerprint)?;
        let at = record.cleared;
        (at > 0).then_some(ClearReport {
            fingerprint: *fingerprint,
            at,
        })
    }

    /// Returns the fingerprints of all requests in the history.
    pub fn fingerprints(&self) -> impl Iterator<Item = &SuspectFingerprint> {
        self.records.keys()
    }

    /// Returns whether any target has crashed with the request running since it was last cleared.
    pub fn has_crashes(&self, fingerprint: &SuspectFingerprint) -> bool {
        let record = self.records.get(fingerprint);
        record.is_some_and(|record| {
            record
                .crashes
                .values()
                .any(|crash| crash.at > record.cleared)
        })
    }

    /// Removes expired reports.
    pub fn prune(&mut self, now: StoreMillis) {
        self.records.retain(|_, record| {
            record.crashes.retain(|_, crash| !is_expired(crash.at, now));
            !record.crashes.is_empty() || !is_expired(record.cleared, now)
        });
    }

    /// If there are too many requests, drops the one with the fewest crashes, the oldest of those
    /// first.
    ///
    /// Otherwise a caller that keeps sending new requests to crashing targets would exhaust the
    /// memory.
    fn evict_excess(&mut self) {
        if self.records.len() <= MAX_REQUESTS {
            return;
        }
        let records = self.records.iter().enumerate();
        let fewest = records.min_by_key(|(_, (_, record))| record.crashes.len());
        if let Some(index) = fewest.map(|(index, _)| index) {
            self.records.shift_remove_index(index);
        }
    }
}
