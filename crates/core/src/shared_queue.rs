//! The queue in which the requests of all nodes for one model wait while its groups are nearly full.
//!
//! With a queue at each node, the least urgent request at a node with a free slot is served before the most urgent one
//! at another node, and with more nodes than slots most requests arrive at nodes that have no slot of their own. One
//! node therefore keeps the queue for all and grants slots one by one.

use std::time::Duration;

use indexmap::IndexMap;

use crate::id::{Incarnation, Moment, NodeId, OrganisationId};
use crate::waiting::WaitingRequest;

/// Time until other nodes learn of a request through gossip.
///
/// A grant or a release counts for this long; after that the reported load of the group contains it.
pub const GRANT_TTL: Duration = Duration::from_millis(250);
/// Time without a message after which a node's requests are dropped; three times that for which a reply is held.
pub const NODE_TTL: Duration = Duration::from_millis(600);

/// Stands for a group in messages between nodes.
pub type GroupKey = u32;
/// Number of a waiting request, unique at its node.
pub type Ticket = u64;

/// A request of one node that waits for a slot.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedRequest {
    /// Its number.
    pub ticket: Ticket,
    /// Organisation of its caller; empty if none.
    pub organisation: OrganisationId,
    /// Tokens of its prompt and at most of its response.
    pub tokens: u64,
    /// How long it waits and how urgent it is, by the clock of the node that keeps the queue.
    pub request: WaitingRequest,
    /// Groups that it may not use.
    pub excluded: Vec<GroupKey>,
}

/// All requests of one node that wait in a queue.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeRequests {
    /// The node.
    pub node: NodeId,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Increases with each message; a message that was overtaken by a later one is ignored.
    pub sequence: u64,
    /// The requests.
    pub requests: Vec<QueuedRequest>,
}

/// A group that serves the queue's requests, as the node that keeps the queue knows it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct GroupCapacity {
    /// The group.
    pub group: GroupKey,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Requests there, as reported by all nodes.
    pub active_requests: u32,
    /// Expected time from a grant to the first event.
    pub first_event_time: Duration,
}

/// A slot for a waiting request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SlotGrant {
    /// Node of the request.
    pub node: NodeId,
    /// The request.
    pub ticket: Ticket,
    /// Group that has the slot.
    pub group: GroupKey,
}

/// A request that is refused because no slot can be expected in time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueueRefusal {
    /// Node of the request.
    pub node: NodeId,
    /// The request.
    pub ticket: Ticket,
    /// Time until a slot can be expected, if known.
    pub available_in: Option<Duration>,
}

/// What a round of the queue decided.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct QueueDecision {
    /// Slots for requests.
    pub grants: Vec<SlotGrant>,
    /// Requests that are refused.
    pub refusals: Vec<QueueRefusal>,
}

#[derive(Clone, Debug)]
struct HeldRequests {
    requests: NodeRequests,
    updated_at: Moment,
}

/// Waiting requests of all nodes for the groups of one model.
#[derive(Clone, Debug, Default)]
pub struct SharedQueue {
    nodes: IndexMap<NodeId, HeldRequests>,
    /// When slots were granted, by group.
    grants: IndexMap<GroupKey, Vec<Moment>>,
    /// When slots became free, by group.
    releases: IndexMap<GroupKey, Vec<Moment>>,
}

impl SharedQueue {
    /// Replaces what is known of the requests of a node, unless a later message has already arrived.
    pub fn update(&mut self, requests: NodeRequests, now: Moment) {
        let held = self.nodes.get(&requests.node);
        let version = (requests.incarnation, requests.sequence);
        let is_overtaken =
            held.is_some_and(|held| (held.requests.incarnation, held.requests.sequence) >= version);
        if !is_overtaken {
            let held = HeldRequests {
                requests,
                updated_at: now,
            };
            self.nodes.insert(held.requests.node.clone(), held);
        }
    }

    /// Records that slots of a group have become free.
    pub fn release(&mut self, group: GroupKey, slots: u32, now: Moment) {
        let releases = self.releases.entry(group).or_default();
        releases.extend((0..slots).map(|_| now));
    }

    /// Grants free slots in the order in which the requests are to be served.
    pub fn serve(&mut self, groups: &[GroupCapacity], now: Moment) -> QueueDecision {
        self.prune(now);
        let mut decision = QueueDecision::default();
        let mut free: Vec<(GroupCapacity, u32)> = groups
            .iter()
            .map(|group| (*group, group.slots.saturating_sub(self.load_of(group))))
            .collect();
        while let Some((node, index)) = self.next(now) {
            let request = &self.nodes[&node].requests.requests[index];
            let usable = free
                .iter_mut()
                .filter(|(group, slots)| *slots > 0 && !request.excluded.contains(&group.group));
            let Some((group, slots)) = usable.min_by_key(|(group, _)| group.first_event_time)
            else {
                break;
            };
            *slots -= 1;
            let group = group.group;
            self.grants.entry(group).or_default().push(now);
            let Some(held) = self.nodes.get_mut(&node) else {
                break;
            };
            let ticket = held.requests.requests.remove(index).ticket;
            decision.grants.push(SlotGrant {
                node,
                ticket,
                group,
            });
        }
        decision
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        let held = self.nodes.values();
        held.map(|held| held.requests.requests.len()).sum()
    }

    /// Returns the load of a group: what nodes report, and what they cannot know yet.
    fn load_of(&self, group: &GroupCapacity) -> u32 {
        let count = |moments: &IndexMap<GroupKey, Vec<Moment>>| {
            moments.get(&group.group).map_or(0, Vec::len) as u32
        };
        let (granted, released) = (count(&self.grants), count(&self.releases));
        (group.active_requests + granted)
            .saturating_sub(released)
            .max(granted)
    }

    fn next(&self, now: Moment) -> Option<(NodeId, usize)> {
        let all = self.nodes.iter().flat_map(|(node, held)| {
            let requests = held.requests.requests.iter().enumerate();
            requests.map(move |(index, queued)| (queued.request.sort_key(now), node, index))
        });
        let (_, node, index) = all.min_by_key(|(sort_key, _, _)| *sort_key)?;
        Some((node.clone(), index))
    }

    fn prune(&mut self, now: Moment) {
        self.nodes
            .retain(|_, held| now < held.updated_at + NODE_TTL);
        for moments in self.grants.values_mut().chain(self.releases.values_mut()) {
            moments.retain(|at| now < *at + GRANT_TTL);
        }
    }
}
