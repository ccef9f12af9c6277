//! What nodes tell each other, and how it is written on the wire.

use briarswitch_core::id::*;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

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
    /// Its own requests at targets.
    pub loads: Vec<NotedLoad>,
    /// Loads from the weight store that its targets have under way.
    pub loading: u32,
    /// Targets that fell silent towards it.
    pub suspects: Vec<TargetId>,
    /// Groups that the requests it sees would fill, by model.
    pub demand: IndexMap<ModelId, f64>,
    /// Requests that it sees in a second, by model.
    pub arrivals: IndexMap<ModelId, f64>,
}

/// A node's requests at one target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NotedLoad {
    /// Target.
    pub target: TargetId,
    /// Requests.
    pub requests: u32,
}

/// [`PeerNote`] on the wire.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerNoteDoc {
    node: NodeId,
    incarnation: Incarnation,
    leaving: bool,
    traffic: bool,
    loads: Vec<(TargetId, u32)>,
    #[serde(default)]
    loading: u32,
    suspects: Vec<TargetId>,
    demand: Vec<(ModelId, f64)>,
    #[serde(default)]
    arrivals: Vec<(ModelId, f64)>,
}

impl From<PeerNote> for PeerNoteDoc {
    fn from(note: PeerNote) -> Self {
        let loads = note.loads.into_iter();
        Self {
            node: note.node,
            incarnation: note.incarnation,
            leaving: note.is_leaving,
            traffic: note.has_traffic,
            loads: loads.map(|load| (load.target, load.requests)).collect(),
            loading: note.loading,
            suspects: note.suspects,
            demand: note.demand.into_iter().collect(),
            arrivals: note.arrivals.into_iter().collect(),
        }
    }
}

impl From<PeerNoteDoc> for PeerNote {
    fn from(doc: PeerNoteDoc) -> Self {
        let loads = doc.loads.into_iter();
        Self {
            node: doc.node,
            incarnation: doc.incarnation,
            is_leaving: doc.leaving,
            has_traffic: doc.traffic,
            loads: loads
                .map(|(target, requests)| NotedLoad { target, requests })
                .collect(),
            loading: doc.loading,
            suspects: doc.suspects,
            demand: doc.demand.into_iter().collect(),
            arrivals: doc.arrivals.into_iter().collect(),
        }
    }
}
