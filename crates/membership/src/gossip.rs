//! Messages between nodes.

use briarswitch_core::id::{NodeId, TargetId};
use briarswitch_core::speed::SpeedReport;
use briarswitch_core::stated_limit::LimitReport;

use crate::digest::Digest;
use crate::node::NodeEntry;
use crate::roster::{RosterDelta, RosterVersion};
use crate::work::WorkSum;

/// State of this node that it sends to others.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NodeStatus {
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// Whether it has recently received a response directly from the store.
    pub reads_store: bool,
    /// Whether it is partitioned from all targets.
    pub is_partitioned: bool,
    /// Whether it, or a node that it heard, has received a caller's request.
    pub has_traffic: bool,
    /// Work of this node alone.
    pub work: WorkSum,
    /// Targets that stopped responding to it.
    pub suspects: Vec<TargetId>,
    /// What it has recently heard about the limits of targets.
    pub limits: Vec<LimitReport>,
    /// What it has recently observed of slow targets.
    pub speeds: Vec<SpeedReport>,
}

/// A message, or the response to one.
#[derive(Clone, Debug, PartialEq)]
pub struct Gossip {
    /// Node that sends the message.
    pub sender: NodeEntry,
    /// Digest of the nodes that the sender summarizes.
    pub digest: Digest,
    /// Digests received from other zones, for a hub of the sender's own zone.
    pub relayed: Vec<Digest>,
    /// Version of the hub's roster that the sender, a follower, has.
    pub roster_version: Option<RosterVersion>,
    /// Changes of the roster since the version that the recipient has.
    pub roster: Option<RosterDelta>,
}

impl Gossip {
    /// Returns the suspected targets of all digests.
    pub fn suspects(&self) -> impl Iterator<Item = &TargetId> {
        let relayed = self.relayed.iter().flat_map(|digest| &digest.suspects);
        self.digest.suspects.iter().chain(relayed)
    }

    /// Returns what all digests say about the limits of targets, each with its age as of now.
    pub fn limits(&self) -> impl Iterator<Item = LimitReport> + '_ {
        let digests = std::iter::once(&self.digest).chain(&self.relayed);
        digests.flat_map(|digest| {
            digest.limits.iter().map(|report| LimitReport {
                age: report.age + digest.age,
                ..report.clone()
            })
        })
    }

    /// Returns what all digests say about slow targets, each with its age as of now.
    pub fn speeds(&self) -> impl Iterator<Item = SpeedReport> + '_ {
        let digests = std::iter::once(&self.digest).chain(&self.relayed);
        digests.flat_map(|digest| {
            digest.speeds.iter().map(|report| SpeedReport {
                age: report.age + digest.age,
                ..report.clone()
            })
        })
    }

    /// Returns whether any of the digests reports a caller's request.
    pub fn has_traffic(&self) -> bool {
        self.digest.has_traffic || self.relayed.iter().any(|digest| digest.has_traffic)
    }
}

/// A message with its recipient.
#[derive(Clone, Debug, PartialEq)]
pub struct GossipTarget {
    /// Recipient.
    pub node: NodeId,
    /// Address of the recipient.
    pub address: String,
    /// Whether the recipient is in the sender's zone.
    pub is_same_zone: bool,
    /// Message to send.
    pub gossip: Gossip,
}
