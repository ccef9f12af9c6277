//! The messages that nodes send each other.

use briarswitch_core::id::{NodeId, TargetId};

use crate::digest::Digest;
use crate::node::NodeEntry;
use crate::roster::{RosterDelta, RosterVersion};
use crate::work::WorkSum;

/// What a node tells of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NodeStatus {
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// Whether it has lately been answered by the store itself.
    pub reads_store: bool,
    /// Whether it, or anybody it heard, has seen a caller's request.
    pub has_traffic: bool,
    /// Its own work.
    pub work: WorkSum,
    /// Targets that fell silent towards it.
    pub suspects: Vec<TargetId>,
}

/// A message, or the answer to one.
#[derive(Clone, Debug, PartialEq)]
pub struct Gossip {
    /// Node that speaks.
    pub sender: NodeEntry,
    /// What it tells.
    pub digest: Digest,
    /// What it was told by other zones, for a hub of its own zone.
    pub relayed: Vec<Digest>,
    /// What a follower holds of the roster.
    pub roster_version: Option<RosterVersion>,
    /// What the follower lacks.
    pub roster: Option<RosterDelta>,
}

impl Gossip {
    /// Returns the targets that anybody it tells of suspects.
    pub fn suspects(&self) -> impl Iterator<Item = &TargetId> {
        let relayed = self.relayed.iter().flat_map(|digest| &digest.suspects);
        self.digest.suspects.iter().chain(relayed)
    }

    /// Returns whether anybody it tells of has seen a caller's request.
    pub fn has_traffic(&self) -> bool {
        self.digest.has_traffic || self.relayed.iter().any(|digest| digest.has_traffic)
    }
}

/// Whom to send a message.
#[derive(Clone, Debug, PartialEq)]
pub struct GossipTarget {
    /// Node.
    pub node: NodeId,
    /// Its address.
    pub address: String,
    /// Whether it is of the own zone.
    pub is_same_zone: bool,
    /// Message.
    pub gossip: Gossip,
}
