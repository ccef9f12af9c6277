//! Tells requests that come back from those that come for the first time.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use indexmap::IndexMap;

/// Difference to the longest patience below which a request counts as new.
///
/// A caller that tries again has waited for an answer first, which takes tens of milliseconds.
const LEAST_WAIT: Duration = Duration::from_millis(40);
/// Part of a rule's callers that have to state the longest patience before less of it means anything.
///
/// Callers that come back do so once, so at least half of all requests are first ones; some of those
/// that state the longest are missed while a new longest one is learnt.
const ALIKE_SHARE: f64 = 0.4;
/// Weight of the newest request in the part of callers that state the longest patience.
const ALIKE_SMOOTHING: f64 = 1.0 / 32.0;

/// What the callers of one rule have said they would wait.
#[derive(Clone, Copy, Debug)]
struct RulePatience {
    longest: Duration,
    /// Smoothed part of the callers that stated the longest.
    alike: f64,
}

impl RulePatience {
    fn note(&mut self, patience: Duration) {
        if patience > self.longest + LEAST_WAIT {
            self.alike = 0.0;
        }
        self.longest = self.longest.max(patience);
        let is_longest = patience + LEAST_WAIT > self.longest;
        let sample = if is_longest { 1.0 } else { 0.0 };
        self.alike += (sample - self.alike) * ALIKE_SMOOTHING;
    }
}

/// The patience of each rule's callers.
///
/// Where the callers of a rule begin with the same patience, one that comes back says how much of it is
/// left; what is missing is the time it has waited, and its objective is counted from the beginning.
/// Where each states a patience of its own, nothing can be told. Taken for the time waited all the same,
/// the difference to the longest made late callers of two thirds of those that had just come: they were
/// queued behind places that stood free, and half of a model's callers got their first event after 1.2 s
/// instead of 0.4 s.
#[derive(Debug, Default)]
pub struct PatienceBook {
    rules: Mutex<IndexMap<String, RulePatience>>,
}

impl PatienceBook {
    /// Returns the time that a caller has waited before, judged by what it says it will wait.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use briarswitch_fleet::patience::PatienceBook;
    ///
    /// let book = PatienceBook::default();
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
        let held = rules.entry(rule.to_owned()).or_insert(RulePatience {
            longest: patience,
            alike: 0.0,
        });
        held.note(patience);
        let waited = held.longest.saturating_sub(patience);
        if waited < LEAST_WAIT || held.alike < ALIKE_SHARE {
            Duration::ZERO
        } else {
            waited
        }
    }
}
