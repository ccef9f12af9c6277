//! Rates at which requests arrive for the slots of a model and at which these become free, from observations.

use std::time::Duration;

use indexmap::IndexMap;

use crate::decaying_count::{counted_seconds, DecayingCount};
use crate::forecast::{refusal, Refusal, SlotOutlook};
use crate::id::Moment;
use crate::waiting::{RequestClass, WaitingRequest};

/// Time constants of the arrival rates, the short one first; the lower of the two rates is used.
///
/// The short one lets the end of a burst show before late requests, which are kept for 0.75 s to 1.5 s, are refused
/// needlessly. The long one limits the effect of chance.
const ARRIVAL_WINDOWS: [Duration; 2] = [Duration::from_millis(250), Duration::from_secs(1)];
/// Arrivals that the shorter time constant has to contain before its rate is used.
const MIN_WINDOW_ARRIVALS: f64 = 4.0;
/// Observation time that arrival rates assume at least, so that the first few requests do not give extreme rates.
const MIN_RATE_PERIOD: Duration = Duration::from_millis(500);
/// Number of samples over which the holding time is smoothed; chance then changes it by a twentieth.
const HOLDING_SAMPLES: u32 = 32;
/// Number of samples of the holding time before there are forecasts, so that a single short request is not one.
const MIN_HOLDING_SAMPLES: u32 = 5;
/// Standard deviations subtracted from the arrival rate before a late request is judged, so that chance does not refuse
/// it in one of many rounds.
const LATE_DEVIATIONS: f64 = 2.0;
/// The same for a request on time; larger, since it may take a slot in any lull.
const ON_TIME_DEVIATIONS: f64 = 4.0;
/// Part by which the rate at which slots become free may be higher than estimated: two standard deviations.
const RELEASE_MARGIN: f64 = 0.1;

/// Arrivals of one class, by time constant.
type ArrivalCounts = [DecayingCount; ARRIVAL_WINDOWS.len()];

/// Slots that waiting requests can get.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlotSupply {
    /// Slots that are free now.
    pub free_slots: u32,
    /// Slots that are in use; a fraction if they are shared with others.
    pub used_slots: f64,
    /// Slots that have to become free before late requests get any.
    pub late_surplus: u32,
}

/// Smoothed rates of the requests for the slots of one model.
#[derive(Clone, Debug, Default)]
pub struct SlotRates {
    arrivals: IndexMap<RequestClass, ArrivalCounts>,
    first_arrival: Option<Moment>,
    holding_time: Duration,
    holding_samples: u32,
}

impl SlotRates {
    /// Counts a request that arrives, whether it waits or not.
    pub fn record_arrival(&mut self, request: &WaitingRequest, now: Moment) {
        self.first_arrival.get_or_insert(now);
        let class = request.class(now);
        let counts = self.arrivals.entry(class).or_default();
        for (count, window) in counts.iter_mut().zip(ARRIVAL_WINDOWS) {
            count.add(1, window, now);
        }
    }

    /// Records the time for which a request has held a slot.
    pub fn record_holding(&mut self, held: Duration) {
        self.holding_samples = (self.holding_samples + 1).min(HOLDING_SAMPLES);
        let weight = f64::from(self.holding_samples).recip();
        self.holding_time = self.holding_time.mul_f64(1.0 - weight) + held.mul_f64(weight);
    }

    /// Returns the slots per second that become free while so many are in use; zero if nothing is known yet.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use briarswitch_core::slot_rates::SlotRates;
    ///
    /// let mut rates = SlotRates::default();
    /// assert_eq!(rates.release_rate(8.0), 0.0);
    /// (0..5).for_each(|_| rates.record_holding(Duration::from_millis(500)));
    /// assert_eq!(rates.release_rate(8.0), 16.0);
    /// ```
    pub fn release_rate(&self, used_slots: f64) -> f64 {
        if self.holding_samples < MIN_HOLDING_SAMPLES || self.holding_time.is_zero() {
            return 0.0;
        }
        used_slots / self.holding_time.as_secs_f64()
    }

    /// Returns what can at best be expected of the slots for a request with `ahead` waiting requests before it.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use briarswitch_core::slot_rates::{SlotRates, SlotSupply};
    /// use briarswitch_core::waiting::{WaitParams, WaitingRequest};
    ///
    /// let ms = Duration::from_millis;
    /// let request = |arrived| {
    ///     WaitingRequest::new(WaitParams { arrived, objective: ms(300), ..WaitParams::default() })
    /// };
    /// let mut rates = SlotRates::default();
    /// (0..5).for_each(|_| rates.record_holding(ms(500)));
    /// (0..300).map(|index| ms(10 * index)).for_each(|at| rates.record_arrival(&request(at), at));
    /// let supply = SlotSupply { used_slots: 20.0, ..SlotSupply::default() };
    /// // All of them are on time when they arrive, and go before an earlier one that is late.
    /// let outlook = rates.outlook(&request(ms(2_600)), 3, supply, ms(3_000));
    /// assert!((40.0..45.0).contains(&outlook.release_rate));
    /// assert!((80.0..100.0).contains(&outlook.preceding_rate));
    /// ```
    pub fn outlook(
        &self,
        request: &WaitingRequest,
        ahead: usize,
        supply: SlotSupply,
        now: Moment,
    ) -> SlotOutlook {
        let surplus = if request.is_late(now) {
            supply.late_surplus as usize
        } else {
            0
        };
        SlotOutlook {
            ahead: ahead + surplus,
            preceding_rate: self.preceding_rate(request, now),
            free_slots: supply.free_slots,
            release_rate: self.release_rate(supply.used_slots) * (1.0 + RELEASE_MARGIN),
        }
    }

    /// Returns the expected wait of a request, given the others that wait; `None` if nothing is known yet or no slot can
    /// be expected.
    pub fn expected_wait(
        &self,
        request: &WaitingRequest,
        others: &[WaitingRequest],
        supply: SlotSupply,
        now: Moment,
    ) -> Option<Duration> {
        let sort_key = request.sort_key(now);
        let ahead = others
            .iter()
            .filter(|other| other.sort_key(now) < sort_key)
            .count();
        let outlook = self.outlook(request, ahead, supply, now);
        outlook
            .expected_wait()
            .filter(|_| outlook.release_rate > 0.0)
    }

    /// Returns the waiting requests that are to be refused now, by their index.
    ///
    /// Those that are refused are not ahead of others any more.
    pub fn refusals(
        &self,
        waiting: &[WaitingRequest],
        supply: SlotSupply,
        now: Moment,
    ) -> Vec<(usize, Refusal)> {
        let mut order: Vec<usize> = (0..waiting.len()).collect();
        order.sort_by_key(|index| waiting[*index].sort_key(now));
        let mut refusals = Vec::new();
        for (position, index) in order.into_iter().enumerate() {
            let request = &waiting[index];
            let ahead = position - refusals.len();
            let outlook = self.outlook(request, ahead, supply, now);
            refusals.extend(refusal(request, &outlook, now).map(|refusal| (index, refusal)));
        }
        refusals
    }

    /// Returns the requests per second of the classes that are served before that of a request.
    fn preceding_rate(&self, request: &WaitingRequest, now: Moment) -> f64 {
        let class = request.class(now);
        let [short, long] = [0, 1].map(|window| self.rate_before(class, window, now));
        let is_short_known = long * ARRIVAL_WINDOWS[0].as_secs_f64() >= MIN_WINDOW_ARRIVALS;
        let rate = if is_short_known {
            short.min(long)
        } else {
            long
        };
        let deviations = if request.is_late(now) {
            LATE_DEVIATIONS
        } else {
            ON_TIME_DEVIATIONS
        };
        // Variance of the exponentially weighted mean of a Poisson process.
        let deviation = (rate / (2.0 * ARRIVAL_WINDOWS[1].as_secs_f64())).sqrt();
        (rate - deviations * deviation).max(0.0)
    }

    /// Returns the requests per second of the classes before a class, with one of the time constants.
    fn rate_before(&self, class: RequestClass, window: usize, now: Moment) -> f64 {
        let length = ARRIVAL_WINDOWS[window];
        let preceding = self.arrivals.iter().filter(|(other, _)| **other < class);
        let counts = preceding.map(|(_, counts)| counts[window].at(length, now));
        let observed = now.saturating_sub(self.first_arrival.unwrap_or(now));
        counts.sum::<f64>() / counted_seconds(length, observed.max(MIN_RATE_PERIOD))
    }
}
