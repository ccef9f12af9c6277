//! How long a group at work may be silent before it counts as having lost a member.
//!
//! Every running stream of a group yields an event in each pass, so silence of all of them for several
//! passes is seen long before the engine gives up.

use std::time::Duration;

use crate::engine::{EngineSpec, ModelSpec};

/// Passes without any event after which a group counts as silent.
const SILENT_PASSES: f64 = 4.0;
/// Least silence of a group that means anything; below it the network's delays show.
const MIN_SILENCE: Duration = Duration::from_millis(180);
/// Factor on the longest of the last intervals between events.
const INTERVAL_FACTOR: f64 = 1.5;
/// Factor on the longest pass that a sound group can have.
const MAX_PASS_FACTOR: f64 = 1.15;
/// Longest interval that counts as usual; a group that stalled must not teach patience.
const MAX_USUAL_INTERVAL: Duration = Duration::from_millis(250);

/// What a node knows of a group's work.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct GroupActivity {
    /// Requests at work there, of all nodes.
    pub active_requests: u32,
    /// This node's own requests among them.
    pub local_requests: u32,
    /// This node's requests of which no event has come yet.
    pub prefill_requests: u32,
    /// Prompt tokens of those.
    pub prefill_tokens: u64,
    /// Longest of the last intervals between events that this node saw.
    pub max_interval: Duration,
}

/// Returns the silence after which a group has lost a member or is cut off.
///
/// A node that has a running stream there hears of every pass. One that has only sent requests hears
/// nothing until the pass under way is over and the next one, which reads its prompt, as well.
pub fn silence_limit(engine: &EngineSpec, model: &ModelSpec, work: &GroupActivity) -> Duration {
    let pass = engine.pass_time(model, work.active_requests);
    let read = engine.prefill_time(model, work.prefill_tokens);
    let usual = work.max_interval.min(MAX_USUAL_INTERVAL);
    let passes = if work.prefill_requests < work.local_requests {
        1
    } else {
        2
    };
    let longest = engine.max_pass_time(model, work.active_requests) * passes;
    (pass.mul_f64(SILENT_PASSES) + read)
        .max(usual.mul_f64(INTERVAL_FACTOR))
        .max(longest.mul_f64(MAX_PASS_FACTOR))
        .max(MIN_SILENCE)
}
