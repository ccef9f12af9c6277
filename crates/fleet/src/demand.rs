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
}

impl MeterState {
    fn decay(&mut self, now: Moment) {
        let passed = now.saturating_sub(self.since);
        let factor = (-passed.as_secs_f64() / WINDOW.as_secs_f64()).exp();
        for work in self.work.values_mut() {
            *work *= factor;
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
    }

    /// Returns the groups that each model's requests fill.
    pub fn rates(&self, now: Moment) -> IndexMap<ModelId, f64> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.decay(now);
        let rates = state
            .work
            .iter()
            .map(|(model, work)| (model.clone(), work / WINDOW.as_secs_f64()));
        rates.collect()
    }
}
