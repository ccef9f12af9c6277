//! Counts requests in flight, so that a shutdown can wait for the last one.

use std::sync::atomic::Ordering;
use std::sync::Arc;

use crate::shared::NodeShared;

/// One request in flight; it ends when the last clone is dropped.
#[derive(Clone)]
pub struct FlightGuard {
    _mark: Arc<FlightMark>,
}

struct FlightMark {
    shared: Arc<NodeShared>,
}

impl FlightGuard {
    /// Counts a request in, or returns `None` when as many as allowed are in flight.
    pub fn open(shared: &Arc<NodeShared>) -> Option<Self> {
        let limit = shared.settings.requests.in_flight;
        let before = shared.in_flight.fetch_add(1, Ordering::SeqCst);
        let mark = FlightMark {
            shared: Arc::clone(shared),
        };
        (before < limit).then(|| Self {
            _mark: Arc::new(mark),
        })
    }
}

impl Drop for FlightMark {
    fn drop(&mut self) {
        self.shared.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}
