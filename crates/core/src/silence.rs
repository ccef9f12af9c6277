//! How long an active group may be silent before a member is assumed to be lost.
//!
//! Every active stream of a group yields an event in each pass, so if all of them are silent for
//! several passes, the loss is detected long before the engine's own time-out.

use std::time::Duration;

use crate::engine::{EngineSpec, ModelSpec};

/// Number of passes without any event after which a group counts as silent.
const SILENT_PASSES: f64 = 4.0;
/// Minimum silence that is treated as a loss; shorter pauses can be caused by network delays.
const MIN_SILENCE: Duration = Duration::from_millis(180);
/// Factor on the longest recent interval between events.
const INTERVAL_FACTOR: f64 = 1.5;
/// Factor on the longest pass of a healthy group.
const MAX_PASS_FACTOR: f64 = 1.15;
/// Cap on the interval taken as usual, so that the limit does not grow after a group has stalled.
const MAX_USUAL_INTERVAL: Duration = Duration::from_millis(250);

/// What a node knows of the activity of a group.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct GroupActivity {
    /// Active requests there, of all nodes.
    pub active_requests: u32,
    /// This node's own active requests there.
    pub local_requests: u32,
    /// This node's requests that have not produced an event yet.
    pub prefill_requests: u32,
    /// Prompt tokens of those requests.
    pub prefill_tokens: u64,
    /// Longest of the recent intervals between events seen by this node.
    pub max_interval: Duration,
}

/// Returns the silence after which a group is assumed to have lost a member or to be unreachable.
///
/// A node with an active stream there receives an event in every pass. A node that has only sent
/// new requests receives nothing until the current pass and the next one, which processes its
/// prompt, are over.
pub fn silence_limit(engine: &EngineSpec, model: &ModelSpec, activity: &GroupActivity) -> Duration {
    let pass = engine.pass_time(model, activity.active_requests);
    let prefill = engine.prefill_time(model, activity.prefill_tokens);
    let usual = activity.max_interval.min(MAX_USUAL_INTERVAL);
    let passes = if activity.prefill_requests < activity.local_requests {
        1
    } else {
        2
    };
    let longest = engine.max_pass_time(model, activity.active_requests) * passes;
    (pass.mul_f64(SILENT_PASSES) + prefill)
        .max(usual.mul_f64(INTERVAL_FACTOR))
        .max(longest.mul_f64(MAX_PASS_FACTOR))
        .max(MIN_SILENCE)
}
