//! Measures the short-term need for each model: the requests of the last second, and those that wait.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use briarswitch_core::id::{ModelId, Moment};
use indexmap::IndexMap;

use crate::demand::DemandMeter;

/// Time constant of the recent demand; a burst has to be noticed well within the 2 s in which slots must grow.
const RECENT_WINDOW: Duration = Duration::from_secs(1);

/// Recent demand and waiting requests by model.
#[derive(Debug)]
pub struct NeedMeter {
    recent: DemandMeter,
    waiting: Mutex<IndexMap<ModelId, u32>>,
}

impl Default for NeedMeter {
    fn default() -> Self {
        Self {
            recent: DemandMeter::with_window(RECENT_WINDOW),
            waiting: Mutex::default(),
        }
    }
}

/// Counts a request as waiting until it is dropped.
#[derive(Debug)]
pub struct WaitingGuard<'a> {
    meter: &'a NeedMeter,
    model: Option<ModelId>,
}

impl NeedMeter {
    /// Counts one request that would occupy a whole group for the given time.
    pub fn record(&self, model: &str, work: Duration, now: Moment) {
        self.recent.record(model, work, now);
    }

    /// Counts a request as waiting for a slot as long as the guard exists; one without a model does not count.
    ///
    /// ```
    /// use briarswitch_fleet::need::NeedMeter;
    ///
    /// let meter = NeedMeter::default();
    /// let model = "chat".to_owned();
    /// let guard = meter.wait(Some(&model));
    /// assert_eq!(meter.waiting()["chat"], 1);
    /// drop(guard);
    /// assert!(meter.waiting().is_empty());
    /// ```
    pub fn wait(&self, model: Option<&ModelId>) -> WaitingGuard<'_> {
        if let Some(model) = model {
            *self.lock().entry(model.clone()).or_insert(0) += 1;
        }
        WaitingGuard {
            meter: self,
            model: model.cloned(),
        }
    }

    /// Returns the waiting requests by model, without models that have none.
    pub fn waiting(&self) -> IndexMap<ModelId, u32> {
        self.lock().clone()
    }

    /// Returns the demand of about the last second by model, in groups.
    pub fn recent_demand(&self, now: Moment) -> IndexMap<ModelId, f64> {
        self.recent.group_demand(now)
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<ModelId, u32>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        let Some(model) = &self.model else {
            return;
        };
        let mut waiting = self.meter.lock();
        if let Some(count) = waiting.get_mut(model) {
            *count -= 1;
            if *count == 0 {
                waiting.swap_remove(model);
            }
        }
    }
}
