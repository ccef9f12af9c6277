//! How long lost machines stay away, and how long to wait for one.

use std::time::Duration;

/// How long lost machines took to come back, and whether they did.
#[derive(Clone, Debug, Default)]
pub struct OutageHistory {
    outages: Vec<Duration>,
    next: usize,
}

/// Absences remembered.
const HISTORY_LENGTH: usize = 256;
/// Absences needed before the history is believed.
const MIN_HISTORY: usize = 16;

impl OutageHistory {
    /// Records that a lost machine came back after `delay`.
    pub fn record(&mut self, delay: Duration) {
        if self.outages.len() < HISTORY_LENGTH {
            self.outages.push(delay);
        } else {
            self.outages[self.next] = delay;
        }
        self.next = (self.next + 1) % HISTORY_LENGTH;
    }

    /// Returns how long to await a lost member before a spare is loaded in its place.
    ///
    /// For each past absence taken as the limit, the mean outage is the absence itself where the
    /// machine was back in time, else the limit plus the time to load a spare; the limit with the
    /// least mean wins, and zero is always a candidate.
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
        let mut sum_back = 0.0;
        for (index, delay) in sorted.iter().enumerate() {
            sum_back += delay.as_secs_f64();
            let missing = count - (index + 1) as f64;
            let mean = (sum_back + missing * (delay.as_secs_f64() + load)) / count;
            if mean < best.0 {
                best = (mean, *delay);
            }
        }
        best.1
    }
}
