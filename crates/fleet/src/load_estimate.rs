//! The number of requests at a group, as the coordinator of its queue estimates it.
//!
//! Reports through gossip are 50 to 350 ms old, and by how much is not known. Adding all grants of a fixed time to the
//! reported number, and subtracting all releases, counts many of them twice: of groups with 8 slots and requests of half a
//! second, one request in four was then sent to a group that was full.

use std::collections::VecDeque;
use std::time::Duration;

use briarswitch_core::id::Moment;

/// Greatest age of what gossip reports: a report, a hub and its response, each 0.1 s apart, and their aggregation.
const MAX_REPORT_AGE: Duration = Duration::from_millis(350);
/// Time for which reports must contradict the estimate before it is corrected.
///
/// Reports of different nodes differ in age: a release of one node may be reported before an earlier grant to another.
const CONTRADICTION_TIME: Duration = Duration::from_millis(150);

/// Reports that have contradicted the estimate without interruption.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Contradiction {
    since: Moment,
    /// Difference that all of them have in common.
    least: i64,
}

/// Estimate that follows each grant and release, and that reports correct.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LoadEstimate {
    /// The estimate since each moment; the first was made before the oldest report.
    history: VecDeque<(Moment, i64)>,
    contradiction: Option<Contradiction>,
}

impl LoadEstimate {
    /// Adds a grant (1) or a release (-1).
    pub fn change(&mut self, by: i64, now: Moment) {
        if let Some((_, last)) = self.history.back() {
            let next = last + by;
            self.history.push_back((now, next));
        }
    }

    /// Returns the estimate, given the number that is reported now.
    ///
    /// If the estimate is right, the reported number is about one of those that it had in the last 350 ms. If reports
    /// stay outside their range, the estimate is off by at least the difference.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use briarswitch_fleet::load_estimate::LoadEstimate;
    ///
    /// let at = Duration::from_millis;
    /// let mut estimate = LoadEstimate::default();
    /// assert_eq!(estimate.observe(4, at(1_000)), 4);
    /// estimate.change(1, at(1_010));
    /// // The report does not contain the grant yet, and then it does.
    /// assert_eq!(estimate.observe(4, at(1_100)), 5);
    /// assert_eq!(estimate.observe(5, at(1_200)), 5);
    /// // Two requests have ended of which nobody told this node.
    /// assert_eq!(estimate.observe(3, at(1_500)), 5);
    /// assert_eq!(estimate.observe(3, at(1_650)), 3);
    /// ```
    pub fn observe(&mut self, reported: u32, now: Moment) -> u32 {
        let reported = i64::from(reported);
        if self.history.is_empty() {
            self.history.push_back((now, reported));
        }
        let is_expired = |at: Moment| at + MAX_REPORT_AGE <= now;
        while self.history.get(1).is_some_and(|(at, _)| is_expired(*at)) {
            self.history.pop_front();
        }
        let values = || self.history.iter().map(|(_, value)| *value);
        let lowest = values().min().unwrap_or(reported);
        let highest = values().max().unwrap_or(reported);
        let difference = reported - reported.clamp(lowest, highest);
        let correction = self.lasting(difference, now);
        for (_, value) in &mut self.history {
            *value += correction;
        }
        let last = self.history.back().map_or(reported, |(_, value)| *value);
        u32::try_from(last).unwrap_or(0)
    }

    /// Returns the difference between reports and the estimate's range that has lasted, 0 if none has.
    fn lasting(&mut self, difference: i64, now: Moment) -> i64 {
        let held = self
            .contradiction
            .filter(|held| held.least.signum() == difference.signum());
        if difference == 0 {
            self.contradiction = None;
            return 0;
        }
        let since = held.map_or(now, |held| held.since);
        let least = held.map_or(difference, |held| {
            held.least.abs().min(difference.abs()) * difference.signum()
        });
        if now < since + CONTRADICTION_TIME {
            self.contradiction = Some(Contradiction { since, least });
            return 0;
        }
        self.contradiction = None;
        least
    }
}
