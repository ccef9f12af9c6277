//! Requests for loads from the weight store, and their wire format between nodes.

use briarswitch_core::id::ServiceId;
use briarswitch_core::load_ledger::LoadUrgency;
use serde::{Deserialize, Serialize};

/// Path at which the coordinator of loads grants them.
pub const LOAD_PATH: &str = "/loads";

/// A node's request to begin loads.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadRequest {
    /// Service whose targets load.
    pub service: ServiceId,
    /// Number of loads.
    pub wanted: usize,
    /// Why they are needed.
    pub urgency: LoadUrgency,
}

/// [`LoadRequest`] on the wire: service, number of loads, whether they rebalance.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LoadRequestDoc(ServiceId, u32, bool);

/// Number of granted loads on the wire.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct LoadGrantDoc(u32);

impl From<&LoadRequest> for LoadRequestDoc {
    fn from(request: &LoadRequest) -> Self {
        let wanted = u32::try_from(request.wanted).unwrap_or(u32::MAX);
        let is_rebalance = request.urgency == LoadUrgency::Rebalance;
        Self(request.service.clone(), wanted, is_rebalance)
    }
}

impl From<LoadRequestDoc> for LoadRequest {
    fn from(LoadRequestDoc(service, wanted, is_rebalance): LoadRequestDoc) -> Self {
        Self {
            service,
            wanted: wanted as usize,
            urgency: if is_rebalance {
                LoadUrgency::Rebalance
            } else {
                LoadUrgency::Repair
            },
        }
    }
}

impl From<usize> for LoadGrantDoc {
    fn from(granted: usize) -> Self {
        Self(u32::try_from(granted).unwrap_or(u32::MAX))
    }
}

impl From<LoadGrantDoc> for usize {
    fn from(LoadGrantDoc(granted): LoadGrantDoc) -> Self {
        granted as Self
    }
}
