//! Tells requests that come back from those that come for the first time.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use indexmap::IndexMap;

/// Difference to the longest patience below which a request counts as new.
///
/// A caller that tries again has waited for an answer first, which takes tens of milliseconds.
const LEAST_WAIT: Duration = Duration::from_millis(40);

/// The longest time that callers of each rule said they would wait.
///
/// Callers of one rule begin with the same patience, and one that comes back says how much is left.
/// What is missing is the time it has waited, and its objective is counted from the beginning.
#[derive(Debug, Default)]
pub struct PatienceBook {
    longest: Mutex<IndexMap<String, Duration>>,
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
    /// assert_eq!(book.waited("chat", Some(at(5_000))), at(0));
    /// assert_eq!(book.waited("chat", Some(at(4_200))), at(800));
    /// ```
    pub fn waited(&self, rule: &str, patience: Option<Duration>) -> Duration {
        let Some(patience) = patience else {
            return Duration::ZERO;
        };
        let mut longest = self.longest.lock().unwrap_or_else(PoisonError::into_inner);
        let held = longest.entry(rule.to_owned()).or_insert(patience);
        *held = patience.max(*held);
        let waited = held.saturating_sub(patience);
        if waited < LEAST_WAIT {
            Duration::ZERO
        } else {
            waited
        }
    }
}
