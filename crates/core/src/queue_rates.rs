//! Smoothed rates of events, by which a shared queue forecasts waits.

use std::time::Duration;

use indexmap::IndexMap;

use crate::id::Moment;
use crate::shared_queue::GroupKey;
use crate::waiting::RequestClass;

/// Time over which rates are averaged; at 10 events per second the error is a fifth.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(2);
/// Time for which events must have been observed before their rate is known; half the longest time in a slot.
const WARMUP_TIME: Duration = Duration::from_secs(1);

/// Count of events in which earlier ones weigh less.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct DecayingCount {
    count: f64,
    counted_at: Moment,
}

impl DecayingCount {
    fn add(&mut self, events: u32, now: Moment) {
        self.count = self.at(now) + f64::from(events);
        self.counted_at = now;
    }

    fn at(&self, now: Moment) -> f64 {
        let age = now.saturating_sub(self.counted_at);
        self.count * (-age.div_duration_f64(RATE_TIME_CONSTANT)).exp()
    }
}

/// Rates at which requests arrive and slots become free.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct QueueRates {
    observed_since: Option<Moment>,
    arrivals: IndexMap<RequestClass, DecayingCount>,
    releases: IndexMap<GroupKey, DecayingCount>,
}

impl QueueRates {
    /// Records requests of a class that have arrived.
    pub(crate) fn record_arrival(&mut self, class: RequestClass, now: Moment) {
        self.observed_since.get_or_insert(now);
        self.arrivals.entry(class).or_default().add(1, now);
    }

    /// Records slots of a group that have become free.
    pub(crate) fn record_releases(&mut self, group: GroupKey, slots: u32, now: Moment) {
        self.observed_since.get_or_insert(now);
        self.releases.entry(group).or_default().add(slots, now);
    }

    /// Returns arrivals per second of the classes that satisfy a condition.
    pub(crate) fn arrival_rate(&self, now: Moment, counts: impl Fn(&RequestClass) -> bool) -> f64 {
        let counted = self.arrivals.iter().filter(|(class, _)| counts(class));
        counted.map(|(_, count)| count.at(now)).sum::<f64>() * self.scale(now)
    }

    /// Returns slots of a group that become free per second; zero while that is not known.
    pub(crate) fn release_rate(&self, group: GroupKey, now: Moment) -> f64 {
        let count = self.releases.get(&group).map_or(0.0, |count| count.at(now));
        count * self.scale(now)
    }

    /// Returns the rate that corresponds to a count of one, in events per second.
    ///
    /// The count has only begun to approach its mean value shortly after the first observation.
    fn scale(&self, now: Moment) -> f64 {
        let since = self.observed_since.unwrap_or(now);
        let observed = now.saturating_sub(since);
        if observed < WARMUP_TIME {
            return 0.0;
        }
        let covered = 1.0 - (-observed.div_duration_f64(RATE_TIME_CONSTANT)).exp();
        1.0 / (RATE_TIME_CONSTANT.as_secs_f64() * covered)
    }
}
