//! Estimates how long a retrying caller has already waited, from the time-outs that callers state.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use indexmap::IndexMap;

/// Shortest prior wait that is distinguished from none.
///
/// A caller that retries has waited for a response before, which takes tens of milliseconds.
const MIN_PRIOR_WAIT: Duration = Duration::from_millis(40);
/// Share of a rule's requests that must state the longest time-out before shorter ones are taken for retries.
///
/// Callers retry at most once, so at least half of all requests are first attempts. Some of these are not counted
/// while a new longest time-out is being learnt, so the limit is below one half.
const MIN_LONGEST_SHARE: f64 = 0.4;
/// Weight of the newest request in the smoothed shares.
const SHARE_SMOOTHING: f64 = 1.0 / 32.0;
/// Fraction of the longest time-out below which a time-out counts as short where callers' time-outs vary.
const SHORT_TIMEOUT_FACTOR: f64 = 0.8;
/// Share of short time-outs from which on these are usual for the rule and do not indicate a retry.
const MAX_SHORT_SHARE: f64 = 0.4;

/// Time-outs stated by the callers of one rule.
#[derive(Clone, Copy, Debug)]
struct RuleTimeouts {
    longest: Duration,
    /// Smoothed share of requests that state about the longest time-out.
    longest_share: f64,
    /// Smoothed share of requests that state a short time-out.
    short_share: f64,
}

impl RuleTimeouts {
    fn record(&mut self, timeout: Duration) {
        if timeout > self.longest + MIN_PRIOR_WAIT {
            self.longest_share = 0.0;
        }
        let previous = self.longest;
        self.longest = previous.max(timeout);
        if previous < self.short_limit() {
            // All earlier time-outs are short compared with the new longest one. Until others like it arrive, short
            // ones must not be taken for retries.
            self.short_share = 1.0;
        }
        let is_longest = timeout + MIN_PRIOR_WAIT > self.longest;
        let sample = if is_longest { 1.0 } else { 0.0 };
        self.longest_share += (sample - self.longest_share) * SHARE_SMOOTHING;
        let sample = if timeout < self.short_limit() {
            1.0
        } else {
            0.0
        };
        self.short_share += (sample - self.short_share) * SHARE_SMOOTHING;
    }

    /// Returns the time-out below which a stated one counts as short.
    fn short_limit(&self) -> Duration {
        self.longest.mul_f64(SHORT_TIMEOUT_FACTOR)
    }

    /// Returns the estimated prior wait of a caller that states `timeout`; zero where it cannot be estimated.
    fn prior_wait(&self, timeout: Duration) -> Duration {
        let waited = if self.longest_share >= MIN_LONGEST_SHARE {
            self.longest.saturating_sub(timeout)
        } else if self.short_share < MAX_SHORT_SHARE {
            self.short_limit().saturating_sub(timeout)
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

/// Estimates the prior wait of callers by rule.
///
/// A caller that retries states the remaining part of its original time-out. Where the callers of a rule start with
/// the same time-out, the difference to the longest one is the time that the caller has already waited; its latency
/// objective then counts from the first attempt. Where each caller has a time-out of its own, this difference has no
/// meaning, and most new callers would count as late. Only a caller with a much shorter time-out than the others is
/// then taken to have waited, unless short time-outs are common.
#[derive(Debug, Default)]
pub struct PriorWaitEstimator {
    rules: Mutex<IndexMap<String, RuleTimeouts>>,
}

impl PriorWaitEstimator {
    /// Records the time-out that a caller states and returns the estimated time for which the caller has waited before.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use briarswitch_fleet::prior_wait::PriorWaitEstimator;
    ///
    /// let estimator = PriorWaitEstimator::default();
    /// let ms = Duration::from_millis;
    /// for _ in 0..40 {
    ///     assert_eq!(estimator.estimate("chat", Some(ms(5_000))), ms(0));
    /// }
    /// assert_eq!(estimator.estimate("chat", Some(ms(4_200))), ms(800));
    /// ```
    pub fn estimate(&self, rule: &str, timeout: Option<Duration>) -> Duration {
        let Some(timeout) = timeout else {
            return Duration::ZERO;
        };
        let mut rules = self.rules.lock().unwrap_or_else(PoisonError::into_inner);
        let timeouts = rules.entry(rule.to_owned()).or_insert(RuleTimeouts {
            longest: timeout,
            longest_share: 0.0,
            short_share: 0.0,
        });
        timeouts.record(timeout);
        timeouts.prior_wait(timeout)
    }
}
