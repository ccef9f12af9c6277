//! Layouts of a service's domains: how many targets in each domain should serve which model.

use std::time::Duration;

use briarswitch_core::engine::EngineSpec;
use briarswitch_core::id::*;
use briarswitch_core::layout::{plan_layout, DomainInventory, DomainLayout, LayoutPhase};
use briarswitch_core::load_ledger::LoadUrgency;
use briarswitch_core::rebalance::{plan_rebalance, RebalanceParams};
use indexmap::IndexMap;

/// Interval between two plans for all domains.
///
/// A plan considers all targets of the service. Losses are repaired with the current layout and do not wait for
/// the next plan.
const LAYOUT_INTERVAL: Duration = Duration::from_millis(150);
/// Interval between two rebalancing plans, which try every number of targets in every domain.
///
/// In the meantime, nodes learn of the loads that the others have begun.
const REBALANCE_INTERVAL: Duration = Duration::from_secs(1);

/// Inputs of a plan.
#[derive(Clone, Copy, Debug)]
pub struct LayoutInputs<'a> {
    /// Models and speeds of the engine.
    pub engine: &'a EngineSpec,
    /// Inventory of each domain.
    pub inventory: &'a [DomainInventory],
    /// Current demand by model, in groups.
    pub demand: &'a IndexMap<ModelId, f64>,
    /// Demand over a longer time; `None` if targets must not be rebalanced between models.
    pub trend: Option<&'a IndexMap<ModelId, f64>>,
    /// Number of targets that are loading each model's weights and are not in the inventory yet.
    pub loading: &'a IndexMap<ModelId, usize>,
    /// Whether this is the first start of the whole system and no request has arrived yet.
    pub is_first_start: bool,
    /// Current time.
    pub now: Moment,
}

/// The layouts of a service's domains, and when they were planned.
#[derive(Clone, Debug, Default)]
pub struct ServiceLayouts {
    planned_at: Moment,
    rebalanced_at: Moment,
    is_rebalance: bool,
    /// Number of targets by domain, if the layouts were planned before the first request.
    startup_sizes: Option<Vec<usize>>,
    of_domain: IndexMap<DomainId, DomainLayout>,
}

impl ServiceLayouts {
    /// Returns whether the layouts have to be planned again.
    ///
    /// A rebalancing plan is used for one round only, so that its loads count once against the limit.
    pub fn is_due(&self, now: Moment) -> bool {
        self.is_rebalance || now >= self.planned_at + LAYOUT_INTERVAL
    }

    /// Returns a domain's layout.
    pub fn of_domain(&self, domain: &str) -> Option<&DomainLayout> {
        self.of_domain.get(domain)
    }

    /// Returns why the layouts need loads.
    pub fn urgency(&self) -> LoadUrgency {
        if self.is_rebalance {
            LoadUrgency::Rebalance
        } else {
            LoadUrgency::Repair
        }
    }

    /// Returns the largest number of loads that may begin in one domain with this plan.
    ///
    /// While targets are rebalanced, each domain gets only a part, so that its plan follows the loads of the others.
    pub fn max_loads(&self, engine: &EngineSpec) -> usize {
        if !self.is_rebalance {
            return usize::MAX;
        }
        let domains = self.of_domain.len().max(1);
        (engine.parallel_loads / domains).max(1)
    }

    /// Plans the layouts again.
    ///
    /// Before the first request, the result depends only on the number of targets. Planning then takes tens of
    /// milliseconds for 12,000 targets, so it is repeated only if that number changes.
    pub fn replan(self, inputs: LayoutInputs<'_>) -> Self {
        let targets: Vec<usize> = inputs
            .inventory
            .iter()
            .map(DomainInventory::targets)
            .collect();
        if inputs.is_first_start && self.startup_sizes.as_ref() == Some(&targets) {
            return Self {
                planned_at: inputs.now,
                ..self
            };
        }
        let trend = inputs.trend.filter(|_| !inputs.is_first_start);
        let trend = trend.filter(|_| inputs.now >= self.rebalanced_at + REBALANCE_INTERVAL);
        let rebalanced = trend.map(|demand| {
            plan_rebalance(RebalanceParams {
                engine: inputs.engine,
                demand,
                domains: inputs.inventory,
                loading: inputs.loading,
            })
        });
        let phase = if inputs.is_first_start {
            LayoutPhase::Start
        } else {
            LayoutPhase::Serving
        };
        let is_rebalance = rebalanced.is_some();
        Self {
            planned_at: inputs.now,
            rebalanced_at: if is_rebalance {
                inputs.now
            } else {
                self.rebalanced_at
            },
            is_rebalance,
            startup_sizes: inputs.is_first_start.then_some(targets),
            of_domain: rebalanced.unwrap_or_else(|| {
                plan_layout(inputs.engine, inputs.demand, inputs.inventory, phase)
            }),
        }
    }
}
