//! How many places each model has, how many are taken, and how many its callers would fill.

use briarswitch_core::engine::EngineSpec;
use briarswitch_core::id::{ModelId, Moment};
use briarswitch_core::traffic::ServiceSpec;
use indexmap::IndexMap;

use crate::table::TargetTable;

/// What one model has and is asked for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ModelSupply {
    /// Groups that take requests.
    pub groups: usize,
    /// Requests that they work on at once.
    pub places: u32,
    /// Requests at work there, as far as this node knows.
    pub at_work: u32,
    /// Groups that the callers' requests would fill.
    pub wanted: f64,
}

/// Returns what the models of an engine have and are asked for.
///
/// ```
/// use std::time::Duration;
///
/// use briarswitch_core::engine::{EngineSpec, ModelSpec};
/// use briarswitch_core::traffic::ServiceSpec;
/// use briarswitch_fleet::supply::supplies;
/// use briarswitch_fleet::table::TargetTable;
/// use indexmap::IndexMap;
///
/// let models = IndexMap::from([("chat".to_owned(), ModelSpec::default())]);
/// let engine = EngineSpec { models, ..EngineSpec::default() };
/// let service = ServiceSpec { id: "chat".to_owned(), max_connections: 9, engine: None };
/// let demand = IndexMap::from([("chat".to_owned(), 2.5)]);
/// let now = Duration::ZERO;
/// let supplies = supplies(&service, &engine, &TargetTable::default(), &demand, now);
/// assert_eq!(supplies["chat"].groups, 0);
/// assert_eq!(supplies["chat"].wanted, 2.5);
/// ```
pub fn supplies(
    service: &ServiceSpec,
    engine: &EngineSpec,
    table: &TargetTable,
    demand: &IndexMap<ModelId, f64>,
    now: Moment,
) -> IndexMap<ModelId, ModelSupply> {
    let supply = engine.models.keys().map(|model| {
        let groups = table.groups(&service.id, model);
        let supply = ModelSupply {
            groups: groups.len(),
            places: engine.slots * u32::try_from(groups.len()).unwrap_or(u32::MAX),
            at_work: groups.iter().map(|group| group.gauge.load_at(now)).sum(),
            wanted: demand.get(model).copied().unwrap_or_default(),
        };
        (model.clone(), supply)
    });
    supply.collect()
}

impl ModelSupply {
    /// Writes it to the log.
    ///
    /// While callers wait, places that are all taken mean that groups are missing, and free ones that
    /// requests do not find them.
    pub fn log(&self, service: &str, model: &str) {
        log::info!(
            service = service,
            model = model,
            groups = self.groups,
            places = self.places,
            at_work = self.at_work,
            wanted = format!("{:.1}", self.wanted).as_str();
            "model_supply"
        );
    }
}
