//! Limits of each connection of a listener.

use std::time::Duration;

/// Head limit of listeners that are told none, in bytes.
const DEFAULT_HEAD_BYTES: usize = 64 << 10;
/// Body limit of listeners that are told none, in bytes.
const DEFAULT_BODY_BYTES: usize = 4 << 20;
/// Time for a head at listeners that are told none.
const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which a connection may be idle at listeners that are told none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(120);
/// Bytes of a head beyond its headers: the request line.
const REQUEST_LINE_BYTES: usize = 16 << 10;
/// Bytes read of a head for each byte that its headers may have, so that most heads over the limit
/// are answered with a body that says so.
const HEAD_FACTOR: usize = 2;

/// Limits of each connection of a listener.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionLimits {
    /// Largest head of a request in bytes, with its request line and its separators.
    pub head_bytes: usize,
    /// Largest body of a request in bytes.
    pub body_bytes: usize,
    /// Time in which a head has to arrive, from its first byte on.
    pub head_timeout: Duration,
    /// Time for which a connection may be idle.
    pub idle_timeout: Duration,
}

/// Tells the limits in force; they may change while a listener runs.
pub trait LimitSource: Send + Sync {
    /// Returns the limits of connections that are accepted now.
    fn connection_limits(&self) -> ConnectionLimits;
}

impl ConnectionLimits {
    /// Returns the limits with a head that holds headers of `header_bytes`, names and values together.
    ///
    /// ```
    /// use briarswitch_http::ConnectionLimits;
    ///
    /// let limits = ConnectionLimits::default().with_header_bytes(16 << 10);
    /// assert_eq!(limits.head_bytes, 48 << 10);
    /// ```
    #[must_use]
    pub fn with_header_bytes(self, header_bytes: usize) -> Self {
        Self {
            head_bytes: header_bytes
                .saturating_mul(HEAD_FACTOR)
                .saturating_add(REQUEST_LINE_BYTES),
            ..self
        }
    }
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        Self {
            head_bytes: DEFAULT_HEAD_BYTES,
            body_bytes: DEFAULT_BODY_BYTES,
            head_timeout: DEFAULT_HEAD_TIMEOUT,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
        }
    }
}

impl LimitSource for ConnectionLimits {
    fn connection_limits(&self) -> ConnectionLimits {
        *self
    }
}
