//! Supply and demand of each model.

use briarswitch_core::engine::EngineSpec;
use briarswitch_core::id::{ModelId, Moment};
use briarswitch_core::traffic::ServiceSpec;
use indexmap::IndexMap;

use crate::routing_table::RoutingTable;

/// Supply and demand of one model.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ModelSupply {
    /// Groups that accept requests.
    pub groups: usize,
    /// Number of requests that these groups process concurrently.
    pub slots: u32,
    /// Requests at these groups, as far as this node knows.
    pub running_requests: u32,
    /// Demand, in groups.
    pub demanded_groups: f64,
}

/// Returns supply and demand of each model of an engine.
///
/// ```
/// use std::time::Duration;
///
/// use briarswitch_core::engine::{EngineSpec, ModelSpec};
/// use briarswitch_core::traffic::ServiceSpec;
/// use briarswitch_fleet::routing_table::RoutingTable;
/// use briarswitch_fleet::supply::model_supplies;
/// use indexmap::IndexMap;
///
/// let models = IndexMap::from([("chat".to_owned(), ModelSpec::default())]);
/// let engine = EngineSpec { models, ..EngineSpec::default() };
/// let service = ServiceSpec { id: "chat".to_owned(), max_connections: 9, engine: None, ..ServiceSpec::default() };
/// let demand = IndexMap::from([("chat".to_owned(), 2.5)]);
/// let now = Duration::ZERO;
/// let supplies = model_supplies(&service, &engine, &RoutingTable::default(), &demand, now);
/// assert_eq!(supplies["chat"].groups, 0);
/// assert_eq!(supplies["chat"].demanded_groups, 2.5);
/// ```
pub fn model_supplies(
    service: &ServiceSpec,
    engine: &EngineSpec,
    table: &RoutingTable,
    demand: &IndexMap<ModelId, f64>,
    now: Moment,
) -> IndexMap<ModelId, ModelSupply> {
    let supply = engine.models.keys().map(|model| {
        let groups = table.groups(&service.id, model);
        let supply = ModelSupply {
            groups: groups.len(),
            slots: engine.slots * u32::try_from(groups.len()).unwrap_or(u32::MAX),
            running_requests: groups
                .iter()
                .map(|group| group.gauge.estimated_load(now))
                .sum(),
            demanded_groups: demand.get(model).copied().unwrap_or_default(),
        };
        (model.clone(), supply)
    });
    supply.collect()
}

impl ModelSupply {
    /// Logs supply and demand.
    ///
    /// If requests are waiting while all slots are taken, there are too few groups. If requests are waiting
    /// while slots are free, the fault is in the assignment of requests.
    pub fn log(&self, service: &str, model: &str) {
        log::info!(
            service = service,
            model = model,
            groups = self.groups,
            places = self.slots,
            at_work = self.running_requests,
            wanted = format!("{:.1}", self.demanded_groups).as_str();
            "model_supply"
        );
    }
}
