//! Idempotency keys issued by a node, which only the same incarnation of that node may use.

use std::fmt;

use crate::id::{Incarnation, NodeId};

/// Prefix that distinguishes issued keys from keys chosen by callers.
const PREFIX: &str = "bk.";

/// A key bound to one incarnation of one node.
///
/// Work under such a key needs no claim in the table, because no other node may begin it. This
/// keeps non-repeatable calls working while the platform is unavailable. Once the incarnation has
/// ended, it is no longer known what ran, and the key is rejected as unknown.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MintedKey {
    /// Node that issued it.
    pub node: NodeId,
    /// Incarnation of that node.
    pub incarnation: Incarnation,
    /// Distinguishes the keys of one incarnation.
    pub nonce: u64,
}

impl MintedKey {
    /// Parses an issued key; returns `None` for a key chosen by a caller.
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
