//! Which group takes a request: the one expected to send the first event soonest.

use std::time::Duration;

use crate::engine::{EngineModel, ModelSpec};

/// Part of a pass that a new request waits for on average before its prompt is read.
const PASS_WAIT: f64 = 0.5;
/// Relative difference below which two groups count as equally good.
///
/// Six nodes that all pick the very best one would send a burst to it before any sees the others'
/// choices.
const TIE: f64 = 0.1;

/// Part of the places up to which nodes need not keep to their shares.
const FREE_USE: f64 = 0.75;

/// What is known of one group when a request is placed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct GroupLoad {
    /// Requests at work there, this node's own and those other nodes told of.
    pub writers: u32,
    /// This node's own requests at work there.
    pub own: u32,
    /// Requests of this node that other nodes can not know of yet.
    pub fresh: u32,
    /// Nodes that choose among the same groups.
    pub nodes: u32,
    /// Prompt tokens sent there of which no event has come yet.
    pub unread_tokens: u64,
    /// One-way delay to the group.
    pub delay: Duration,
    /// Whether requests wait there for a place.
    pub is_queueing: bool,
    /// Whether the request to be placed can not be on time any more.
    pub is_for_late: bool,
}

/// Returns the expected time to the first event.
pub fn first_event(
    engine: &EngineModel,
    model: &ModelSpec,
    load: &GroupLoad,
    prompt: u64,
) -> Duration {
    let pass = engine.pass_time(model, load.writers.min(engine.slots));
    let read = engine.read_time(model, load.unread_tokens + prompt);
    let work = pass.mul_f64(PASS_WAIT + 1.0) + read;
    work + load.delay * 2
}

/// Returns whether a group has a free place, as far as this node may count on it.
///
/// All nodes see a group that has just opened as empty, and one that is full as full only after they
/// have heard of each other's requests. Without a share for each they fill it several times over, and
/// what waits at the group is late. Up to its share of the places a node may always send; beyond it
/// only while the group is far from full.
///
/// A request that is late already takes a place only while half of them are free. Given every place
/// that comes free, the late ones would always be there first, and those that come next late too.
pub fn has_room(engine: &EngineModel, load: &GroupLoad) -> bool {
    let nodes = load.nodes.max(1);
    let share = (engine.slots / nodes).max(1);
    let is_half_full = load.own * 2 >= share && load.writers * 2 >= engine.slots;
    if load.is_for_late && is_half_full {
        return false;
    }
    let others_see = load.writers.saturating_sub(load.fresh);
    let free = engine.slots.saturating_sub(others_see);
    let is_far_from_full = f64::from(load.writers) < f64::from(engine.slots) * FREE_USE;
    let may_exceed = is_far_from_full && load.fresh < free / nodes + 1;
    let is_in_share = load.own < share && load.writers < engine.slots;
    !load.is_queueing && (is_in_share || may_exceed)
}

/// Returns the index of the group to use, or `None` when every one is full.
///
/// `draw` breaks ties.
pub fn pick_group(
    engine: &EngineModel,
    model: &ModelSpec,
    loads: &[GroupLoad],
    prompt: u64,
    draw: usize,
) -> Option<usize> {
    let times: Vec<(usize, Duration)> = loads
        .iter()
        .enumerate()
        .filter(|(_, load)| has_room(engine, load))
        .map(|(index, load)| (index, first_event(engine, model, load, prompt)))
        .collect();
    let best = times.iter().map(|(_, time)| *time).min()?;
    let limit = best.mul_f64(1.0 + TIE);
    let near: Vec<usize> = times
        .into_iter()
        .filter(|(_, time)| *time <= limit)
        .map(|(index, _)| index)
        .collect();
    Some(near[draw % near.len()])
}
