//! A node as it makes itself known.

use briarswitch_core::id::{Incarnation, NodeId, ZoneId};

/// One node as it registers itself.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct NodeEntry {
    /// Name.
    pub node: NodeId,
    /// Zone.
    pub zone: ZoneId,
    /// Address for other nodes.
    pub address: String,
    /// Life of its process.
    pub incarnation: Incarnation,
    /// Bandwidth of its link in Mbit/s; of the nodes of a zone those with more do the zone's work.
    pub link_mbps: u32,
}
