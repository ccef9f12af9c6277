//! Rendezvous hashing: nodes that know the same nodes compute the same ranks without communicating.

use std::cmp::Reverse;

use briarswitch_core::id::NodeId;
use xxhash_rust::xxh3::xxh3_64;

use crate::node::NodeEntry;

/// Multiplier that mixes the bits of two hashes: 2^64 divided by the golden ratio.
const MIX_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Hash of a key for which nodes are ranked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RankKey(u64);

impl From<&str> for RankKey {
    fn from(key: &str) -> Self {
        Self(xxh3_64(key.as_bytes()))
    }
}

/// Returns the hash of a node's name. Callers keep it, since a node is ranked for many keys.
pub fn node_hash(node: &str) -> u64 {
    xxh3_64(node.as_bytes())
}

/// Returns a node's rank for a key; the lowest comes first.
///
/// ```
/// use briarswitch_membership::{node_hash, rank_of, RankKey};
///
/// let key = RankKey::from("domain-1");
/// assert_ne!(rank_of(node_hash("n1"), key), rank_of(node_hash("n2"), key));
/// ```
pub fn rank_of(node_hash: u64, key: RankKey) -> u64 {
    let mixed = (node_hash ^ key.0).wrapping_mul(MIX_MULTIPLIER);
    (mixed ^ (mixed >> 29)).wrapping_mul(MIX_MULTIPLIER) ^ (mixed >> 32)
}

/// Returns a node's rank for a task that it does for other nodes; the lowest comes first.
///
/// Nodes with more bandwidth come first, since the traffic of such a task would saturate a slower link.
pub(crate) fn bandwidth_rank(entry: &NodeEntry, hash: u64, key: RankKey) -> (Reverse<u32>, u64) {
    (Reverse(entry.link_mbps), rank_of(hash, key))
}

/// Returns the node that ranks first for a key.
pub(crate) fn first_ranked<'a>(nodes: &'a [NodeId], key: &str) -> Option<&'a NodeId> {
    let key = RankKey::from(key);
    nodes
        .iter()
        .min_by_key(|node| rank_of(node_hash(node), key))
}
