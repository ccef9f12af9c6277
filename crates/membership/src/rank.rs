//! Ranks by rendezvous hashing, on which nodes that know of each other agree without a word.

use std::cmp::Reverse;

use briarswitch_core::id::NodeId;
use xxhash_rust::xxh3::xxh3_64;

use crate::node::NodeEntry;

/// Multiplier that spreads the bits of two hashes; the golden ratio of 64 bits.
const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;

/// Hash of something that nodes rank for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RankKey(u64);

impl From<&str> for RankKey {
    fn from(thing: &str) -> Self {
        Self(xxh3_64(thing.as_bytes()))
    }
}

/// Returns the hash of a node's name, made once since it is ranked for many things.
pub fn node_hash(node: &str) -> u64 {
    xxh3_64(node.as_bytes())
}

/// Returns a node's rank for a thing; the lowest goes first.
///
/// ```
/// use briarswitch_membership::{node_hash, rank_of, RankKey};
///
/// let thing = RankKey::from("domain-1");
/// assert_ne!(rank_of(node_hash("n1"), thing), rank_of(node_hash("n2"), thing));
/// ```
pub fn rank_of(node_hash: u64, thing: RankKey) -> u64 {
    let mixed = (node_hash ^ thing.0).wrapping_mul(SPREAD);
    (mixed ^ (mixed >> 29)).wrapping_mul(SPREAD) ^ (mixed >> 32)
}

/// Returns the place of a node among those that may do something for others; the lowest goes first.
///
/// Nodes with more bandwidth go first: what one of them does for a zone would fill the links of the others.
pub(crate) fn bandwidth_rank(entry: &NodeEntry, hash: u64, thing: RankKey) -> (Reverse<u32>, u64) {
    (Reverse(entry.link_mbps), rank_of(hash, thing))
}

/// Returns the node that ranks first for a thing.
pub(crate) fn first_ranked<'a>(nodes: &'a [NodeId], thing: &str) -> Option<&'a NodeId> {
    let thing = RankKey::from(thing);
    nodes
        .iter()
        .min_by_key(|node| rank_of(node_hash(node), thing))
}
