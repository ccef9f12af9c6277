//! Counts the requests in flight, to limit them and to let a shutdown wait for them.

use std::sync::atomic::Ordering;
use std::sync::Arc;

use crate::shared::NodeShared;

/// Counts one request as in flight until its last clone is dropped.
#[derive(Clone)]
pub struct InFlightGuard {
    _count: Arc<InFlightCount>,
}

struct InFlightCount {
    shared: Arc<NodeShared>,
}

impl InFlightGuard {
    /// Counts a request, or returns `None` if the maximum number is in flight.
    pub fn acquire(shared: &Arc<NodeShared>) -> Option<Self> {
        let limit = shared.settings.requests.in_flight;
        let before = shared.in_flight.fetch_add(1, Ordering::SeqCst);
        let count = InFlightCount {
            shared: Arc::clone(shared),
        };
        (before < limit).then(|| Self {
            _count: Arc::new(count),
        })
    }
}

impl Drop for InFlightCount {
    fn drop(&mut self) {
        self.shared.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}
