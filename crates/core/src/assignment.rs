//! Which model each fabric domain serves.
//!
//! A domain serves one model. When members are lost, the rest of its groups and its spares all hold
//! the same weights and form as many whole groups as their number allows, at once. In a domain with
//! several models the rest of one can not complete the other without loading weights, which takes
//! longer than most failures are apart.

use indexmap::IndexMap;

use crate::engine::{EngineModel, ModelSpec};
use crate::id::{DomainId, ModelId, ZoneId};

/// What is known of one domain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DomainStock {
    /// Domain.
    pub domain: DomainId,
    /// Zone of most of its targets.
    pub zone: ZoneId,
    /// Targets.
    pub targets: usize,
    /// Targets that hold each model's weights.
    pub staged: IndexMap<ModelId, usize>,
}

/// Returns the model of each domain.
///
/// A domain that holds weights keeps the model that most of its targets hold. The others are given
/// one in order: first a model that their zone lacks, since a zone that is cut off has to serve
/// alone, and among these the one whose demand is least covered. Every controller computes the same
/// from the same list.
pub fn assign_models(
    engine: &EngineModel,
    demand: &IndexMap<ModelId, f64>,
    domains: &[DomainStock],
) -> IndexMap<DomainId, ModelId> {
    let mut plan = AssignmentPlan::default();
    let mut open = Vec::new();
    for stock in domains {
        match held_model(engine, stock) {
            Some(model) => plan.place(stock, model),
            None => open.push(stock),
        }
    }
    for stock in open {
        let fitting = engine
            .models
            .values()
            .filter(|model| model.size > 0 && model.size <= stock.targets);
        let best = fitting.max_by(|left, right| {
            let lacking = plan.in_zone(stock, right).cmp(&plan.in_zone(stock, left));
            let (left, right) = (
                plan.need(stock, left, demand),
                plan.need(stock, right, demand),
            );
            lacking.then(left.total_cmp(&right))
        });
        if let Some(model) = best {
            plan.place(stock, model);
        }
    }
    plan.assigned
}

#[derive(Default)]
struct AssignmentPlan {
    assigned: IndexMap<DomainId, ModelId>,
    groups: IndexMap<ModelId, f64>,
    zones: IndexMap<(ZoneId, ModelId), usize>,
}

impl AssignmentPlan {
    fn place(&mut self, stock: &DomainStock, model: &ModelSpec) {
        let groups = stock.targets / model.size.max(1);
        *self.groups.entry(model.id.clone()).or_insert(0.0) += groups as f64;
        let key = (stock.zone.clone(), model.id.clone());
        *self.zones.entry(key).or_insert(0) += 1;
        self.assigned.insert(stock.domain.clone(), model.id.clone());
    }

    /// Returns the domains of the zone that serve the model already.
    fn in_zone(&self, stock: &DomainStock, model: &ModelSpec) -> usize {
        let key = (stock.zone.clone(), model.id.clone());
        self.zones.get(&key).copied().unwrap_or(0)
    }

    /// Returns the demand for each group that there would be.
    fn need(&self, stock: &DomainStock, model: &ModelSpec, demand: &IndexMap<ModelId, f64>) -> f64 {
        let demand = demand.get(&model.id).copied().unwrap_or(model.share);
        let groups = self.groups.get(&model.id).copied().unwrap_or(0.0);
        demand / (groups + (stock.targets / model.size.max(1)) as f64)
    }
}

fn held_model<'a>(engine: &'a EngineModel, stock: &DomainStock) -> Option<&'a ModelSpec> {
    let held = stock.staged.iter().filter(|(_, count)| **count > 0);
    let (model, _) = held.max_by_key(|(_, count)| **count)?;
    engine.models.get(model)
}
