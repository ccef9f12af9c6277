//! The queue in which the requests of all nodes for one model wait while its groups are nearly full.
//!
//! With a queue at each node, the least urgent request at a node with a free slot is served before the most urgent one
//! at another node, and with more nodes than slots most requests arrive at nodes that have no slot of their own. One
//! node therefore keeps the queue for all and grants slots one by one.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use crate::id::{Incarnation, Moment, NodeId, OrganisationId};
use crate::queue_rates::QueueRates;
use crate::queue_round::QueueRound;
use crate::queue_shares::OrganisationShares;
use crate::queue_slots::SlotLedger;

pub use crate::queued_request::{
    GroupCapacity, GroupKey, QueuedRequest, Ticket, GRANT_TTL, NODE_TTL,
};

/// Time for which the last sequence number of a node is kept; longer than any message is delayed.
const SEQUENCE_TTL: Duration = Duration::from_secs(10);

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

/// Number of requests that wait in a queue, and for how long.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WaitingCounts {
    /// Waiting requests by priority, the highest first.
    pub waiting: IndexMap<u8, usize>,
    /// Time since the first of them arrived.
    pub oldest_wait: Duration,
}

/// A request that was granted or refused, although its node may not know it yet.
#[derive(Clone, Debug, PartialEq)]
struct SettledRequest {
    /// Group that was granted; `None` if the request was refused.
    group: Option<GroupKey>,
    settled_at: Moment,
}

/// Requests of a node's last message, and the decisions on them that the node may not know yet.
#[derive(Clone, Debug, PartialEq)]
struct HeldRequests {
    incarnation: Incarnation,
    sequence: u64,
    requests: Vec<QueuedRequest>,
    settled: IndexMap<Ticket, SettledRequest>,
    updated_at: Moment,
}

impl HeldRequests {
    /// Returns whether a listed request has already been granted or refused, which its node did not know yet.
    ///
    /// A request that excludes the granted group was listed after the node gave that grant back; it waits again.
    fn is_settled(&self, queued: &QueuedRequest) -> bool {
        let settled = self.settled.get(&queued.ticket);
        settled.is_some_and(|settled| {
            let group = settled.group;
            !group.is_some_and(|group| queued.excluded.contains(&group))
        })
    }

    fn prune(&mut self, now: Moment) {
        if now >= self.updated_at + NODE_TTL {
            self.requests.clear();
        }
        self.settled
            .retain(|_, settled| now < settled.settled_at + GRANT_TTL);
    }

    fn settle(&mut self, ticket: Ticket, group: Option<GroupKey>, now: Moment) {
        let settled = SettledRequest {
            group,
            settled_at: now,
        };
        self.settled.insert(ticket, settled);
        self.requests.retain(|queued| queued.ticket != ticket);
    }
}

/// Waiting requests of all nodes for the groups of one model.
///
/// ```
/// use std::time::Duration;
///
/// use briarswitch_core::shared_queue::{GroupCapacity, NodeRequests, QueuedRequest, SharedQueue};
/// use briarswitch_core::waiting::{WaitParams, WaitingRequest};
///
/// let now = Duration::from_secs(60);
/// let request = |ticket, priority| QueuedRequest {
///     ticket,
///     organisation: "kayal".to_owned(),
///     tokens: 900,
///     request: WaitingRequest::new(WaitParams {
///         arrived: now,
///         objective: Duration::from_millis(500),
///         deadline: now + Duration::from_secs(10),
///         priority,
///         ..WaitParams::default()
///     }),
///     excluded: Vec::new(),
/// };
/// let mut queue = SharedQueue::default();
/// for (node, queued) in [("n1", request(1, 2)), ("n2", request(1, 0))] {
///     let requests = vec![queued];
///     queue.update(NodeRequests { node: node.to_owned(), incarnation: 1, sequence: 1, requests }, now);
/// }
/// let group = GroupCapacity { group: 7, slots: 34, active_requests: 33, ..GroupCapacity::default() };
/// let decision = queue.serve(&[group], now);
/// assert_eq!(decision.grants.len(), 1);
/// assert_eq!(decision.grants[0].node, "n2");
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SharedQueue {
    nodes: IndexMap<NodeId, HeldRequests>,
    ledger: SlotLedger,
    rates: QueueRates,
    shares: OrganisationShares,
    served_at: Moment,
    /// Whether requests are never refused by forecast here; their nodes refuse them when their time is over.
    ignores_forecasts: bool,
}

impl SharedQueue {
    /// Sets whether requests are refused as soon as no slot can be expected for them in time, as they are by default.
    pub fn set_forecasts(&mut self, are_enabled: bool) {
        self.ignores_forecasts = !are_enabled;
    }

    /// Replaces the weights of the organisations; those not listed have a weight of 1.
    pub fn set_weights(&mut self, weights: IndexMap<OrganisationId, u32>) {
        self.shares.set_weights(weights);
    }

    /// Replaces what is known of the requests of a node, unless a later message has already arrived.
    ///
    /// Requests that were granted or refused in the last [`GRANT_TTL`] are left out: the node did not know of it when
    /// it sent the message. A node that can't use a grant lists the request again with the group among those excluded.
    /// Returns whether the message is newer than those before.
    pub fn update(&mut self, requests: NodeRequests, now: Moment) -> bool {
        let NodeRequests {
            node,
            incarnation,
            sequence,
            mut requests,
        } = requests;
        let version = (incarnation, sequence);
        let mut known = self.nodes.get_mut(&node);
        if let Some(held) = &mut known {
            if (held.incarnation, held.sequence) >= version {
                return false;
            }
            held.prune(now);
        }
        let known = known.filter(|held| held.incarnation == incarnation);
        if let Some(held) = &known {
            requests.retain(|queued| !held.is_settled(queued));
        }
        record_arrivals(&mut self.rates, known.as_deref(), &requests, now);
        let settled = known.map(|held| std::mem::take(&mut held.settled));
        let held = HeldRequests {
            incarnation,
            sequence,
            requests,
            settled: settled.unwrap_or_default(),
            updated_at: now,
        };
        self.nodes.insert(node, held);
        true
    }

    /// Records that slots of a group have become free.
    pub fn release(&mut self, group: GroupKey, slots: u32, now: Moment) {
        if slots > 0 {
            self.ledger.record_releases(group, slots, now);
            self.rates.record_releases(group, slots, now);
        }
    }

    /// Grants free slots in the order in which the requests are to be served, and refuses requests without a chance.
    pub fn serve(&mut self, groups: &[GroupCapacity], now: Moment) -> QueueDecision {
        self.prune(now);
        self.ledger.correct(groups, now);
        let waiting: Vec<(&NodeId, &QueuedRequest)> = self
            .nodes
            .iter()
            .flat_map(|(node, held)| held.requests.iter().map(move |queued| (node, queued)))
            .collect();
        let round = QueueRound {
            requests: waiting.iter().map(|(_, queued)| *queued).collect(),
            groups,
            ledger: &mut self.ledger,
            shares: &mut self.shares,
            rates: &self.rates,
            now,
            refuses: !self.ignores_forecasts,
        };
        let (grants, refusals) = round.run();
        let grant = |(index, group): (usize, GroupKey)| SlotGrant {
            node: waiting[index].0.clone(),
            ticket: waiting[index].1.ticket,
            group,
        };
        let refuse = |(index, available_in): (usize, Option<Duration>)| QueueRefusal {
            node: waiting[index].0.clone(),
            ticket: waiting[index].1.ticket,
            available_in,
        };
        let decision = QueueDecision {
            grants: grants.into_iter().map(grant).collect(),
            refusals: refusals.into_iter().map(refuse).collect(),
        };
        self.settle(&decision, now);
        decision
    }

    /// Returns whether requests of a node wait.
    pub fn is_waiting_at(&self, node: &str) -> bool {
        let held = self.nodes.get(node);
        held.is_some_and(|held| !held.requests.is_empty())
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.nodes.values().map(|held| held.requests.len()).sum()
    }

    /// Returns the number of requests at a group by this queue's count, or as gossip reports it if it is not counted yet.
    pub fn load_of(&self, group: &GroupCapacity) -> u32 {
        self.ledger.load_of(group)
    }

    /// Returns how many requests wait and for how long.
    pub fn waiting_counts(&self, now: Moment) -> WaitingCounts {
        let mut counts = WaitingCounts::default();
        for queued in self.nodes.values().flat_map(|held| &held.requests) {
            *counts.waiting.entry(queued.request.priority).or_default() += 1;
            let wait = now.saturating_sub(queued.request.arrived);
            counts.oldest_wait = counts.oldest_wait.max(wait);
        }
        counts.waiting.sort_unstable_keys();
        counts
    }

    /// Drops what has lapsed, also while this process was frozen.
    fn prune(&mut self, now: Moment) {
        self.nodes
            .retain(|_, held| now < held.updated_at + SEQUENCE_TTL);
        self.nodes.values_mut().for_each(|held| held.prune(now));
        self.shares.prune(now);
        // Messages that were not handled in the meantime are missing in the rates.
        if now > self.served_at + NODE_TTL {
            self.rates = QueueRates::default();
        }
        self.served_at = now;
    }

    fn settle(&mut self, decision: &QueueDecision, now: Moment) {
        for grant in &decision.grants {
            if let Some(held) = self.nodes.get_mut(&grant.node) {
                held.settle(grant.ticket, Some(grant.group), now);
            }
        }
        for refusal in &decision.refusals {
            if let Some(held) = self.nodes.get_mut(&refusal.node) {
                held.settle(refusal.ticket, None, now);
            }
        }
    }
}

/// Counts the requests that a node lists for the first time.
///
/// Those that have waited for longer were sent to another coordinator before.
fn record_arrivals(
    rates: &mut QueueRates,
    known: Option<&HeldRequests>,
    requests: &[QueuedRequest],
    now: Moment,
) {
    let known = known.into_iter().flat_map(|held| &held.requests);
    let known: IndexSet<Ticket> = known.map(|queued| queued.ticket).collect();
    let arrived = requests.iter().filter(|queued| {
        !known.contains(&queued.ticket) && now < queued.request.arrived + GRANT_TTL
    });
    for queued in arrived {
        rates.record_arrival(queued.request.class(now), now);
    }
}
