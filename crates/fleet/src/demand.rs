//! Measures the demand for each model in groups: how many groups the callers' requests would fill.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use briarswitch_core::decaying_count::counted_seconds;
use briarswitch_core::id::{ModelId, Moment};
use indexmap::IndexMap;

/// Time constant of the moving average; long enough to smooth the bursts of single callers.
const WINDOW: Duration = Duration::from_secs(3);

/// Minimum observation time that rates assume, so that the first few requests do not give extreme rates.
const MIN_OBSERVED: Duration = Duration::from_millis(500);

/// Moving sums of the requests by model.
#[derive(Debug)]
pub struct DemandMeter {
    window: Duration,
    state: Mutex<MeterState>,
}

impl Default for DemandMeter {
    fn default() -> Self {
        Self::with_window(WINDOW)
    }
}

#[derive(Debug, Default)]
struct MeterState {
    updated_at: Moment,
    /// When the first request arrived.
    first_request: Option<Moment>,
    work: IndexMap<ModelId, f64>,
    requests: IndexMap<ModelId, f64>,
}

impl MeterState {
    fn decay(&mut self, window: Duration, now: Moment) {
        let passed = now.saturating_sub(self.updated_at);
        let factor = (-passed.as_secs_f64() / window.as_secs_f64()).exp();
        for sum in self.work.values_mut().chain(self.requests.values_mut()) {
            *sum *= factor;
        }
        self.updated_at = now;
    }

    /// Returns the time in seconds by which a decayed sum is divided to get a rate.
    fn counted_seconds(&self, window: Duration, now: Moment) -> f64 {
        let first_request = self.first_request.unwrap_or(now);
        let observed = now.saturating_sub(first_request).max(MIN_OBSERVED);
        counted_seconds(window, observed)
    }

    /// Converts decayed sums to rates.
    fn per_second(
        &self,
        sums: &IndexMap<ModelId, f64>,
        window: Duration,
        now: Moment,
    ) -> IndexMap<ModelId, f64> {
        let seconds = self.counted_seconds(window, now);
        let rates = sums.iter();
        let rates = rates.map(|(model, sum)| (model.clone(), sum / seconds));
        rates.collect()
    }
}

impl DemandMeter {
    /// Creates a meter with another time constant than the usual one.
    pub(crate) fn with_window(window: Duration) -> Self {
        Self {
            window,
            state: Mutex::default(),
        }
    }

    /// Counts one request that would occupy a whole group for the given time.
    pub fn record(&self, model: &str, work: Duration, now: Moment) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.decay(self.window, now);
        state.first_request.get_or_insert(now);
        *state.work.entry(model.to_owned()).or_insert(0.0) += work.as_secs_f64();
        *state.requests.entry(model.to_owned()).or_insert(0.0) += 1.0;
    }

    /// Returns the demand for each model, in groups.
    pub fn group_demand(&self, now: Moment) -> IndexMap<ModelId, f64> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.decay(self.window, now);
        state.per_second(&state.work, self.window, now)
    }

    /// Returns the requests per second by model.
    pub fn request_rates(&self, now: Moment) -> IndexMap<ModelId, f64> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.decay(self.window, now);
        state.per_second(&state.requests, self.window, now)
    }

    /// Returns the requests per second for one model.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use briarswitch_fleet::demand::DemandMeter;
    ///
    /// let meter = DemandMeter::default();
    /// let now = Duration::from_secs(10);
    /// meter.record("chat", Duration::ZERO, now);
    /// assert_eq!(meter.request_rate("chat", now), meter.request_rates(now)["chat"]);
    /// assert_eq!(meter.request_rate("other", now), 0.0);
    /// ```
    pub fn request_rate(&self, model: &str, now: Moment) -> f64 {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.decay(self.window, now);
        let sum = state.requests.get(model).copied().unwrap_or_default();
        sum / state.counted_seconds(self.window, now)
    }
}

/// Time constant of the trend; about as long as a load from the weight store takes.
const TREND_WINDOW: Duration = Duration::from_secs(10);
/// Minimum observation time before a trend is available.
const MIN_TREND_OBSERVED: Duration = Duration::from_secs(3);
/// Maximum time that counts as observed between two samples.
const MAX_TREND_GAP: Duration = Duration::from_secs(1);

/// Weighted mean of the demand over the last seconds.
#[derive(Clone, Debug, Default)]
pub struct DemandTrend {
    sampled_at: Moment,
    /// Weighted observation time in seconds; older time has less weight.
    observed: f64,
    sums: IndexMap<ModelId, f64>,
}

impl DemandTrend {
    /// Adds a sample of the current demand.
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

    /// Returns the mean; `None` if the observation time is too short.
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
    /// let mean = trend.mean().expect("observed for ten seconds");
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
