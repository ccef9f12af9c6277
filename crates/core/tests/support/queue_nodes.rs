//! Nodes of a simulated fleet, and what happens to them.

use briarswitch_core::id::Moment;
use briarswitch_core::shared_queue::*;
use briarswitch_core::waiting::WaitingRequest;
use indexmap::IndexMap;

/// Number of groups.
pub const GROUPS: usize = 6;
/// Slots of a group.
pub const SLOTS: u32 = 34;

/// Active requests by group.
pub type GroupCounts = [u32; GROUPS];

/// How nodes assign slots.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SlotPolicy {
    /// By the queue that all nodes share.
    SharedQueue,
    /// By slot shares of each node.
    SlotShares,
}

/// What happens during a simulation besides the load.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// When nodes die.
    pub kills: Vec<(Moment, usize)>,
    /// Time from which the queue is kept by the second coordinator.
    pub takeover: Option<Moment>,
    /// Time during which half of the nodes use the second coordinator.
    pub split: Option<(Moment, Moment)>,
    /// Share of the messages that are delayed so that later ones overtake them.
    pub delayed_share: f64,
}

/// A request that waits at a node.
#[derive(Clone, Debug)]
pub struct NodeRequest {
    /// Its number at the node.
    pub ticket: Ticket,
    /// Its index in the load.
    pub arrival: usize,
    /// How long it waits and how urgent it is.
    pub request: WaitingRequest,
    /// Groups that have rejected it.
    pub excluded: Vec<GroupKey>,
    /// Whether a grant is on its way.
    pub is_granted: bool,
}

/// A node with its waiting requests and those that it has sent to groups.
#[derive(Clone, Debug, Default)]
pub struct SimulatedNode {
    /// Waiting requests.
    pub waiting: Vec<NodeRequest>,
    /// Slots that became free since the last message.
    pub released: IndexMap<GroupKey, u32>,
    /// Active requests by group.
    pub active: GroupCounts,
    /// Number of the last message.
    pub sequence: u64,
    /// Number of the next request.
    pub next_ticket: Ticket,
    /// When the last message was sent.
    pub sent_at: Moment,
    /// Whether a message is due.
    pub is_sending: bool,
    /// Whether it has died.
    pub is_dead: bool,
}

/// What happens next.
pub enum Event {
    /// A request arrives.
    Arrive(usize),
    /// A node sends its list.
    Send(usize),
    /// A coordinator receives a list.
    Receive(usize, NodeRequests, IndexMap<GroupKey, u32>),
    /// A node receives grants and refusals.
    Reply(usize, QueueDecision),
    /// A request of a node ends at a group.
    End(usize, GroupKey),
    /// A node dies.
    Kill(usize),
    /// A tick passes.
    Tick,
}
