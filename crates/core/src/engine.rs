//! Speeds and limits of model engines, as declared by their operator.

use std::time::Duration;

use indexmap::IndexMap;

use crate::id::{ModelId, ZoneId};

/// Longest time that is expected of an engine in seconds, so that sums of such times stay in range.
const MAX_SECONDS: f64 = 1e9;

/// A model that groups of the engine's targets can serve.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ModelSpec {
    /// Name.
    pub id: ModelId,
    /// Number of targets in a group.
    pub group_size: usize,
    /// Expected share of the total work, used until demand has been measured.
    pub expected_share: f64,
    /// Factor on all computation times of its groups; a smaller value means faster.
    pub time_factor: f64,
    /// Time to load the weights from the weight store.
    pub load_time: Duration,
    /// Time to join a group if the host already holds the weights.
    pub warmup: Duration,
}

/// Speeds and limits of one service's engines.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineSpec {
    /// Maximum number of requests that a group runs concurrently.
    pub slots: u32,
    /// Decode steps per pass; a pass produces one event for each active stream.
    pub steps_per_pass: u32,
    /// Duration of a decode step without any request.
    pub step_time: Duration,
    /// Time that each active request adds to a decode step.
    pub step_time_per_request: Duration,
    /// Prompt tokens processed per second.
    pub prefill_tokens_per_second: f64,
    /// Maximum number of prompt tokens processed in one step; zero if the operator does not declare
    /// it.
    pub prefill_tokens_per_step: u64,
    /// Mean number of tokens in a response.
    pub mean_answer_tokens: f64,
    /// Age of the load that a target reports.
    pub report_lag: Duration,
    /// Loads from the weight store that may start per second.
    pub loads_per_second: f64,
    /// Number of concurrent loads above which each load takes longer.
    pub parallel_loads: usize,
    /// Time from the order to open a group until the group serves.
    pub open_time: Duration,
    /// Models by name.
    pub models: IndexMap<ModelId, ModelSpec>,
    /// Delays between zones, where known.
    pub delays: Vec<ZoneDelay>,
}

/// One-way delay between two zones.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ZoneDelay {
    /// One of the zones.
    pub from: ZoneId,
    /// The other zone.
    pub to: ZoneId,
    /// One-way delay.
    pub delay: Duration,
}

impl EngineSpec {
    /// Returns the expected time between two events of a stream with `active_requests` running.
    pub fn pass_time(&self, model: &ModelSpec, active_requests: u32) -> Duration {
        let step = self.step_time + self.step_time_per_request * active_requests;
        bounded(step.as_secs_f64() * f64::from(self.steps_per_pass) * model.time_factor)
    }

    /// Returns the duration of a pass in which every step also processes prompts.
    ///
    /// No pass of a healthy group takes longer, however many prompts are waiting.
    pub fn max_pass_time(&self, model: &ModelSpec, active_requests: u32) -> Duration {
        let tokens = self
            .prefill_tokens_per_step
            .saturating_mul(u64::from(self.steps_per_pass));
        self.pass_time(model, active_requests) + self.prefill_time(model, tokens)
    }

    /// Returns the time for which a request would occupy a whole group if all slots were in use.
    ///
    /// The sum over all requests that arrive in one second is the number of groups needed for the
    /// demand.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use briarswitch_core::engine::{EngineSpec, ModelSpec};
    ///
    /// let model = ModelSpec { group_size: 4, time_factor: 1.0, ..ModelSpec::default() };
    /// let engine = EngineSpec {
    ///     slots: 10,
    ///     step_time: Duration::from_millis(5),
    ///     prefill_tokens_per_second: 1000.0,
    ///     ..EngineSpec::default()
    /// };
    /// assert_eq!(engine.occupancy_time(&model, 100, 20), Duration::from_millis(110));
    /// ```
    pub fn occupancy_time(
        &self,
        model: &ModelSpec,
        prompt_tokens: u64,
        response_tokens: u64,
    ) -> Duration {
        let slots = self.slots.max(1);
        let step = self.step_time + self.step_time_per_request * slots;
        let steps = response_tokens as f64 * model.time_factor / f64::from(slots);
        self.prefill_time(model, prompt_tokens) + bounded(step.as_secs_f64() * steps)
    }

    /// Returns the one-way delay between two zones; zero if none is known.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use briarswitch_core::engine::{EngineSpec, ZoneDelay};
    ///
    /// let delay = Duration::from_millis(2);
    /// let delays = vec![ZoneDelay { from: "a".to_owned(), to: "b".to_owned(), delay }];
    /// let engine = EngineSpec { delays, ..EngineSpec::default() };
    /// assert_eq!(engine.delay_between("b", "a"), delay);
    /// assert_eq!(engine.delay_between("a", "a"), Duration::ZERO);
    /// ```
    pub fn delay_between(&self, zone: &str, other: &str) -> Duration {
        let connects = |delay: &&ZoneDelay| {
            (delay.from == zone && delay.to == other) || (delay.to == zone && delay.from == other)
        };
        let delay = self.delays.iter().find(connects);
        delay.map_or(Duration::ZERO, |delay| delay.delay)
    }

    /// Returns the time to process a prompt of `tokens` tokens on an otherwise idle group.
    pub fn prefill_time(&self, model: &ModelSpec, tokens: u64) -> Duration {
        let seconds = tokens as f64 / self.prefill_tokens_per_second.max(1.0) * model.time_factor;
        bounded(seconds)
    }
}

/// Converts seconds; a value out of range counts as the nearest in range, one that is no number as zero.
fn bounded(seconds: f64) -> Duration {
    if seconds.is_nan() {
        return Duration::ZERO;
    }
    Duration::from_secs_f64(seconds.clamp(0.0, MAX_SECONDS))
}
