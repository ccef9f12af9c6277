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
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);

/// Part of the loads under way at once that exchanges may bring them to.
const EXCHANGE_PART: f64 = 0.6;

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
    pub is_start: bool,
    /// Moment.
    pub now: Moment,
}

/// What the domains of a service should hold, and when that was decided.
#[derive(Clone, Debug, Default)]
pub struct ServiceLayouts {
    planned: Moment,
    exchanged: Moment,
    is_exchange: bool,
    /// Targets of each domain, where it was decided before the first caller.
    start_of: Option<Vec<usize>>,
    of_domain: IndexMap<DomainId, DomainLayout>,
}

impl ServiceLayouts {
    /// Returns whether it is time for another decision.
    ///
    /// An exchange is carried out in one round, so that the loads which may begin at a time are counted once.
    pub fn is_due(&self, now: Moment) -> bool {
        self.is_exchange || now >= self.planned + LAYOUT_INTERVAL
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
        if !self.is_exchange {
            return budget;
        }
        let kept = engine.loads_at_once as f64 * (1.0 - EXCHANGE_PART);
        let left = budget.saturating_sub(kept.round() as usize);
        let domains = self.of_domain.len().max(1);
        left.min((engine.loads_at_once / domains).max(1))
    }

    /// Decides anew.
    ///
    /// Before the first caller only the number of targets counts, and the search takes tens of milliseconds at
    /// 12,000 of them, so it is made again only when that changes.
    pub fn replan(self, basis: LayoutInputs<'_>) -> Self {
        let targets: Vec<usize> = basis.inventory.iter().map(DomainStock::targets).collect();
        if basis.is_start && self.start_of.as_ref() == Some(&targets) {
            return Self {
                planned: basis.now,
                ..self
            };
        }
        let trend = basis.trend.filter(|_| !basis.is_start);
        let trend = trend.filter(|_| basis.now >= self.exchanged + EXCHANGE_INTERVAL);
        let exchanged = trend.map(|demand| {
            plan_exchange(ExchangeTerms {
                engine: basis.engine,
                demand,
                domains: basis.inventory,
                coming: basis.loading,
            })
        });
        let phase = if basis.is_start {
            LayoutPhase::Start
        } else {
            LayoutPhase::Serving
        };
        let is_exchange = exchanged.is_some();
        Self {
            planned: basis.now,
            exchanged: if is_exchange {
                basis.now
            } else {
                self.exchanged
            },
            is_exchange,
            start_of: basis.is_start.then_some(targets),
            of_domain: exchanged
                .unwrap_or_else(|| plan_layout(basis.engine, basis.demand, basis.inventory, phase)),
        }
    }
}
