//! How many groups of each model callers would fill.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use briarswitch_core::id::{ModelId, Moment};
use indexmap::IndexMap;

/// Time over which demand is averaged; long enough to smooth bursts of single callers.
const WINDOW: Duration = Duration::from_secs(3);

/// A decaying sum of the requests' work by model.
#[derive(Debug, Default)]
pub struct DemandMeter {
    state: Mutex<MeterState>,
}

#[derive(Debug, Default)]
struct MeterState {
    since: Moment,
    work: IndexMap<ModelId, f64>,
    requests: IndexMap<ModelId, f64>,
}

impl MeterState {
    fn decay(&mut self, now: Moment) {
        let passed = now.saturating_sub(self.since);
        let factor = (-passed.as_secs_f64() / WINDOW.as_secs_f64()).exp();
        for sum in self.work.values_mut().chain(self.requests.values_mut()) {
            *sum *= factor;
        }
        self.since = now;
    }
}

impl DemandMeter {
    /// Counts one request that occupies a whole group for a time.
    pub fn count(&self, model: &str, work: Duration, now: Moment) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.decay(now);
        *state.work.entry(model.to_owned()).or_insert(0.0) += work.as_secs_f64();
        *state.requests.entry(model.to_owned()).or_insert(0.0) += 1.0;
    }

    /// Returns the groups that each model's requests fill.
    pub fn rates(&self, now: Moment) -> IndexMap<ModelId, f64> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.decay(now);
        per_second(&state.work)
    }

    /// Returns the requests in a second by model.
    pub fn arrivals(&self, now: Moment) -> IndexMap<ModelId, f64> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.decay(now);
        per_second(&state.requests)
    }
}

fn per_second(sums: &IndexMap<ModelId, f64>) -> IndexMap<ModelId, f64> {
    let rates = sums
        .iter()
        .map(|(model, sum)| (model.clone(), sum / WINDOW.as_secs_f64()));
    rates.collect()
}
