//! Registered description of a node.

use briarswitch_core::id::{Incarnation, NodeId, ZoneId};

/// Entry of a node in the registry.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct NodeEntry {
    /// Name of the node.
    pub node: NodeId,
    /// Zone that it runs in.
    pub zone: ZoneId,
    /// Address at which other nodes reach it.
    pub address: String,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Bandwidth of its link in Mbit/s; nodes with more bandwidth are preferred as hubs and store readers.
    pub link_mbps: u32,
}
