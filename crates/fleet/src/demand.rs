//! How many requests a second callers ask of each model.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use briarswitch_core::id::{ModelId, Moment};
use indexmap::IndexMap;

/// Time over which demand is averaged; long enough to smooth bursts of single callers.
const WINDOW: Duration = Duration::from_secs(3);

/// A decaying count of requests by model.
#[derive(Debug, Default)]
pub struct DemandMeter {
    state: Mutex<MeterState>,
}

#[derive(Debug, Default)]
struct MeterState {
    since: Moment,
    counts: IndexMap<ModelId, f64>,
}

impl MeterState {
    fn decay(&mut self, now: Moment) {
        let passed = now.saturating_sub(self.since);
        let factor = (-passed.as_secs_f64() / WINDOW.as_secs_f64()).exp();
        for count in self.counts.values_mut() {
            *count *= factor;
        }
        self.since = now;
    }
}

impl DemandMeter {
    /// Counts one request.
    pub fn count(&self, model: &str, now: Moment) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.decay(now);
        *state.counts.entry(model.to_owned()).or_insert(0.0) += 1.0;
    }

    /// Returns the requests a second of each model.
    pub fn rates(&self, now: Moment) -> IndexMap<ModelId, f64> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.decay(now);
        let rates = state
            .counts
            .iter()
            .map(|(model, count)| (model.clone(), count / WINDOW.as_secs_f64()));
        rates.collect()
    }
}
