//! What one node tells another of itself and of those it speaks for.

use std::time::Duration;

use briarswitch_core::id::{Incarnation, NodeId, TargetId, ZoneId};

use crate::work::WorkSum;

/// For whom a digest speaks.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum DigestOrigin {
    /// One node, for itself.
    Node(NodeId),
    /// A hub, for itself and the nodes that report to it.
    Hub(NodeId),
    /// All nodes of a zone.
    Zone(ZoneId),
    /// All nodes.
    Fleet,
}

/// Sign of life of one node.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// Node.
    pub node: NodeId,
    /// Life of its process.
    pub incarnation: Incarnation,
    /// Time since it was heard.
    pub age: Duration,
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// Whether it has lately been answered by the store itself.
    pub reads_store: bool,
    /// Requests that it sees in a second.
    pub request_rate: f64,
}

/// Sums over some nodes.
#[derive(Clone, Debug, PartialEq)]
pub struct Digest {
    /// For whom it speaks.
    pub origin: DigestOrigin,
    /// Time since it was made.
    pub age: Duration,
    /// Whether any of them, or anybody they heard, has seen a caller's request.
    pub has_traffic: bool,
    /// The nodes; for the whole fleet only the one that speaks, for a [`RosterDelta`](crate::RosterDelta)
    /// tells of the others.
    pub members: Vec<Heartbeat>,
    /// Their work.
    pub work: WorkSum,
    /// Targets that fell silent towards any of them.
    pub suspects: Vec<TargetId>,
}

impl Digest {
    /// Returns the digest of nobody.
    ///
    /// ```
    /// use briarswitch_membership::{Digest, DigestOrigin};
    ///
    /// assert!(Digest::empty(DigestOrigin::Fleet).members.is_empty());
    /// ```
    pub fn empty(origin: DigestOrigin) -> Self {
        Self {
            origin,
            age: Duration::ZERO,
            has_traffic: false,
            members: Vec::new(),
            work: WorkSum::default(),
            suspects: Vec::new(),
        }
    }

    /// Adds what another digest tells, which was told `age` ago.
    pub(crate) fn add(&mut self, other: &Self, age: Duration) {
        self.has_traffic |= other.has_traffic;
        self.work.add(&other.work);
        for suspect in &other.suspects {
            if !self.suspects.contains(suspect) {
                self.suspects.push(suspect.clone());
            }
        }
        self.members.extend(other.members.iter().map(|sign| {
            let mut sign = sign.clone();
            sign.age += age;
            sign
        }));
    }
}
