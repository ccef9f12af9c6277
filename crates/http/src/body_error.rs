//! Errors of bodies.

use crate::account::AccountFull;

/// Error while reading a body.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum BodyError {
    /// The body exceeds the size limit.
    #[error("the body is larger than {limit} bytes")]
    TooLarge {
        /// Maximum size in bytes.
        limit: usize,
    },
    /// The connection was closed before the end of the body.
    #[error("the body ended before its announced length")]
    Incomplete,
    /// The process holds as many bytes as it may.
    #[error(transparent)]
    NoRoom(#[from] AccountFull),
}
