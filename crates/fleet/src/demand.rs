//! How many groups of each model callers would fill.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use briarswitch_core::id::{ModelId, Moment};
use indexmap::IndexMap;

/// Time over which demand is averaged; long enough to smooth bursts of single callers.
const WINDOW: Duration = Duration::from_secs(3);

/// Least time of callers seen for which rates are told; shorter ones make rates out of single requests.
const MIN_OBSERVED: Duration = Duration::from_millis(500);

/// A decaying sum of the requests' work by model.
#[derive(Debug, Default)]
pub struct DemandMeter {
    state: Mutex<MeterState>,
}

#[derive(Debug, Default)]
struct MeterState {
    updated_at: Moment,
    /// When the first request came.
    first_request: Option<Moment>,
    work: IndexMap<ModelId, f64>,
    requests: IndexMap<ModelId, f64>,
}

impl MeterState {
    fn decay(&mut self, now: Moment) {
        let passed = now.saturating_sub(self.updated_at);
        let factor = (-passed.as_secs_f64() / WINDOW.as_secs_f64()).exp();
        for sum in self.work.values_mut().chain(self.requests.values_mut()) {
            *sum *= factor;
        }
        self.updated_at = now;
    }

    /// Returns sums as rates.
    ///
    /// A meter that has just been opened has seen less than a window. Divided by the whole of it, its rates rise for
    /// many seconds while callers ask for the same all the time.
    fn per_second(&self, sums: &IndexMap<ModelId, f64>, now: Moment) -> IndexMap<ModelId, f64> {
        let first_request = self.first_request.unwrap_or(now);
        let observed = now
            .saturating_sub(first_request)
            .max(MIN_OBSERVED)
            .as_secs_f64();
        let window = WINDOW.as_secs_f64();
        let seconds = window * (1.0 - (-observed / window).exp());
        let rates = sums.iter();
        let rates = rates.map(|(model, sum)| (model.clone(), sum / seconds));
        rates.collect()
    }
}

impl DemandMeter {
    /// Counts one request that occupies a whole group for a time.
    pub fn record(&self, model: &str, work: Duration, now: Moment) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.decay(now);
        state.first_request.get_or_insert(now);
        *state.work.entry(model.to_owned()).or_insert(0.0) += work.as_secs_f64();
        *state.requests.entry(model.to_owned()).or_insert(0.0) += 1.0;
    }

    /// Returns the groups that each model's requests fill.
    pub fn group_demand(&self, now: Moment) -> IndexMap<ModelId, f64> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.decay(now);
        state.per_second(&state.work, now)
    }

    /// Returns the requests in a second by model.
    pub fn request_rates(&self, now: Moment) -> IndexMap<ModelId, f64> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.decay(now);
        state.per_second(&state.requests, now)
    }
}

/// Time over which a trend is taken, about that of a load from the weight store.
const TREND_WINDOW: Duration = Duration::from_secs(10);
/// Time of callers seen from which a trend says something.
const MIN_TREND_OBSERVED: Duration = Duration::from_secs(3);
/// Longest time between two samples; what lies beyond was not seen.
const MAX_TREND_GAP: Duration = Duration::from_secs(1);

/// The mean of what callers asked for over some seconds.
#[derive(Clone, Debug, Default)]
pub struct DemandTrend {
    sampled_at: Moment,
    /// Seconds seen, the older ones for less.
    observed: f64,
    sums: IndexMap<ModelId, f64>,
}

impl DemandTrend {
    /// Takes in what callers ask for now.
    pub fn add_sample(&mut self, rates: &IndexMap<ModelId, f64>, now: Moment) {
        let passed = now.saturating_sub(self.sampled_at);
        let passed_seconds = passed.min(MAX_TREND_GAP).as_secs_f64();
        let factor = (-passed.as_secs_f64() / TREND_WINDOW.as_secs_f64()).exp();
        self.sampled_at = now;
        self.observed = self.observed * factor + passed_seconds;
        for sum in self.sums.values_mut() {
            *sum *= factor;
        }
        for (model, rate) in rates {
            *self.sums.entry(model.clone()).or_insert(0.0) += rate * passed_seconds;
        }
    }

    /// Returns the mean, once callers were seen for long enough.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use briarswitch_fleet::demand::DemandTrend;
    ///
    /// let mut trend = DemandTrend::default();
    /// let rates = [("chat".to_owned(), 2.0)].into();
    /// for second in 100..110 {
    ///     trend.add_sample(&rates, Duration::from_secs(second));
    /// }
    /// let mean = trend.mean().expect("seen for ten seconds");
    /// assert!((mean["chat"] - 2.0).abs() < 1e-9);
    /// ```
    pub fn mean(&self) -> Option<IndexMap<ModelId, f64>> {
        if self.observed < MIN_TREND_OBSERVED.as_secs_f64() {
            return None;
        }
        let means = self.sums.iter();
        Some(
            means
                .map(|(model, sum)| (model.clone(), sum / self.observed))
                .collect(),
        )
    }
}
