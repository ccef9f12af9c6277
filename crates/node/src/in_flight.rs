//! Counts requests in flight, so that a shutdown can wait for the last one.

use std::sync::atomic::Ordering;
use std::sync::Arc;

use crate::shared::NodeShared;

/// One request in flight; it ends when the last clone is dropped.
#[derive(Clone)]
pub struct InFlightGuard {
    _count: Arc<InFlightCount>,
}

struct InFlightCount {
    shared: Arc<NodeShared>,
}

impl InFlightGuard {
    /// Counts a request in, or returns `None` when as many as allowed are in flight.
    pub fn acquire(shared: &Arc<NodeShared>) -> Option<Self> {
        let limit = shared.settings.requests.in_flight;
        let before = shared.in_flight.fetch_add(1, Ordering::SeqCst);
        let mark = InFlightCount {
            shared: Arc::clone(shared),
        };
        (before < limit).then(|| Self {
            _count: Arc::new(mark),
        })
    }
}

impl Drop for InFlightCount {
    fn drop(&mut self) {
        self.shared.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}
