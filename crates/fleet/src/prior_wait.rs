//! Tells requests that come back from those that come for the first time.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use indexmap::IndexMap;

/// Difference to the longest patience below which a request counts as new.
///
/// A caller that tries again has waited for an answer first, which takes tens of milliseconds.
const MIN_PRIOR_WAIT: Duration = Duration::from_millis(40);
/// Part of a rule's callers that have to state the longest patience before less of it means anything.
///
/// Callers that come back do so once, so at least half of all requests are first ones; some of those
/// that state the longest are missed while a new longest one is learnt.
const MIN_LONGEST_SHARE: f64 = 0.4;
/// Weight of the newest request in the part of callers that state the longest patience.
const SHARE_SMOOTHING: f64 = 1.0 / 32.0;

/// Part of the longest patience below which a caller of its own patience counts as one that has waited.
const SHORT_TIMEOUT_FACTOR: f64 = 0.8;
/// Part of a rule's callers from which on short patience means nothing: they are so by themselves.
const MAX_SHORT_SHARE: f64 = 0.4;

/// What the callers of one rule have said they would wait.
#[derive(Clone, Copy, Debug)]
struct RuleTimeouts {
    longest: Duration,
    /// Smoothed part of the callers that stated the longest.
    alike: f64,
    /// Smoothed part of the callers that stated much less than the longest.
    short: f64,
}

impl RuleTimeouts {
    fn note(&mut self, patience: Duration) {
        if patience > self.longest + MIN_PRIOR_WAIT {
            self.alike = 0.0;
        }
        let before = self.longest;
        self.longest = before.max(patience);
        if before < self.shortest() {
            // By this one's measure all the others were short, so it says nothing of them yet.
            self.short = 1.0;
        }
        let is_longest = patience + MIN_PRIOR_WAIT > self.longest;
        let sample = if is_longest { 1.0 } else { 0.0 };
        self.alike += (sample - self.alike) * SHARE_SMOOTHING;
        let sample = if patience < self.shortest() { 1.0 } else { 0.0 };
        self.short += (sample - self.short) * SHARE_SMOOTHING;
    }

    /// Returns the least patience of a caller that comes for the first time.
    fn shortest(&self) -> Duration {
        self.longest.mul_f64(SHORT_TIMEOUT_FACTOR)
    }

    /// Returns the time that a caller who states a patience has waited before, as far as it can be told.
    fn waited(&self, patience: Duration) -> Duration {
        let waited = if self.alike >= MIN_LONGEST_SHARE {
            self.longest.saturating_sub(patience)
        } else if self.short < MAX_SHORT_SHARE {
            self.shortest().saturating_sub(patience)
        } else {
            Duration::ZERO
        };
        if waited < MIN_PRIOR_WAIT {
            Duration::ZERO
        } else {
            waited
        }
    }
}

/// The patience of each rule's callers.
///
/// Where the callers of a rule begin with the same patience, one that comes back says how much of it is
/// left; what is missing is the time it has waited, and its objective is counted from the beginning.
/// Where each states a patience of its own, the difference to the longest says nothing: it would make late
/// callers of most of those that have just come. Only one that states much less than the others can be told to
/// have waited, unless many do.
#[derive(Debug, Default)]
pub struct PriorWaitEstimator {
    rules: Mutex<IndexMap<String, RuleTimeouts>>,
}

impl PriorWaitEstimator {
    /// Returns the time that a caller has waited before, judged by what it says it will wait.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use briarswitch_fleet::prior_wait::PriorWaitEstimator;
    ///
    /// let book = PriorWaitEstimator::default();
    /// let at = Duration::from_millis;
    /// for _ in 0..40 {
    ///     assert_eq!(book.waited("chat", Some(at(5_000))), at(0));
    /// }
    /// assert_eq!(book.waited("chat", Some(at(4_200))), at(800));
    /// ```
    pub fn waited(&self, rule: &str, patience: Option<Duration>) -> Duration {
        let Some(patience) = patience else {
            return Duration::ZERO;
        };
        let mut rules = self.rules.lock().unwrap_or_else(PoisonError::into_inner);
        let held = rules.entry(rule.to_owned()).or_insert(RuleTimeouts {
            longest: patience,
            alike: 0.0,
            short: 0.0,
        });
        held.note(patience);
        held.waited(patience)
    }
}
