//! What nodes tell each other, and how it is written on the wire.

use std::time::Duration;

use briarswitch_core::id::*;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Work that one or several nodes have or see.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NodeWork {
    /// Requests at targets.
    pub loads: IndexMap<TargetId, u32>,
    /// Loads from the weight store under way.
    pub loading: u32,
    /// Groups that the requests would fill, by model.
    pub demand: IndexMap<ModelId, f64>,
    /// Requests in a second, by model.
    pub arrivals: IndexMap<ModelId, f64>,
}

impl NodeWork {
    /// Adds other nodes' work.
    ///
    /// ```
    /// use briarswitch_fleet::note::NodeWork;
    ///
    /// let mut sum = NodeWork::default();
    /// let other = NodeWork { loading: 2, ..NodeWork::default() };
    /// sum.add(&other);
    /// sum.add(&other);
    /// assert_eq!(sum.loading, 4);
    /// ```
    pub fn add(&mut self, other: &Self) {
        for (target, requests) in &other.loads {
            *self.loads.entry(target.clone()).or_insert(0) += requests;
        }
        self.loading += other.loading;
        add_rates(&mut self.demand, &other.demand);
        add_rates(&mut self.arrivals, &other.arrivals);
    }
}

impl PeerNote {
    /// Returns the sign of life that the note is, `age` after it was heard.
    pub fn sign(&self, age: Duration) -> MemberSign {
        MemberSign {
            node: self.node.clone(),
            incarnation: self.incarnation,
            age,
            is_leaving: self.is_leaving,
            arrivals: self.arrivals(),
        }
    }

    /// Returns the requests that the node sees in a second.
    pub fn arrivals(&self) -> f64 {
        self.work.arrivals.values().sum()
    }
}

fn add_rates(sums: &mut IndexMap<ModelId, f64>, rates: &IndexMap<ModelId, f64>) {
    for (model, rate) in rates {
        *sums.entry(model.clone()).or_insert(0.0) += rate;
    }
}

/// One node's news for another.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PeerNote {
    /// Node that speaks.
    pub node: NodeId,
    /// Life of its process.
    pub incarnation: Incarnation,
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// Whether it or somebody it heard has seen a caller's request.
    pub has_traffic: bool,
    /// Its own work.
    pub work: NodeWork,
    /// Targets that fell silent towards it.
    pub suspects: Vec<TargetId>,
    /// What it knows of its zone, for a node of another zone.
    pub zone: Option<Box<ZoneDigest>>,
}

/// What one node knows of all nodes of its zone, itself included.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ZoneDigest {
    /// Zone.
    pub zone: ZoneId,
    /// Its nodes.
    pub members: Vec<MemberSign>,
    /// Their work.
    pub work: NodeWork,
    /// Targets that fell silent towards any of them.
    pub suspects: Vec<TargetId>,
}

/// Sign of life of one node.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberSign {
    /// Node.
    pub node: NodeId,
    /// Life of its process.
    pub incarnation: Incarnation,
    /// Time since it was heard.
    pub age: Duration,
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// Requests that it sees in a second.
    pub arrivals: f64,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct WorkDoc {
    loads: Vec<(TargetId, u32)>,
    #[serde(default)]
    loading: u32,
    demand: Vec<(ModelId, f64)>,
    #[serde(default)]
    arrivals: Vec<(ModelId, f64)>,
}

/// Node, life, milliseconds since it was heard, whether it is leaving, requests in a second.
///
/// Without names of fields: a digest has one for each node of a zone, and names were a quarter of what
/// zones tell each other.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct MemberDoc(NodeId, Incarnation, u64, bool, f32);

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct ZoneDoc {
    zone: ZoneId,
    members: Vec<MemberDoc>,
    work: WorkDoc,
    suspects: Vec<TargetId>,
}

/// [`PeerNote`] on the wire.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerNoteDoc {
    node: NodeId,
    incarnation: Incarnation,
    leaving: bool,
    traffic: bool,
    work: WorkDoc,
    suspects: Vec<TargetId>,
    #[serde(default)]
    zone: Option<Box<ZoneDoc>>,
}

impl From<NodeWork> for WorkDoc {
    fn from(work: NodeWork) -> Self {
        Self {
            loads: work.loads.into_iter().collect(),
            loading: work.loading,
            demand: work.demand.into_iter().collect(),
            arrivals: work.arrivals.into_iter().collect(),
        }
    }
}

impl From<WorkDoc> for NodeWork {
    fn from(doc: WorkDoc) -> Self {
        Self {
            loads: doc.loads.into_iter().collect(),
            loading: doc.loading,
            demand: doc.demand.into_iter().collect(),
            arrivals: doc.arrivals.into_iter().collect(),
        }
    }
}

impl From<MemberSign> for MemberDoc {
    fn from(sign: MemberSign) -> Self {
        let age = u64::try_from(sign.age.as_millis()).unwrap_or(u64::MAX);
        Self(
            sign.node,
            sign.incarnation,
            age,
            sign.is_leaving,
            sign.arrivals as f32,
        )
    }
}

impl From<MemberDoc> for MemberSign {
    fn from(doc: MemberDoc) -> Self {
        let MemberDoc(node, incarnation, age, is_leaving, arrivals) = doc;
        Self {
            node,
            incarnation,
            age: Duration::from_millis(age),
            is_leaving,
            arrivals: f64::from(arrivals),
        }
    }
}

impl From<ZoneDigest> for ZoneDoc {
    fn from(digest: ZoneDigest) -> Self {
        let members = digest.members.into_iter().map(MemberDoc::from);
        Self {
            zone: digest.zone,
            members: members.collect(),
            work: digest.work.into(),
            suspects: digest.suspects,
        }
    }
}

impl From<ZoneDoc> for ZoneDigest {
    fn from(doc: ZoneDoc) -> Self {
        let members = doc.members.into_iter().map(MemberSign::from);
        Self {
            zone: doc.zone,
            members: members.collect(),
            work: doc.work.into(),
            suspects: doc.suspects,
        }
    }
}

impl From<PeerNote> for PeerNoteDoc {
    fn from(note: PeerNote) -> Self {
        Self {
            node: note.node,
            incarnation: note.incarnation,
            leaving: note.is_leaving,
            traffic: note.has_traffic,
            work: note.work.into(),
            suspects: note.suspects,
            zone: note.zone.map(|digest| Box::new((*digest).into())),
        }
    }
}

impl From<PeerNoteDoc> for PeerNote {
    fn from(doc: PeerNoteDoc) -> Self {
        Self {
            node: doc.node,
            incarnation: doc.incarnation,
            is_leaving: doc.leaving,
            has_traffic: doc.traffic,
            work: doc.work.into(),
            suspects: doc.suspects,
            zone: doc.zone.map(|doc| Box::new((*doc).into())),
        }
    }
}
