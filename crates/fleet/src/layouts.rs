//! What the domains of a service should hold, decided anew now and then.

use std::time::Duration;

use briarswitch_core::engine::EngineModel;
use briarswitch_core::exchange::{plan_exchange, ExchangeTerms};
use briarswitch_core::id::*;
use briarswitch_core::layout::{plan_layout, DomainLayout, DomainStock, LayoutPhase};
use indexmap::IndexMap;

/// Time between two decisions on what all domains should hold.
///
/// A decision looks at every target of the service; a loss is answered with the weights at hand and does
/// not wait for one.
const LAYOUT_INTERVAL: Duration = Duration::from_millis(150);
/// Time between two decisions on exchanges, each of which tries every number of targets in every domain.
///
/// Meanwhile the nodes hear of the loads that the others have begun.
const REBALANCE_INTERVAL: Duration = Duration::from_secs(1);

/// Part of the loads under way at once that exchanges may bring them to.
const REBALANCE_LOAD_SHARE: f64 = 0.6;

/// What a decision rests on.
#[derive(Clone, Copy, Debug)]
pub struct LayoutInputs<'a> {
    /// Models.
    pub engine: &'a EngineModel,
    /// What each domain holds.
    pub inventory: &'a [DomainStock],
    /// Groups that each model's callers fill now.
    pub demand: &'a IndexMap<ModelId, f64>,
    /// The same over a longer time, if weights may be exchanged.
    pub trend: Option<&'a IndexMap<ModelId, f64>>,
    /// Targets that are loading each model's weights where the stock does not show it.
    pub loading: &'a IndexMap<ModelId, usize>,
    /// Whether the whole system starts and no caller has come yet.
    pub is_first_start: bool,
    /// Moment.
    pub now: Moment,
}

/// What the domains of a service should hold, and when that was decided.
#[derive(Clone, Debug, Default)]
pub struct ServiceLayouts {
    planned_at: Moment,
    rebalanced_at: Moment,
    is_rebalance: bool,
    /// Targets of each domain, where it was decided before the first caller.
    startup_sizes: Option<Vec<usize>>,
    of_domain: IndexMap<DomainId, DomainLayout>,
}

impl ServiceLayouts {
    /// Returns whether it is time for another decision.
    ///
    /// An exchange is carried out in one round, so that the loads which may begin at a time are counted once.
    pub fn is_due(&self, now: Moment) -> bool {
        self.is_rebalance || now >= self.planned_at + LAYOUT_INTERVAL
    }

    /// Returns what a domain should hold.
    pub fn of_domain(&self, domain: &str) -> Option<&DomainLayout> {
        self.of_domain.get(domain)
    }

    /// Returns the loads that may begin in one domain now, of those that may begin in all.
    ///
    /// While weights are exchanged, all domains may begin before their nodes hear of each other, and some of the
    /// loads are kept for targets that come in place of lost ones.
    pub fn load_budget(&self, engine: &EngineModel, budget: usize) -> usize {
        if !self.is_rebalance {
            return budget;
        }
        let reserved = engine.loads_at_once as f64 * (1.0 - REBALANCE_LOAD_SHARE);
        let left = budget.saturating_sub(reserved.round() as usize);
        let domains = self.of_domain.len().max(1);
        left.min((engine.loads_at_once / domains).max(1))
    }

    /// Decides anew.
    ///
    /// Before the first caller only the number of targets counts, and the search takes tens of milliseconds at
    /// 12,000 of them, so it is made again only when that changes.
    pub fn replan(self, inputs: LayoutInputs<'_>) -> Self {
        let targets: Vec<usize> = inputs.inventory.iter().map(DomainStock::targets).collect();
        if inputs.is_first_start && self.startup_sizes.as_ref() == Some(&targets) {
            return Self {
                planned_at: inputs.now,
                ..self
            };
        }
        let trend = inputs.trend.filter(|_| !inputs.is_first_start);
        let trend = trend.filter(|_| inputs.now >= self.rebalanced_at + REBALANCE_INTERVAL);
        let rebalanced = trend.map(|demand| {
            plan_exchange(ExchangeTerms {
                engine: inputs.engine,
                demand,
                domains: inputs.inventory,
                coming: inputs.loading,
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
