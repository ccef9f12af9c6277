//! Slow start: limits the requests that reach a target before it has warmed up.

use std::time::Duration;

use crate::request_limit::RequestLimit;

/// How the targets of a service warm up.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WarmupSpec {
    /// Time that a target takes to warm up.
    pub duration: Duration,
    /// Requests per second that a target can take meanwhile, from all nodes together; zero if
    /// there is no limit.
    pub requests_per_second: f64,
}

impl WarmupSpec {
    /// Returns the limit of a target that warms up; `None` if the service has none.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use briarswitch_core::warmup::WarmupSpec;
    ///
    /// let spec = WarmupSpec { duration: Duration::from_secs(3), requests_per_second: 14.0 };
    /// assert_eq!(spec.limit().map(|limit| limit.requests()), Some(14));
    /// assert_eq!(WarmupSpec::default().limit(), None);
    /// ```
    pub fn limit(&self) -> Option<RequestLimit> {
        (self.requests_per_second > 0.0).then(|| RequestLimit::per_second(self.requests_per_second))
    }
}
