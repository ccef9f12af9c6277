//! Idempotency keys that a node hands out and that only it, in the same life, may act on.

use std::fmt;

use crate::id::{Incarnation, NodeId};

/// Begins every minted key, to tell them from callers' own.
const PREFIX: &str = "bk.";

/// A key bound to one life of one node.
///
/// Work under such a key needs no claim in the table, since nobody else may begin it; that keeps
/// calls that may not be repeated going while the platform is away. When the node's life ends
/// nobody can tell any more what ran, and the key is refused as unknown.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MintedKey {
    /// Node that minted it.
    pub node: NodeId,
    /// Life of that node.
    pub incarnation: Incarnation,
    /// Tells the keys of one life apart.
    pub nonce: u64,
}

impl MintedKey {
    /// Reads a key, or returns `None` for a caller's own.
    ///
    /// ```
    /// use briarswitch_core::minted_key::MintedKey;
    ///
    /// let key = MintedKey { node: "hall-a-1".into(), incarnation: 7, nonce: 9 };
    /// assert_eq!(MintedKey::parse(&key.to_string()), Some(key));
    /// assert_eq!(MintedKey::parse("order-1"), None);
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.strip_prefix(PREFIX)?.rsplitn(3, '.');
        let nonce = u64::from_str_radix(parts.next()?, 16).ok()?;
        let incarnation = parts.next()?.parse().ok()?;
        let node = parts.next()?.to_owned();
        Some(Self {
            node,
            incarnation,
            nonce,
        })
    }
}

impl fmt::Display for MintedKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            node,
            incarnation,
            nonce,
        } = self;
        write!(formatter, "{PREFIX}{node}.{incarnation}.{nonce:x}")
    }
}
