//! What waits in a shared queue, and for what: requests and groups, and for how long what is known of them counts.

use std::time::Duration;

use crate::id::OrganisationId;
use crate::waiting::WaitingRequest;

/// Longest time until other nodes learn of a request through gossip.
///
/// For this long, a grant or a release is compared with what gossip reports of the group, and a request that was granted
/// or refused is left out of the lists of its node.
pub const GRANT_TTL: Duration = Duration::from_millis(250);
/// Time without a message after which a node's requests are dropped.
///
/// Replies are held for a third of it, and a node that waits sends again after each reply.
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
