//! Reports of targets that crashed, and of requests and parts of prompts that did not cause it.

use std::time::Duration;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::fingerprint::SuspectFingerprint;
use crate::id::{DomainId, Incarnation, TargetId};

/// Lower bound on the probability counted for one crash; with zero, a single crash would be proof.
const MIN_CHANCE: f64 = 1e-2;
/// Lower bound on the probability counted for one crash and a part of a prompt: a target runs prompts with some fifty
/// parts, and one of them can be the cause.
const MIN_PART_CHANCE: f64 = 2e-2;
/// Upper bound for a part, whose soundness is shown by complete responses rather than by how long it ran.
const MAX_PART_CHANCE: f64 = 0.3;

/// Reading of the store's clock in milliseconds, the same on all nodes.
pub type StoreMillis = u64;

/// Latest time that a report may state; times of the store's clock are far below, and sums with a period stay in range.
pub const MAX_STORE_MILLIS: StoreMillis = 1 << 53;

/// Hash of a target's name and incarnation.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct IncarnationKey(pub u64);

impl IncarnationKey {
    /// Returns the key of one incarnation of a target.
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

/// A crashed target at which a request was running.
#[derive(Clone, Copy, Debug)]
pub struct CrashedTarget<'a> {
    /// Name of the target.
    pub target: &'a TargetId,
    /// Incarnation that crashed.
    pub incarnation: Incarnation,
    /// Domain of the target.
    pub domain: &'a DomainId,
}

/// A crash of a target with a request running there.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct CrashReport {
    /// Fingerprint of the request or part.
    pub fingerprint: SuspectFingerprint,
    /// Incarnation that crashed.
    pub incarnation: IncarnationKey,
    /// Hash of the target's domain.
    pub domain: u64,
    /// When the crash was detected.
    pub at: StoreMillis,
    /// Probability, in thousandths, that the target crashed by coincidence while the request ran.
    pub chance_permille: u16,
}

impl CrashReport {
    /// Returns the report of a crash at which a request had run for `ran`, if each target crashes
    /// `rate` times per second.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use briarswitch_core::crash::{CrashReport, CrashedTarget};
    /// use briarswitch_core::fingerprint::SuspectFingerprint;
    ///
    /// let (target, domain) = ("t".to_owned(), "d".to_owned());
    /// let target = CrashedTarget { target: &target, incarnation: 1, domain: &domain };
    /// let report = |ran| CrashReport::of(SuspectFingerprint::from([1; 16]), target, 5, ran, 0.1);
    /// assert!(report(Duration::from_secs(1)).chance_permille < report(Duration::from_secs(5)).chance_permille);
    /// ```
    pub fn of(
        fingerprint: SuspectFingerprint,
        target: CrashedTarget<'_>,
        at: StoreMillis,
        ran: Duration,
        rate: f64,
    ) -> Self {
        let chance = 1.0 - (-rate * ran.as_secs_f64()).exp();
        Self {
            fingerprint,
            incarnation: IncarnationKey::of(target.target, target.incarnation),
            domain: xxh3_64(target.domain.as_bytes()),
            at,
            chance_permille: (clamp_chance(chance, &fingerprint) * 1000.0).ceil() as u16,
        }
    }

    /// Returns the probability that the target crashed by coincidence.
    pub(crate) fn probability(&self) -> f64 {
        f64::from(self.chance_permille) / 1000.0
    }
}

fn clamp_chance(chance: f64, fingerprint: &SuspectFingerprint) -> f64 {
    if fingerprint.is_part() {
        chance.clamp(MIN_PART_CHANCE, MAX_PART_CHANCE)
    } else {
        chance.clamp(MIN_CHANCE, 1.0)
    }
}

/// Report that a request did not cause earlier crashes.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct ClearReport {
    /// Fingerprint of the request or part.
    pub fingerprint: SuspectFingerprint,
    /// Crashes up to this time do not count.
    pub at: StoreMillis,
}
