//! How fast a model engine works, as its operator declares it.

use std::time::Duration;

use indexmap::IndexMap;

use crate::id::{ModelId, ZoneId};

/// One model that an engine's targets can be joined to serve.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ModelSpec {
    /// Name.
    pub id: ModelId,
    /// Targets in one group.
    pub group_size: usize,
    /// Share of the work that was expected of it; a guess until demand is seen.
    pub expected_share: f64,
    /// Factor on all times of its groups; less is faster.
    pub time_factor: f64,
    /// Time to load the weights from the weight store.
    pub load_time: Duration,
    /// Time to join when the weights are on the host.
    pub warmup: Duration,
}

/// Speeds and limits of one service's engines.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineSpec {
    /// Requests a group works on at once.
    pub slots: u32,
    /// Token steps in one pass.
    pub steps_per_pass: u32,
    /// Time of a token step without any request.
    pub step_time: Duration,
    /// Time that each writing request adds to a step.
    pub step_time_per_request: Duration,
    /// Prompt tokens read in a second.
    pub prefill_tokens_per_second: f64,
    /// Most prompt tokens read in one step; zero if the operator does not say.
    pub prefill_tokens_per_step: u64,
    /// Mean tokens of an answer.
    pub mean_answer_tokens: f64,
    /// Age of what a target reports about its load.
    pub report_lag: Duration,
    /// Loads from the weight store that may begin in a second.
    pub loads_per_second: f64,
    /// Loads beyond which each takes longer.
    pub parallel_loads: usize,
    /// Time from an order to open until the group serves.
    pub open_time: Duration,
    /// Models by name.
    pub models: IndexMap<ModelId, ModelSpec>,
    /// Delay between two zones, where it is known.
    pub delays: Vec<ZoneDelay>,
}

/// One-way delay between two zones.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ZoneDelay {
    /// One zone.
    pub from: ZoneId,
    /// The other.
    pub to: ZoneId,
    /// One-way delay.
    pub delay: Duration,
}

impl EngineSpec {
    /// Returns the expected time from one event of a stream to the next with `writers` at work.
    pub fn pass_time(&self, model: &ModelSpec, writers: u32) -> Duration {
        let step = self.step_time + self.step_time_per_request * writers;
        step.mul_f64(f64::from(self.steps_per_pass) * model.time_factor)
    }

    /// Returns the time from one event to the next while prompts are read in every step of a pass.
    ///
    /// No pass of a sound group takes longer, however many prompts wait there.
    pub fn max_pass_time(&self, model: &ModelSpec, writers: u32) -> Duration {
        let tokens = self.prefill_tokens_per_step * u64::from(self.steps_per_pass);
        self.pass_time(model, writers) + self.prefill_time(model, tokens)
    }

    /// Returns the time for which a request occupies a whole group that has every slot taken.
    ///
    /// The sum over a second's requests is the number of groups that the demand fills.
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
    pub fn occupancy_time(&self, model: &ModelSpec, prompt: u64, answer: u64) -> Duration {
        let slots = self.slots.max(1);
        let step = self.step_time + self.step_time_per_request * slots;
        let write = step.mul_f64(answer as f64 * model.time_factor / f64::from(slots));
        self.prefill_time(model, prompt) + write
    }

    /// Returns the time to read a prompt of `tokens` with nothing else to do.
    pub fn prefill_time(&self, model: &ModelSpec, tokens: u64) -> Duration {
        let seconds = tokens as f64 / self.prefill_tokens_per_second.max(1.0) * model.time_factor;
        Duration::from_secs_f64(seconds)
    }
}
