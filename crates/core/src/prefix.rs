//! Estimates which prompts a target has cached from the prompts that were sent to it.

use indexmap::IndexSet;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of a prompt that one block covers.
const BLOCK_BYTES: usize = 256;
/// Maximum number of leading blocks that are hashed.
const MAX_BLOCKS: usize = 64;

/// Hashes of a prompt's leading blocks; each hash also covers all preceding blocks.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PrefixChain {
    hashes: Vec<u64>,
}

impl PrefixChain {
    /// Hashes the leading blocks of a prompt.
    ///
    /// ```
    /// use briarswitch_core::prefix::PrefixChain;
    ///
    /// assert!(PrefixChain::of(b"short").is_empty());
    /// ```
    pub fn of(prompt: &[u8]) -> Self {
        let mut seed = 0;
        let hashes = prompt
            .chunks_exact(BLOCK_BYTES)
            .take(MAX_BLOCKS)
            .map(|block| {
                seed = xxh3_64_with_seed(block, seed);
                seed
            })
            .collect();
        Self { hashes }
    }

    /// Returns the index of the target that all nodes prefer for prompts with this prefix, or
    /// `None` if the prompt is shorter than one block. All nodes must list the targets in the same
    /// order.
    ///
    /// Nodes do not exchange which prompts they sent where. Rendezvous hashing of the first block
    /// makes them choose the same target, so that a prefix is cached at one target instead of at a
    /// different one for each node.
    ///
    /// ```
    /// use briarswitch_core::prefix::PrefixChain;
    ///
    /// let chain = PrefixChain::of(&[7; 300]);
    /// assert_eq!(chain.affinity_target(["a", "b"].into_iter()), chain.affinity_target(["a", "b"].into_iter()));
    /// ```
    pub fn affinity_target<'a>(&self, targets: impl Iterator<Item = &'a str>) -> Option<usize> {
        let first = *self.hashes.first()?;
        let scores = targets.map(|target| xxh3_64_with_seed(target.as_bytes(), first));
        let ranked = scores.enumerate().max_by_key(|(_, score)| *score);
        ranked.map(|(index, _)| index)
    }

    /// Returns whether the prompt is shorter than one block.
    pub fn is_empty(&self) -> bool {
        self.hashes.is_empty()
    }
}

/// Blocks that were recently sent to a target, in least-recently-used order.
#[derive(Clone, Debug)]
pub struct PrefixIndex {
    capacity: usize,
    blocks: IndexSet<u64>,
}

impl PrefixIndex {
    /// Creates an index of at most `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            blocks: IndexSet::new(),
        }
    }

    /// Returns the estimated share of a prompt's blocks that the target has cached, 0 to 1.
    pub fn cached_share(&self, chain: &PrefixChain) -> f64 {
        if chain.is_empty() {
            return 0.0;
        }
        let cached = chain
            .hashes
            .iter()
            .take_while(|hash| self.blocks.contains(*hash))
            .count();
        cached as f64 / chain.hashes.len() as f64
    }

    /// Records that a prompt was sent to the target.
    pub fn record(&mut self, chain: &PrefixChain) {
        for hash in &chain.hashes {
            self.blocks.shift_remove(hash);
            self.blocks.insert(*hash);
        }
        let over = self.blocks.len().saturating_sub(self.capacity);
        self.blocks.drain(..over);
    }
}

/// Hashes bytes to the same value on every node and after every restart.
///
/// ```
/// use briarswitch_core::prefix::stable_hash;
///
/// assert_eq!(stable_hash(b"a"), stable_hash(b"a"));
/// ```
pub fn stable_hash(bytes: &[u8]) -> u64 {
    xxh3_64_with_seed(bytes, 0)
}
