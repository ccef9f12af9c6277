//! Durations of past outages of machines, and how long to wait for a machine that is down.

use std::time::Duration;

/// Durations of the outages after which lost machines were reachable again.
#[derive(Clone, Debug, Default)]
pub struct OutageHistory {
    outages: Vec<Duration>,
    next: usize,
}

/// Number of outages kept.
const HISTORY_LENGTH: usize = 256;
/// Minimum number of outages for the history to be used.
const MIN_HISTORY: usize = 16;

impl OutageHistory {
    /// Records that a lost machine was reachable again after `outage`.
    pub fn record(&mut self, outage: Duration) {
        if self.outages.len() < HISTORY_LENGTH {
            self.outages.push(outage);
        } else {
            self.outages[self.next] = outage;
        }
        self.next = (self.next + 1) % HISTORY_LENGTH;
    }

    /// Returns how long to wait for a lost member before a spare is loaded to replace it.
    ///
    /// Each past outage is tried as the limit. The expected downtime is the outage itself for
    /// machines that were reachable again within the limit, and the limit plus the time to load a
    /// spare for the others. The limit with the lowest mean is returned; zero is always a
    /// candidate.
    ///
    /// ```
    /// use briarswitch_core::outage_history::OutageHistory;
    /// use std::time::Duration;
    ///
    /// let mut history = OutageHistory::default();
    /// for _ in 0..20 {
    ///     history.record(Duration::from_secs(30));
    /// }
    /// let delay = history.replacement_delay(Duration::from_secs(120));
    /// assert_eq!(delay, Duration::from_secs(30));
    /// ```
    pub fn replacement_delay(&self, load_time: Duration) -> Duration {
        if self.outages.len() < MIN_HISTORY {
            return Duration::ZERO;
        }
        let mut sorted = self.outages.clone();
        sorted.sort_unstable();
        let count = sorted.len() as f64;
        let load = load_time.as_secs_f64();
        let mut best = (load, Duration::ZERO);
        let mut recovered_sum = 0.0;
        for (index, outage) in sorted.iter().enumerate() {
            recovered_sum += outage.as_secs_f64();
            let missing = count - (index + 1) as f64;
            let mean = (recovered_sum + missing * (outage.as_secs_f64() + load)) / count;
            if mean < best.0 {
                best = (mean, *outage);
            }
        }
        best.1
    }
}
