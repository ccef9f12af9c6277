//! Assigns machines to the nodes that watch them, by rendezvous hashing.

use xxhash_rust::xxh3::xxh3_64;

use crate::id::NodeId;

/// Number of nodes that watch each machine, so that evidence survives the loss of one of them.
pub const WATCHERS_PER_VM: usize = 2;

/// Returns the nodes that watch `vm`, in order of preference.
///
/// Highest-random-weight hashing (Thaler and Ravishankar, 1998): if a node joins or leaves, only
/// the machines that it watches are reassigned.
///
/// ```
/// use briarswitch_core::watch::watchers;
///
/// let nodes = ["a".to_owned(), "b".to_owned(), "c".to_owned()];
/// assert_eq!(watchers("vm-1", &nodes).len(), 2);
/// ```
pub fn watchers<'a>(vm: &str, nodes: &'a [NodeId]) -> Vec<&'a NodeId> {
    let mut ranked: Vec<_> = nodes.iter().map(|node| (score(vm, node), node)).collect();
    ranked.sort_by(|left, right| right.cmp(left));
    ranked
        .into_iter()
        .take(WATCHERS_PER_VM)
        .map(|(_, node)| node)
        .collect()
}

fn score(vm: &str, node: &str) -> u64 {
    xxh3_64(format!("{vm}\u{0}{node}").as_bytes())
}
