//! Grants loads from the weight store to all nodes, if this node ranks first for that.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use briarswitch_core::id::Moment;
use briarswitch_core::load_ledger::{LoadLedger, LoadLimits};
use briarswitch_membership::RankedNode;

use crate::load_doc::LoadRequest;
use crate::shared::FleetShared;

/// Key by which the coordinator is ranked; all nodes must use the same.
pub(crate) const LOAD_RANK_KEY: &str = "loads";

/// This node does not coordinate loads in its own view.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("this node does not coordinate loads")]
pub struct NotLoadCoordinator;

/// Whether this node coordinates loads.
#[derive(Debug, Default)]
struct LoadRole {
    /// Checksum of the live nodes by which that was last determined.
    composition: Option<u64>,
    /// Loads that it has granted; `None` while another node coordinates them.
    ledger: Option<LoadLedger>,
}

/// Grants loads while this node coordinates them.
pub struct LoadCoordinator {
    shared: Arc<FleetShared>,
    role: Mutex<LoadRole>,
}

impl LoadCoordinator {
    /// Creates a coordinator that has granted nothing.
    pub fn new(shared: Arc<FleetShared>) -> Arc<Self> {
        Arc::new(Self {
            shared,
            role: Mutex::default(),
        })
    }

    /// Takes over or gives up the role if the live nodes have changed.
    pub fn refresh(&self, now: Moment) {
        let live = self.shared.live_view.load();
        let mut role = self.lock();
        if role.composition.replace(live.composition()) == Some(live.composition()) {
            return;
        }
        let is_own = live.coordinator_for(LOAD_RANK_KEY) == Some(RankedNode::Own);
        if is_own != role.ledger.is_some() {
            log::info!(coordinates = is_own; "load_coordinator_changed");
            role.ledger = is_own.then(|| LoadLedger::new(now));
        }
    }

    /// Returns how many of the wanted loads may begin.
    ///
    /// # Errors
    ///
    /// Returns [`NotLoadCoordinator`] if another node coordinates the loads.
    pub fn grant(&self, request: &LoadRequest, now: Moment) -> Result<usize, NotLoadCoordinator> {
        let mut role = self.lock();
        let ledger = role.ledger.as_mut().ok_or(NotLoadCoordinator)?;
        Ok(grant(&self.shared, ledger, request, now))
    }

    fn lock(&self) -> MutexGuard<'_, LoadRole> {
        self.role.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Grants loads from a ledger, by the limits in the configuration and the loads that all nodes report.
pub(crate) fn grant(
    shared: &FleetShared,
    ledger: &mut LoadLedger,
    request: &LoadRequest,
    now: Moment,
) -> usize {
    let config = shared.config.load();
    let services = config.as_ref().as_ref().map(|config| &config.services);
    let service = services.and_then(|services| services.get(&request.service));
    let Some(engine) = service.and_then(|service| service.engine.as_ref()) else {
        return 0;
    };
    let known = known_loads(shared);
    let limits = LoadLimits::from(engine);
    let granted = ledger.grant(request.wanted, request.urgency, &limits, known, now);
    if granted > 0 {
        log::info!(
            service = request.service.as_str(),
            wanted = request.wanted,
            granted = granted,
            known = known;
            "loads_granted"
        );
    }
    granted
}

/// Returns the number of loads in progress that all nodes report.
fn known_loads(shared: &FleetShared) -> usize {
    let remote = shared.peer_work.read().total_loading();
    let own: u32 = shared.active_loads.read().values().sum();
    (own + remote) as usize
}
