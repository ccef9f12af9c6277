//! Asks the coordinator of loads for permits.

use std::sync::Arc;
use std::time::Duration;

use briarswitch_http::{ApiClient, CallError, Codec};
use briarswitch_kernel::BootClock;
use briarswitch_membership::RankedNode;
use http::Method;

use crate::costs::CostKind;
use crate::load_coordinator::{LoadCoordinator, NotLoadCoordinator, LOAD_RANK_KEY};
use crate::load_doc::{LoadGrantDoc, LoadRequest, LoadRequestDoc, LOAD_PATH};
use crate::shared::FleetShared;

/// Time-out of a request to the coordinator, which responds at once.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(250);

/// Why the coordinator granted or denied nothing.
#[derive(Debug, thiserror::Error)]
pub enum LoadFailure {
    /// There is no coordinator, or this node is not it any more.
    #[error(transparent)]
    NotCoordinator(#[from] NotLoadCoordinator),
    /// The coordinator did not respond, or is not the coordinator in its own view.
    #[error(transparent)]
    Call(#[from] CallError),
}

/// Sends requests for loads to their coordinator.
pub struct LoadClient {
    shared: Arc<FleetShared>,
    coordinator: Arc<LoadCoordinator>,
    api: ApiClient,
}

impl LoadClient {
    /// Creates a client; `coordinator` is asked while this node coordinates the loads itself.
    pub fn new(shared: Arc<FleetShared>, coordinator: Arc<LoadCoordinator>) -> Arc<Self> {
        Arc::new(Self {
            shared,
            coordinator,
            api: ApiClient::new(Codec::MessagePack, None),
        })
    }

    /// Returns the coordinator on this node.
    pub fn coordinator(&self) -> &LoadCoordinator {
        &self.coordinator
    }

    /// Returns how many of the wanted loads may begin.
    ///
    /// # Errors
    ///
    /// Returns [`LoadFailure`] if there is no coordinator, or none that responds.
    pub async fn request(&self, request: &LoadRequest) -> Result<usize, LoadFailure> {
        let live = self.shared.live_view.load();
        match live.coordinator_for(LOAD_RANK_KEY) {
            None => Err(NotLoadCoordinator.into()),
            Some(RankedNode::Own) => Ok(self.coordinator.grant(request, BootClock::now())?),
            Some(RankedNode::Peer(entry)) => {
                self.shared.costs.count(CostKind::LoadRequested);
                let url = format!("http://{}{LOAD_PATH}", entry.address);
                let doc = LoadRequestDoc::from(request);
                let call = self
                    .api
                    .call(Method::POST, &url, Some(&doc), RESPONSE_TIMEOUT);
                let granted: LoadGrantDoc = call.await?;
                Ok(granted.into())
            }
        }
    }
}
