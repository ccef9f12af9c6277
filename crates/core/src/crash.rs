//! Which requests end the targets that run them.
//!
//! A request that was under way at a target when it ended may be the cause or may only have been there. Each end is
//! weighed by how likely the target was to end by chance while the request ran; a request under which several ends
//! would be too much of a coincidence is quarantined.

use std::time::Duration;

use indexmap::IndexMap;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::fingerprint::RequestFingerprint;
use crate::id::{DomainId, Incarnation, Moment, TargetId};

/// Ends after which a request may be quarantined.
pub const MIN_CRASHES: usize = 3;
/// Ends after which a request is quarantined however often targets end otherwise.
const CERTAIN_CRASHES: usize = 5;
/// Chance of coincidence below which a request is quarantined: so many of those that were there at as many ends are
/// quarantined for nothing.
const QUARANTINE_CHANCE: f64 = 1e-3;
/// Chance of coincidence below which two ends are worth telling all nodes.
const SUSPECT_CHANCE: f64 = 1e-2;
/// Least chance that one end counts with; what is declared impossible would need no second one.
const MIN_CHANCE: f64 = 1e-2;
/// Time for which an end is remembered; a request can end this many targets less one in that time.
pub const CRASH_RETENTION: Duration = Duration::from_secs(600);
/// Time within which ends in one domain have one cause.
const SAME_CAUSE_WINDOW: Duration = Duration::from_millis(100);
/// Time over which the rate of ends is taken.
const RATE_WINDOW: Duration = Duration::from_secs(30);
/// Least time over which the rate of ends is taken, by a node that has just started.
const MIN_RATE_WINDOW: Duration = Duration::from_secs(10);
/// Requests that are remembered at most.
const MAX_REQUESTS: usize = 4_096;

/// Reading of the store's clock in milliseconds, the same at all nodes.
pub type StoreMillis = u64;

/// One life of a target, as a hash.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct IncarnationKey(pub u64);

impl IncarnationKey {
    /// Returns the key of one life.
    ///
    /// ```
    /// use briarswitch_core::crash::IncarnationKey;
    ///
    /// assert_ne!(IncarnationKey::of("t", 1), IncarnationKey::of("t", 2));
    /// ```
    pub fn of(target: &str, incarnation: Incarnation) -> Self {
        Self(xxh3_64_with_seed(target.as_bytes(), incarnation))
    }
}

/// A target and its place, at whose end a request was under way.
#[derive(Clone, Copy, Debug)]
pub struct CrashedTarget<'a> {
    /// Target.
    pub target: &'a TargetId,
    /// Life that ended.
    pub incarnation: Incarnation,
    /// Its domain.
    pub domain: &'a DomainId,
}

/// One end of a target with a request under way.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct CrashReport {
    /// Request.
    pub fingerprint: RequestFingerprint,
    /// Life that ended.
    pub incarnation: IncarnationKey,
    /// Hash of the target's domain.
    pub domain: u64,
    /// When the end was seen.
    pub at: StoreMillis,
    /// Thousandths of the chance that the target ended by coincidence while the request ran.
    pub chance_permille: u16,
}

impl CrashReport {
    /// Returns the sign of an end during which a request had run for `ran`, where targets end at `rate` a second.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use briarswitch_core::crash::{CrashReport, CrashedTarget};
    /// use briarswitch_core::fingerprint::RequestFingerprint;
    ///
    /// let (target, domain) = ("t".to_owned(), "d".to_owned());
    /// let target = CrashedTarget { target: &target, incarnation: 1, domain: &domain };
    /// let sign = |ran| CrashReport::of(RequestFingerprint::from([1; 16]), target, 5, ran, 0.1);
    /// assert!(sign(Duration::from_secs(1)).chance_permille < sign(Duration::from_secs(5)).chance_permille);
    /// ```
    pub fn of(
        print: RequestFingerprint,
        target: CrashedTarget<'_>,
        at: StoreMillis,
        ran: Duration,
        rate: f64,
    ) -> Self {
        let chance = 1.0 - (-rate * ran.as_secs_f64()).exp();
        Self {
            fingerprint: print,
            incarnation: IncarnationKey::of(target.target, target.incarnation),
            domain: xxh3_64(target.domain.as_bytes()),
            at,
            chance_permille: (chance.clamp(MIN_CHANCE, 1.0) * 1000.0).ceil() as u16,
        }
    }

    fn probability(&self) -> f64 {
        f64::from(self.chance_permille) / 1000.0
    }
}

/// Word that a request is not the cause of what ended before.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct ClearReport {
    /// Request.
    pub fingerprint: RequestFingerprint,
    /// Ends up to this moment do not count.
    pub at: StoreMillis,
}

/// How often targets end, whatever they run.
#[derive(Clone, Debug, Default)]
pub struct CrashRate {
    samples: Vec<(Moment, u64)>,
    targets: usize,
}

impl CrashRate {
    /// Notes that `ends` targets have ended so far, and that there are `targets`.
    pub fn record(&mut self, ends: u64, targets: usize, now: Moment) {
        let since = now.saturating_sub(RATE_WINDOW);
        self.samples.retain(|(at, _)| *at >= since);
        self.samples.push((now, ends));
        self.targets = targets;
    }

    /// Returns the ends of one target in a second; one more than were seen, so that it is never zero.
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
        let ends = last.1.saturating_sub(first.1) + 1;
        let time = last.0.saturating_sub(first.0).max(MIN_RATE_WINDOW);
        ends as f64 / (self.targets.max(1) as f64 * time.as_secs_f64())
    }
}

/// What is held of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashVerdict {
    /// Nothing that speaks against it.
    Clear,
    /// More ends than coincidence explains well; it is run, and all nodes are told.
    Suspect,
    /// It is not to run for so long.
    Quarantined(Duration),
}

#[derive(Clone, Debug, Default)]
struct CrashRecord {
    /// By life: the same end is counted once, whoever saw it and however often it is told.
    crashes: IndexMap<IncarnationKey, CrashReport>,
    cleared: StoreMillis,
}

/// Ends that speak the same way, in order of time; those of one cause count as one.
fn merge_same_cause(ends: &[CrashReport]) -> Vec<CrashReport> {
    let mut causes: Vec<CrashReport> = Vec::new();
    for end in ends {
        let near = |held: &&mut CrashReport| {
            let gap = Duration::from_millis(end.at.saturating_sub(held.at));
            held.domain == end.domain && gap < SAME_CAUSE_WINDOW
        };
        match causes.iter_mut().find(near) {
            Some(held) => held.chance_permille = held.chance_permille.max(end.chance_permille),
            None => causes.push(*end),
        }
    }
    causes
}

/// Returns the chance that all of these ends are coincidences, by Fisher's method.
///
/// Of many requests some are at several ends early in their runs by luck. The bare product of the chances is below any
/// bound far more often than the bound says; their combined significance is not.
fn coincidence_probability(causes: &[CrashReport]) -> f64 {
    let product: f64 = causes.iter().map(CrashReport::probability).product();
    let surprise = -product.ln();
    let mut term = 1.0;
    let mut sum = 0.0;
    for count in 1..=causes.len() {
        sum += term;
        term *= surprise / count as f64;
    }
    product * sum
}

fn is_quarantined(ends: &[CrashReport]) -> bool {
    let causes = merge_same_cause(ends);
    causes.len() >= CERTAIN_CRASHES
        || (causes.len() >= MIN_CRASHES && coincidence_probability(&causes) <= QUARANTINE_CHANCE)
}

fn is_suspect(ends: &[CrashReport]) -> bool {
    let causes = merge_same_cause(ends);
    causes.len() >= 2 && coincidence_probability(&causes) <= SUSPECT_CHANCE
}

impl CrashRecord {
    /// Returns the ends that count at `now`, in order of time.
    fn crashes_at(&self, now: StoreMillis) -> Vec<CrashReport> {
        let mut ends: Vec<CrashReport> = self
            .crashes
            .values()
            .filter(|end| end.at > self.cleared && !is_expired(end.at, now))
            .copied()
            .collect();
        ends.sort_by_key(|end| (end.at, end.incarnation));
        ends
    }

    /// Returns how long the request is not to run: until enough of its ends are forgotten.
    fn quarantine_remaining(&self, now: StoreMillis) -> Option<Duration> {
        let ends = self.crashes_at(now);
        if !is_quarantined(&ends) {
            return None;
        }
        let last = (0..ends.len()).take_while(|first| is_quarantined(&ends[*first..]));
        let at = ends[last.last()?].at;
        let until = at + CRASH_RETENTION.as_millis() as StoreMillis;
        Some(Duration::from_millis(until.saturating_sub(now)))
    }
}

/// Returns whether what was seen at a moment counts no more.
///
/// ```
/// use briarswitch_core::crash::is_expired;
///
/// assert!(!is_expired(1_000, 2_000));
/// assert!(is_expired(1_000, 601_000));
/// ```
pub fn is_expired(at: StoreMillis, now: StoreMillis) -> bool {
    now >= at + CRASH_RETENTION.as_millis() as StoreMillis
}

/// The ends of targets by the requests that were under way there.
///
/// Two ledgers that have taken the same signs in, in any order and however often, hold the same.
#[derive(Clone, Debug, Default)]
pub struct CrashHistory {
    records: IndexMap<RequestFingerprint, CrashRecord>,
}

impl CrashHistory {
    /// Takes an end in; returns whether it is news.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use briarswitch_core::crash::{CrashHistory, CrashVerdict, CrashReport, CrashedTarget};
    /// use briarswitch_core::fingerprint::RequestFingerprint;
    ///
    /// let fingerprint = RequestFingerprint::from([1; 16]);
    /// let mut history = CrashHistory::default();
    /// for (name, at) in [("a", 1_000), ("b", 2_000), ("c", 3_000)] {
    ///     let (target, domain) = (name.to_owned(), String::new());
    ///     let target = CrashedTarget { target: &target, incarnation: 0, domain: &domain };
    ///     let ran = Duration::from_millis(50);
    ///     history.record_crash(CrashReport::of(fingerprint, target, at, ran, 0.001));
    /// }
    /// assert!(matches!(history.verdict(&fingerprint, 3_000), CrashVerdict::Quarantined(_)));
    /// ```
    pub fn record_crash(&mut self, end: CrashReport) -> bool {
        let record = self.records.entry(end.fingerprint).or_default();
        let is_news = match record.crashes.get_mut(&end.incarnation) {
            // Two nodes may have seen one end; what is kept must not hang on whose word came first.
            Some(held) => {
                let before = *held;
                held.at = held.at.min(end.at);
                held.chance_permille = held.chance_permille.max(end.chance_permille);
                *held != before
            }
            None => record.crashes.insert(end.incarnation, end).is_none(),
        };
        self.evict_excess();
        is_news
    }

    /// Takes in that a request is not the cause of earlier ends; returns whether that is news.
    ///
    /// ```
    /// use briarswitch_core::crash::{ClearReport, CrashHistory};
    /// use briarswitch_core::fingerprint::RequestFingerprint;
    ///
    /// let clear = ClearReport { fingerprint: RequestFingerprint::from([1; 16]), at: 5 };
    /// let mut history = CrashHistory::default();
    /// assert!(history.record_clear(clear));
    /// assert!(!history.record_clear(clear));
    /// ```
    pub fn record_clear(&mut self, clear: ClearReport) -> bool {
        let record = self.records.entry(clear.fingerprint).or_default();
        if clear.at <= record.cleared {
            return false;
        }
        // Earlier ends are kept: told once more with a later moment, one would pass for a new one.
        record.cleared = clear.at;
        self.evict_excess();
        true
    }

    /// Returns what is held of a request.
    ///
    /// ```
    /// use briarswitch_core::crash::{CrashHistory, CrashVerdict};
    /// use briarswitch_core::fingerprint::RequestFingerprint;
    ///
    /// let verdict = CrashHistory::default().verdict(&RequestFingerprint::from([1; 16]), 5);
    /// assert_eq!(verdict, CrashVerdict::Clear);
    /// ```
    pub fn verdict(&self, print: &RequestFingerprint, now: StoreMillis) -> CrashVerdict {
        let Some(record) = self.records.get(print) else {
            return CrashVerdict::Clear;
        };
        match record.quarantine_remaining(now) {
            Some(left) => CrashVerdict::Quarantined(left),
            None if is_suspect(&record.crashes_at(now)) => CrashVerdict::Suspect,
            None => CrashVerdict::Clear,
        }
    }

    /// Returns the ends of targets that a request was under way at, as far as they count.
    pub fn crashes(&self, print: &RequestFingerprint, now: StoreMillis) -> Vec<CrashReport> {
        let record = self.records.get(print);
        record.map_or_else(Vec::new, |record| record.crashes_at(now))
    }

    /// Returns the last word that a request is not the cause.
    pub fn cleared(&self, print: &RequestFingerprint) -> Option<ClearReport> {
        let record = self.records.get(print)?;
        let at = record.cleared;
        (at > 0).then_some(ClearReport {
            fingerprint: *print,
            at,
        })
    }

    /// Returns the requests that anything is known of.
    pub fn fingerprints(&self) -> impl Iterator<Item = &RequestFingerprint> {
        self.records.keys()
    }

    /// Returns whether any target has ended with the request under way.
    pub fn has_crashes(&self, print: &RequestFingerprint) -> bool {
        let record = self.records.get(print);
        record.is_some_and(|record| record.crashes.values().any(|end| end.at > record.cleared))
    }

    /// Forgets what counts no more.
    pub fn prune(&mut self, now: StoreMillis) {
        self.records.retain(|_, record| {
            record.crashes.retain(|_, end| !is_expired(end.at, now));
            !record.crashes.is_empty() || !is_expired(record.cleared, now)
        });
    }

    /// Drops the request with the fewest ends, of those the one that was added first, where there are too many.
    ///
    /// A caller that sends ever new requests to targets that end would fill the memory otherwise.
    fn evict_excess(&mut self) {
        if self.records.len() <= MAX_REQUESTS {
            return;
        }
        let records = self.records.iter().enumerate();
        let least = records.min_by_key(|(_, (_, record))| record.crashes.len());
        if let Some(index) = least.map(|(index, _)| index) {
            self.records.shift_remove_index(index);
        }
    }
}
