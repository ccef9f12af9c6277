//! Count of events in which earlier ones weigh less, from which rates are derived.

use std::time::Duration;

use crate::id::Moment;

/// Exponentially decaying count of events.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct DecayingCount {
    count: f64,
    counted_at: Moment,
}

impl DecayingCount {
    /// Adds events; the weight of earlier ones decreases with the time constant.
    pub(crate) fn add(&mut self, events: u32, time_constant: Duration, now: Moment) {
        self.count = self.at(time_constant, now) + f64::from(events);
        self.counted_at = self.counted_at.max(now);
    }

    /// Returns the count at `now`.
    pub(crate) fn at(&self, time_constant: Duration, now: Moment) -> f64 {
        let age = now.saturating_sub(self.counted_at);
        self.count * (-age.div_duration_f64(time_constant)).exp()
    }
}

/// Returns the seconds of events that a count contains after a time of observation, by which it is divided for a rate.
///
/// A new count has only begun to approach its mean value; divided by the whole time constant, it would show a rate that
/// rises under a constant load.
///
/// ```
/// use std::time::Duration;
///
/// use briarswitch_core::decaying_count::counted_seconds;
///
/// let second = Duration::from_secs(1);
/// assert!(counted_seconds(second, second / 10) < 0.1);
/// assert!(counted_seconds(second, second * 20) > 0.999);
/// ```
pub fn counted_seconds(time_constant: Duration, observed: Duration) -> f64 {
    let windows = observed.div_duration_f64(time_constant);
    time_constant.as_secs_f64() * (1.0 - (-windows).exp())
}
