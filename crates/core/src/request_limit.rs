//! Limits on the requests that a target gets from all nodes together.

/// Lowest limit in requests per second, also for a target that states zero.
///
/// Without any request no response would say that the limit has ended.
pub const MIN_REQUESTS_PER_SECOND: f64 = 0.1;

/// A limit on the requests that a target gets from all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestLimit {
    per_second: f64,
}

impl RequestLimit {
    /// Creates a limit of so many requests per second, at least [`MIN_REQUESTS_PER_SECOND`].
    ///
    /// ```
    /// use briarswitch_core::request_limit::{RequestLimit, MIN_REQUESTS_PER_SECOND};
    ///
    /// assert_eq!(RequestLimit::per_second(2.4).rate(), 2.4);
    /// assert_eq!(RequestLimit::per_second(0.0).rate(), MIN_REQUESTS_PER_SECOND);
    /// ```
    pub fn per_second(rate: f64) -> Self {
        Self {
            per_second: rate.max(MIN_REQUESTS_PER_SECOND),
        }
    }

    /// Returns the requests per second.
    pub fn rate(&self) -> f64 {
        self.per_second
    }
}
