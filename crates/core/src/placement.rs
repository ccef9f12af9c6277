//! Selects the group that is expected to send the first event soonest.

use std::time::Duration;

use crate::engine::{EngineSpec, ModelSpec};

/// Mean wait for the current pass to end before a new prompt is processed, in passes.
const MEAN_PASS_WAIT: f64 = 0.5;
/// Part of a group's slots that nodes which exceed their slot shares leave free for requests of the others.
const RESERVE: f64 = 0.25;
/// Same part if there are more nodes than slots and the nodes take turns.
const RESERVE_CROWDED: f64 = 0.05;
/// Utilization up to which late requests may take slots if there are more nodes than slots.
const MAX_UTILIZATION_LATE: f64 = 0.75;
/// Same limit if there are at most as many nodes as slots.
const MAX_UTILIZATION_LATE_FEW_NODES: f64 = 0.5;
/// Tolerance in slots for rounding errors in sums of weights.
const ROUNDING: f64 = 1e-6;

/// What a node knows of a group when it places a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GroupLoad {
    /// Active requests there: this node's own and those reported by other nodes.
    pub active_requests: u32,
    /// This node's own active requests there.
    pub local_requests: u32,
    /// Requests of this node that other nodes cannot know of yet.
    pub unreported_requests: u32,
    /// Those of them that took the place of earlier requests of this node there.
    pub replaced_requests: u32,
    /// Number of nodes that choose among the same groups.
    pub nodes: u32,
    /// Share of the requests for the model that arrive at this node at present, from 0 to 1.
    pub arrival_share: f64,
    /// Slots of the group that are reserved for this node.
    pub slot_share: u32,
    /// Prompt tokens of requests sent there that have not produced an event yet.
    pub prefill_tokens: u64,
    /// One-way network delay to the group.
    pub delay: Duration,
    /// Whether requests are queueing there for a slot.
    pub is_queueing: bool,
    /// Whether the request to be placed can no longer meet its latency objective.
    pub is_request_late: bool,
    /// Observed speed: by how much the group takes longer than the median of the model's groups.
    pub speed_ratio: f64,
}

impl Default for GroupLoad {
    fn default() -> Self {
        Self {
            active_requests: 0,
            local_requests: 0,
            unreported_requests: 0,
            replaced_requests: 0,
            nodes: 0,
            arrival_share: 0.0,
            slot_share: 0,
            prefill_tokens: 0,
            delay: Duration::ZERO,
            is_queueing: false,
            is_request_late: false,
            speed_ratio: 1.0,
        }
    }
}

impl GroupLoad {
    /// Returns the part of all requests sent to the group that this node is expected to send: its share of the arrivals,
    /// but no less than an equal part.
    fn effective_share(&self) -> f64 {
        self.arrival_share.max(1.0 / f64::from(self.nodes.max(1)))
    }

    /// Returns the other nodes' part of all requests, where 1 is what they have if all nodes get equal parts.
    fn others_share(&self) -> f64 {
        let equal_share = 1.0 / f64::from(self.nodes.max(2));
        ((1.0 - self.arrival_share) / (1.0 - equal_share)).min(1.0)
    }

    /// Returns the number of this node's requests with which other nodes do not reckon.
    ///
    /// A slot that a request of this node has left may be taken by a node that has learned of it, the less likely the
    /// fewer requests arrive there.
    fn unseen_requests(&self) -> f64 {
        let expected = f64::from(self.replaced_requests) * (1.0 - self.others_share());
        f64::from(self.unreported_requests) - expected
    }
}

/// Returns the expected time to the first event.
pub fn first_event_time(
    engine: &EngineSpec,
    model: &ModelSpec,
    load: &GroupLoad,
    prompt_tokens: u64,
) -> Duration {
    let pass = engine.pass_time(model, load.active_requests.min(engine.slots));
    let prefill = engine.prefill_time(model, load.prefill_tokens + prompt_tokens);
    let work = pass.mul_f64(MEAN_PASS_WAIT + 1.0) + prefill;
    (work + load.delay * 2).mul_f64(load.speed_ratio)
}

/// A node's share of the demand for some groups.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NodeWeight {
    /// Total weight of the nodes that precede it in rank.
    pub before: f64,
    /// Its own weight.
    pub own: f64,
    /// Total weight of all nodes.
    pub total: f64,
}

/// Requests per second for a model, by where they arrive.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ArrivalRates {
    /// At this node.
    pub own: f64,
    /// At all other nodes.
    pub peers: f64,
}

impl ArrivalRates {
    /// Returns the share of the requests that arrive at this node, from 0 to 1.
    ///
    /// ```
    /// use briarswitch_core::placement::ArrivalRates;
    ///
    /// let rates = ArrivalRates { own: 90.0, peers: 10.0 };
    /// assert_eq!(rates.own_share(), 0.9);
    /// assert_eq!(ArrivalRates::default().own_share(), 0.0);
    /// ```
    pub fn own_share(&self) -> f64 {
        self.own / (self.own + self.peers).max(f64::MIN_POSITIVE)
    }
}

/// Returns the number of a group's slots that are reserved for one node.
///
/// If all nodes agree on ranks and weights, their shares add up to the group's slots. With a
/// minimum share of one, 71 nodes would send 71 requests to a group with 30 slots. A node's weight
/// is the demand of its callers: the load balancer sends some nodes seven times as many requests as
/// others, and with equal shares requests at those nodes would wait while slots of the other nodes
/// stay free.
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

/// Returns whether this node may assume that a group has a free slot.
///
/// A group that has just opened looks empty to all nodes, and a full group looks full only after
/// the nodes have learned of each other's requests. Without shares the nodes would overfill it
/// several times over, and the requests queued there would be late. A node may always use its share
/// of the slots, and may exceed it only while the group is far from full.
///
/// A request that is already late gets a slot only while half of them are free. If late requests
/// could take every slot that becomes free, the requests that follow would become late too.
pub fn has_free_slot(engine: &EngineSpec, load: &GroupLoad) -> bool {
    if load.is_request_late && !is_free_for_late(engine, load) {
        return false;
    }
    let is_far_from_full = f64::from(load.active_requests) < usable_slots(engine, load, RESERVE);
    let unseen = f64::from(load.unreported_requests);
    let allowance = unreported_allowance(f64::from(engine.slots), load, unseen);
    let may_exceed = is_far_from_full && load.unreported_requests < allowance + 1;
    !load.is_queueing && (is_in_share(engine, load) || may_exceed)
}

/// Returns how many requests a node may have at a group before the other nodes learn of them, if all nodes together may
/// use `usable_slots`.
///
/// The free slots are divided by where requests arrive at present. While a load balancer sends most callers to a few
/// nodes, equal parts would be left unused by the others.
fn unreported_allowance(usable_slots: f64, load: &GroupLoad, unseen_requests: f64) -> u32 {
    let others_see = f64::from(load.active_requests) - unseen_requests;
    let free = (usable_slots - others_see.max(0.0)).max(0.0);
    (free * load.effective_share() + ROUNDING) as u32
}

/// Returns whether there are more nodes than a group has slots.
fn is_crowded(engine: &EngineSpec, load: &GroupLoad) -> bool {
    load.nodes > engine.slots
}

/// Returns the number of a group's slots up to which late requests may take them, if no node has its share.
///
/// ```
/// use briarswitch_core::engine::EngineSpec;
/// use briarswitch_core::placement::slots_for_late;
///
/// let engine = EngineSpec { slots: 20, ..EngineSpec::default() };
/// assert_eq!(slots_for_late(&engine, 3), 10.0);
/// assert_eq!(slots_for_late(&engine, 300), 15.0);
/// ```
pub fn slots_for_late(engine: &EngineSpec, nodes: u32) -> f64 {
    let part = if nodes > engine.slots {
        MAX_UTILIZATION_LATE
    } else {
        MAX_UTILIZATION_LATE_FEW_NODES
    };
    f64::from(engine.slots) * part
}

/// Returns whether a group has enough free slots to accept a late request.
///
/// If there are more nodes than slots, hardly any node uses half of its share, so a node's own
/// requests do not indicate how full the group is.
fn is_free_for_late(engine: &EngineSpec, load: &GroupLoad) -> bool {
    let slots = f64::from(engine.slots);
    if is_crowded(engine, load) {
        return f64::from(load.active_requests) < slots * MAX_UTILIZATION_LATE;
    }
    load.local_requests * 2 < load.slot_share.max(1) || load.active_requests * 2 < engine.slots
}

/// Returns whether the groups of a model can accept late requests.
///
/// If there are more nodes than slots, callers that were disconnected together return to all nodes
/// at once, and no node knows yet what the others have sent. The number of requests that this node
/// has just sent is an estimate for the others.
fn has_room_for_late(engine: &EngineSpec, loads: &[GroupLoad]) -> bool {
    let is_crowd = loads.iter().any(|load| is_crowded(engine, load));
    if !is_crowd {
        return true;
    }
    let active: u32 = loads.iter().map(|load| load.active_requests).sum();
    let unseen_requests: f64 = loads
        .iter()
        .map(|load| f64::from(load.unreported_requests) / load.effective_share())
        .sum();
    let slots = f64::from(engine.slots) * loads.len() as f64;
    f64::from(active) + unseen_requests < slots * MAX_UTILIZATION_LATE
}

fn is_in_share(engine: &EngineSpec, load: &GroupLoad) -> bool {
    load.local_requests < load.slot_share && load.active_requests < engine.slots
}

/// Returns the probability with which a node may currently exceed its slot shares.
///
/// When demand for a model is close to its capacity, hundreds of nodes see the same few free slots,
/// and each sends a request there before it learns of the others. With 295 nodes, one request in
/// twelve was rejected by a group with 22 active and 44 queued requests. Therefore only as many
/// nodes may exceed their shares at a time as there are free slots; the others keep to their
/// shares.
///
/// ```
/// use briarswitch_core::engine::EngineSpec;
/// use briarswitch_core::placement::{exceed_probability, GroupLoad};
///
/// let engine = EngineSpec { slots: 20, ..EngineSpec::default() };
/// let load = GroupLoad { nodes: 300, active_requests: 14, ..GroupLoad::default() };
/// // Five more of the 20 slots may be used, and other nodes have sent ten requests.
/// assert_eq!(exceed_probability(&engine, &[load], 10.0), 0.5);
/// ```
pub fn exceed_probability(engine: &EngineSpec, loads: &[GroupLoad], unseen_requests: f64) -> f64 {
    let rooms = loads.iter().filter(|load| !load.is_queueing);
    let room: f64 = rooms
        .map(|load| {
            let usable = usable_slots(engine, load, reserve_of(engine, load));
            (usable - f64::from(load.active_requests)).max(0.0)
        })
        .sum();
    if room >= unseen_requests {
        1.0
    } else {
        room / unseen_requests
    }
}

/// Returns the part of a group's slots that is left free for requests of other nodes.
///
/// If there are more nodes than slots, a share is one slot or none, and most requests arrive at
/// nodes without a share. Only the nodes' turns keep them from overfilling the group.
fn reserve_of(engine: &EngineSpec, load: &GroupLoad) -> f64 {
    if is_crowded(engine, load) {
        RESERVE_CROWDED
    } else {
        RESERVE
    }
}

/// Returns the number of slots of a group up to which a node may exceed its share.
///
/// The reserve is for requests that arrive at other nodes; it shrinks if these get less than an equal part of all.
fn usable_slots(engine: &EngineSpec, load: &GroupLoad, reserve: f64) -> f64 {
    f64::from(engine.slots) * (1.0 - reserve * load.others_share())
}

/// Returns whether a request may be sent to a group, given whether it is this node's turn to exceed
/// its share.
fn is_open_to(engine: &EngineSpec, load: &GroupLoad, may_exceed: bool) -> bool {
    if !is_crowded(engine, load) || load.is_request_late {
        return has_free_slot(engine, load) && (may_exceed || is_in_share(engine, load));
    }
    let usable = usable_slots(engine, load, RESERVE_CROWDED);
    let is_free = f64::from(load.active_requests) < usable;
    let unseen = load.unseen_requests();
    let allowance = unreported_allowance(usable, load, unseen).max(1);
    let is_beyond = may_exceed && is_free && unseen < f64::from(allowance);
    !load.is_queueing && (is_in_share(engine, load) || is_beyond)
}

/// The request to place, and estimates of the requests that other nodes have sent to the same
/// groups.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlacementParams {
    /// Tokens in the request's prompt.
    pub prompt_tokens: u64,
    /// Estimated number of requests that other nodes have sent since their load was last reported.
    pub unseen_requests: f64,
    /// Random number from 0 to 1, drawn for each request.
    pub draw: f64,
    /// Random number from 0 to 1 that a node keeps for the time that reports to other nodes take.
    pub turn: f64,
}

/// Returns the index of the selected group, or `None` if no group has a free slot.
///
/// A node's information about the other nodes is some tenths of a second old. If all nodes selected
/// the group that looks best, it would receive all requests of that period: with 71 nodes, one of
/// six equal groups received 24 requests in one second and 1 in the next, where 10 were its share.
/// Therefore the unseen requests are assumed to fill the fastest groups until all of those are
/// equally fast, and this request goes to each of these groups with a probability proportional to
/// the load assigned to it. Without unseen requests, this selects the fastest group.
pub fn pick_group(
    engine: &EngineSpec,
    model: &ModelSpec,
    loads: &[GroupLoad],
    params: &PlacementParams,
) -> Option<usize> {
    let is_late = loads.iter().any(|load| load.is_request_late);
    if is_late && !has_room_for_late(engine, loads) {
        return None;
    }
    let may_exceed = params.turn < exceed_probability(engine, loads, params.unseen_requests);
    let mut times: Vec<(usize, f64)> = loads
        .iter()
        .enumerate()
        .filter(|(_, load)| is_open_to(engine, load, may_exceed))
        .map(|(index, load)| {
            let time = first_event_time(engine, model, load, params.prompt_tokens);
            (index, time.as_secs_f64())
        })
        .collect();
    times.sort_by(|left, right| left.1.total_cmp(&right.1));
    let each = engine
        .prefill_time(model, params.prompt_tokens.max(1))
        .as_secs_f64();
    let level = fill_level(&times, params.unseen_requests * each);
    let rooms = times
        .iter()
        .map(|(index, time)| (*index, (level - time).max(0.0)));
    let total: f64 = rooms.clone().map(|(_, room)| room).sum();
    let mut remaining = params.draw * total;
    let chosen = rooms.clone().find(|(_, room)| {
        remaining -= room;
        remaining < 0.0
    });
    // Rounding may leave the largest draw without a group; the fastest group is valid too.
    chosen
        .or_else(|| rooms.clone().next())
        .map(|(index, _)| index)
}

/// Returns the time to which `work` raises the lowest of `times`, which are in ascending order.
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
