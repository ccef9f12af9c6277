//! What simulations of crashing targets have in common: their clock, the faults, and the rate as nodes observe it.

use std::time::Duration;

use briarswitch_core::crash::{CrashRate, StoreMillis};
use rand::rngs::StdRng;
use rand::Rng;

/// Seconds of one step.
pub const STEP_S: f64 = 0.01;
/// Seconds that a simulation covers.
pub const LENGTH_S: f64 = 40.0;
/// Seconds until a crashed target has restarted.
pub const RESTART_S: f64 = 2.0;
/// When all targets lose power, in seconds.
pub const POWER_LOSSES: [f64; 3] = [10.0, 14.0, 18.0];
/// Seconds until the directory drops a crashed target.
const DIRECTORY_LAG_S: f64 = 4.0;

/// Returns a time in seconds by the store's clock.
pub fn millis(seconds: f64) -> StoreMillis {
    (seconds * 1000.0) as StoreMillis + 1
}

/// Returns whether the step at `now` is the one at `at`.
pub fn is_at(at: f64, now: f64) -> bool {
    now >= at && now < at + STEP_S
}

/// Draws whether a target that crashes so many times during a simulation crashes in this step.
pub fn draw_crash(rng: &mut StdRng, times: f64) -> bool {
    rng.random_bool(times / LENGTH_S * STEP_S)
}

/// Crash rate of the targets, which nodes know from the directory.
#[derive(Default)]
pub struct ObservedRate {
    rate: CrashRate,
    /// Times at which the directory drops crashed targets.
    drop_times: Vec<f64>,
}

impl ObservedRate {
    /// Records that a target crashes now.
    pub fn record_crash(&mut self, now: f64) {
        self.drop_times.push(now + DIRECTORY_LAG_S);
    }

    /// Samples what the directory says.
    pub fn sample(&mut self, targets: usize, now: f64) {
        let dropped = self.drop_times.iter().filter(|at| **at <= now).count();
        let now = Duration::from_secs_f64(now);
        self.rate.record(dropped as u64, targets, now);
    }

    /// Returns the crashes per target and second.
    pub fn per_second(&self) -> f64 {
        self.rate.per_second()
    }
}
