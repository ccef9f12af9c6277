//! Smoothed rates of events, by which a shared queue forecasts waits.

use std::time::Duration;

use indexmap::IndexMap;

use crate::decaying_count::{counted_seconds, DecayingCount};
use crate::id::Moment;
use crate::queued_request::GroupKey;
use crate::waiting::RequestClass;

/// Time over which rates are averaged; at 10 events per second the error is a fifth.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(2);
/// Time for which events must have been observed before their rate is known; half the longest time in a slot.
const WARMUP_TIME: Duration = Duration::from_secs(1);

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
        self.arrivals
            .entry(class)
            .or_default()
            .add(1, RATE_TIME_CONSTANT, now);
    }

    /// Records slots of a group that have become free.
    pub(crate) fn record_releases(&mut self, group: GroupKey, slots: u32, now: Moment) {
        self.observed_since.get_or_insert(now);
        self.releases
            .entry(group)
            .or_default()
            .add(slots, RATE_TIME_CONSTANT, now);
    }

    /// Returns arrivals per second of the classes that satisfy a condition.
    pub(crate) fn arrival_rate(&self, now: Moment, counts: impl Fn(&RequestClass) -> bool) -> f64 {
        let counted = self.arrivals.iter().filter(|(class, _)| counts(class));
        counted
            .map(|(_, count)| count.at(RATE_TIME_CONSTANT, now))
            .sum::<f64>()
            * self.scale(now)
    }

    /// Returns slots of a group that become free per second; zero while that is not known.
    pub(crate) fn release_rate(&self, group: GroupKey, now: Moment) -> f64 {
        let count = self
            .releases
            .get(&group)
            .map_or(0.0, |count| count.at(RATE_TIME_CONSTANT, now));
        count * self.scale(now)
    }

    /// Returns the rate that corresponds to a count of one, in events per second.
    fn scale(&self, now: Moment) -> f64 {
        let since = self.observed_since.unwrap_or(now);
        let observed = now.saturating_sub(since);
        if observed < WARMUP_TIME {
            return 0.0;
        }
        1.0 / counted_seconds(RATE_TIME_CONSTANT, observed)
    }
}
