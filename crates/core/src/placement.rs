//! Which group takes a request: the one expected to send the first event soonest.

use std::time::Duration;

use crate::engine::{EngineSpec, ModelSpec};

/// Part of a pass that a new request waits for on average before its prompt is read.
const MEAN_PASS_WAIT: f64 = 0.5;
/// Part of the places up to which nodes need not keep to their shares.
const MAX_UTILIZATION: f64 = 0.75;
/// Part of the places that may be used beyond shares where nodes are many and take turns.
const MAX_UTILIZATION_CROWDED: f64 = 0.95;

/// Part of the places that late requests may fill where nodes are many.
const MAX_UTILIZATION_LATE: f64 = 0.75;

/// Part of a place that sums of weights may lack by rounding.
const ROUNDING: f64 = 1e-6;

/// What is known of one group when a request is placed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct GroupLoad {
    /// Requests at work there, this node's own and those other nodes told of.
    pub active_requests: u32,
    /// This node's own requests at work there.
    pub local_requests: u32,
    /// Requests of this node that other nodes can not know of yet.
    pub unreported_requests: u32,
    /// Nodes that choose among the same groups.
    pub nodes: u32,
    /// Places of the group that are this node's.
    pub slot_share: u32,
    /// Prompt tokens sent there of which no event has come yet.
    pub prefill_tokens: u64,
    /// One-way delay to the group.
    pub delay: Duration,
    /// Whether requests wait there for a place.
    pub is_queueing: bool,
    /// Whether the request to be placed can not be on time any more.
    pub is_request_late: bool,
}

/// Returns the expected time to the first event.
pub fn first_event_time(
    engine: &EngineSpec,
    model: &ModelSpec,
    load: &GroupLoad,
    prompt: u64,
) -> Duration {
    let pass = engine.pass_time(model, load.active_requests.min(engine.slots));
    let read = engine.prefill_time(model, load.prefill_tokens + prompt);
    let work = pass.mul_f64(MEAN_PASS_WAIT + 1.0) + read;
    work + load.delay * 2
}

/// One node's part of what all nodes ask of some groups.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NodeWeight {
    /// Weight of the nodes that rank before it.
    pub before: f64,
    /// Its own weight.
    pub own: f64,
    /// Weight of all nodes.
    pub total: f64,
}

/// Returns the places of a group that are one node's.
///
/// The shares of nodes that agree on ranks and weights add up to the group's places. Were the least
/// share one, 71 nodes would send 71 requests to a group that has 30 places. A node's weight is what its
/// callers ask for: the balancer sends some nodes seven times as many requests as others, and with equal
/// shares the ones wait while places of the others stay empty.
///
/// ```
/// use briarswitch_core::placement::{slot_share, NodeWeight};
///
/// let weights = [1.0, 5.0, 2.0];
/// let mut before = 0.0;
/// let shares = weights.map(|own| {
///     let share = slot_share(16, NodeWeight { before, own, total: 8.0 });
///     before += own;
///     share
/// });
/// assert_eq!(shares, [2, 10, 4]);
/// ```
pub fn slot_share(slots: u32, weight: NodeWeight) -> u32 {
    let scale = f64::from(slots) / weight.total.max(f64::MIN_POSITIVE);
    let until = |sum: f64| (sum * scale + ROUNDING).floor() as u32;
    until(weight.before + weight.own) - until(weight.before)
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
pub fn has_free_slot(engine: &EngineSpec, load: &GroupLoad) -> bool {
    let nodes = load.nodes.max(1);
    if load.is_request_late && !is_free_for_late(engine, load) {
        return false;
    }
    let others_see = load
        .active_requests
        .saturating_sub(load.unreported_requests);
    let free = engine.slots.saturating_sub(others_see);
    let is_far_from_full =
        f64::from(load.active_requests) < f64::from(engine.slots) * MAX_UTILIZATION;
    let may_exceed = is_far_from_full && load.unreported_requests < free / nodes + 1;
    !load.is_queueing && (is_in_share(engine, load) || may_exceed)
}

/// Returns whether more nodes choose among the groups than a group has places.
fn is_crowded(engine: &EngineSpec, load: &GroupLoad) -> bool {
    load.nodes > engine.slots
}

/// Returns whether so much of a group is free that a request which is late already may have a place.
///
/// Where there are more nodes than places, hardly any node has half of its share of a group in use, so its own
/// requests say nothing of how full it is.
fn is_free_for_late(engine: &EngineSpec, load: &GroupLoad) -> bool {
    let slots = f64::from(engine.slots);
    if is_crowded(engine, load) {
        return f64::from(load.active_requests) < slots * MAX_UTILIZATION_LATE;
    }
    load.local_requests * 2 < load.slot_share.max(1) || load.active_requests * 2 < engine.slots
}

/// Returns whether the groups of a model have room for requests that are late already.
///
/// Where there are more nodes than places, callers that were cut off together come back to all nodes at once, and none
/// has heard yet of what the others send. What this node has just sent itself tells how much that is.
fn has_room_for_late(engine: &EngineSpec, loads: &[GroupLoad]) -> bool {
    let is_crowd = loads.iter().any(|load| is_crowded(engine, load));
    if !is_crowd {
        return true;
    }
    let writers: u32 = loads.iter().map(|load| load.active_requests).sum();
    let unseen: u32 = loads
        .iter()
        .map(|load| load.unreported_requests * load.nodes)
        .sum();
    let places = f64::from(engine.slots) * loads.len() as f64;
    f64::from(writers + unseen) < places * MAX_UTILIZATION_LATE
}

fn is_in_share(engine: &EngineSpec, load: &GroupLoad) -> bool {
    load.local_requests < load.slot_share && load.active_requests < engine.slots
}

/// Returns the part of the nodes that may use places beyond their shares at a time.
///
/// The load this answers: callers of a model ask for about what its groups can take. Hundreds of nodes then
/// see the same few free places and each sends one request there before it hears of the others: with 295
/// nodes one request in twelve was turned away by a group that had 22 at work and 44 waiting. So as many
/// nodes go there at a time as there are places, and the others keep to their shares.
///
/// ```
/// use briarswitch_core::engine::EngineSpec;
/// use briarswitch_core::placement::{exceed_probability, GroupLoad};
///
/// let engine = EngineSpec { slots: 20, ..EngineSpec::default() };
/// let load = GroupLoad { nodes: 300, active_requests: 14, ..GroupLoad::default() };
/// // Five of 20 places may be used, and ten requests are on their way.
/// assert_eq!(exceed_probability(&engine, &[load], 10.0), 0.5);
/// ```
pub fn exceed_probability(engine: &EngineSpec, loads: &[GroupLoad], unseen: f64) -> f64 {
    let rooms = loads.iter().filter(|load| !load.is_queueing);
    let room: f64 = rooms
        .map(|load| (usable_slots(engine, load) - f64::from(load.active_requests)).max(0.0))
        .sum();
    if room >= unseen {
        1.0
    } else {
        room / unseen
    }
}

/// Returns the places of a group that nodes may use beyond their shares.
///
/// Where there are more nodes than places a share is one place or none, and most callers come to nodes that
/// have none; turns alone keep the group from being sent too much.
fn usable_slots(engine: &EngineSpec, load: &GroupLoad) -> f64 {
    let part = if is_crowded(engine, load) {
        MAX_UTILIZATION_CROWDED
    } else {
        MAX_UTILIZATION
    };
    f64::from(engine.slots) * part
}

/// Returns whether a request may go to a group, from a node whose turn it is to go beyond its share or not.
fn is_open_to(engine: &EngineSpec, load: &GroupLoad, may_exceed: bool) -> bool {
    if !is_crowded(engine, load) || load.is_request_late {
        return has_free_slot(engine, load) && (may_exceed || is_in_share(engine, load));
    }
    let is_free = f64::from(load.active_requests) < usable_slots(engine, load);
    let is_beyond = may_exceed && is_free && load.unreported_requests == 0;
    !load.is_queueing && (is_in_share(engine, load) || is_beyond)
}

/// What is asked of a group, and what else is on its way to the same groups.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlacementParams {
    /// Tokens of the request's prompt.
    pub prompt_tokens: u64,
    /// Requests that other nodes have sent since this node heard of their load.
    pub unseen_requests: f64,
    /// A number from 0 to 1, drawn anew for each request.
    pub draw: f64,
    /// A number from 0 to 1 that a node keeps for the time in which others do not know of its requests.
    pub turn: f64,
}

/// Returns the index of the group to use, or `None` when every one is full.
///
/// What a node knows of the others is some tenths of a second old. If all of them took the group that
/// looked best, it would get all requests of that time: before 71 nodes one of six equal groups got 24
/// requests in one second and 1 in the next, where 10 were its part. So the unseen requests are thought to fill the groups that are quickest until all of those are equally
/// quick, and this request goes to each with the share of them that it takes. With nothing unseen that
/// is the quickest group.
pub fn pick_group(
    engine: &EngineSpec,
    model: &ModelSpec,
    loads: &[GroupLoad],
    terms: &PlacementParams,
) -> Option<usize> {
    let is_late = loads.iter().any(|load| load.is_request_late);
    if is_late && !has_room_for_late(engine, loads) {
        return None;
    }
    let may_exceed = terms.turn < exceed_probability(engine, loads, terms.unseen_requests);
    let mut times: Vec<(usize, f64)> = loads
        .iter()
        .enumerate()
        .filter(|(_, load)| is_open_to(engine, load, may_exceed))
        .map(|(index, load)| {
            let time = first_event_time(engine, model, load, terms.prompt_tokens);
            (index, time.as_secs_f64())
        })
        .collect();
    times.sort_by(|left, right| left.1.total_cmp(&right.1));
    let each = engine
        .prefill_time(model, terms.prompt_tokens.max(1))
        .as_secs_f64();
    let level = fill_level(&times, terms.unseen_requests * each);
    let rooms = times
        .iter()
        .map(|(index, time)| (*index, (level - time).max(0.0)));
    let total: f64 = rooms.clone().map(|(_, room)| room).sum();
    let mut left = terms.draw * total;
    let chosen = rooms.clone().find(|(_, room)| {
        left -= room;
        left < 0.0
    });
    // Rounding may leave the largest draw without a group; the quickest is right then too.
    chosen
        .or_else(|| rooms.clone().next())
        .map(|(index, _)| index)
}

/// Returns the time up to which `work` fills the quickest of some groups, given in order of time.
fn fill_level(times: &[(usize, f64)], work: f64) -> f64 {
    let mut sum = work;
    let mut level = f64::INFINITY;
    for (count, (_, time)) in times.iter().enumerate() {
        if *time >= level {
            break;
        }
        sum += time;
        level = sum / (count + 1) as f64;
    }
    level
}
