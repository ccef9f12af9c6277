//! Plans changeovers of a service's groups between its models, from the need and the targets of all domains.

use std::time::Duration;

use briarswitch_core::assembly::{ChangeoverEvent, DomainReconciler, TargetFacts, TargetStatus};
use briarswitch_core::changeover::{
    plan_changeover, ChangeoverParams, ChangeoverPlan, DomainSupply, ModelNeed, StandbyPlan,
    TargetSupply,
};
use briarswitch_core::engine::EngineSpec;
use briarswitch_core::id::*;
use briarswitch_core::target::{Membership, TargetRecord};
use briarswitch_membership::WorkSum;
use indexmap::IndexMap;

use crate::domains::InventoryItem;
use crate::metrics::FleetMetrics;
use crate::supply::ModelSupply;

/// A target as its own controller knows it.
#[derive(Clone, Copy)]
pub struct OwnTarget<'a> {
    /// Its last report and its status.
    pub facts: &'a TargetFacts,
    /// Reconciler of its domain.
    pub reconciler: &'a DomainReconciler,
}

/// Inputs of a plan.
#[derive(Clone, Copy)]
pub struct ChangeoverInputs<'a> {
    /// Engine with its models.
    pub engine: &'a EngineSpec,
    /// Need of each model.
    pub need: &'a IndexMap<ModelId, ModelNeed>,
    /// Groups and targets of each domain.
    pub domains: &'a [DomainSupply],
    /// Whether this node sees the need and the targets of the whole fleet.
    pub is_connected: bool,
    /// Current time.
    pub now: Moment,
}

/// Changeovers of one service.
#[derive(Clone, Debug, Default)]
pub struct ServiceChangeovers {
    plan: ChangeoverPlan,
    logged: StandbyPlan,
}

impl ServiceChangeovers {
    /// Plans the changeovers again.
    ///
    /// A node that is cut off sees only part of the need, and plans none.
    pub fn replan(&mut self, service: &str, inputs: ChangeoverInputs<'_>) -> &ChangeoverPlan {
        self.plan = if inputs.is_connected {
            plan_changeover(ChangeoverParams {
                engine: inputs.engine,
                need: inputs.need,
                domains: inputs.domains,
                previous: &self.plan,
                now: inputs.now,
            })
        } else {
            ChangeoverPlan::default()
        };
        if self.plan.standbys.shares != self.logged.shares {
            self.logged = self.plan.standbys.clone();
            self.log_standbys(service);
        }
        &self.plan
    }

    fn log_standbys(&self, service: &str) {
        let shares = self.logged.shares.iter().flat_map(|(domain, shares)| {
            let shares = shares.iter();
            shares.map(move |share| {
                let (serves, prepares) = (&share.serves, &share.prepares);
                format!("{domain}:{serves}>{prepares}:{}", share.groups)
            })
        });
        let standbys = shares.collect::<Vec<String>>().join(",");
        let loads: usize = self.logged.loads.values().sum();
        log::info!(
            service = service,
            standbys = standbys.as_str(),
            loads = loads;
            "standby_planned"
        );
    }
}

/// Returns the need of each model in groups.
///
/// The requests that arrive during the time that one holds a slot take the place of those that are running, so the
/// larger of both counts.
///
/// ```
/// use briarswitch_core::engine::{EngineSpec, ModelSpec};
/// use briarswitch_fleet::changeovers::model_needs;
/// use briarswitch_fleet::supply::ModelSupply;
/// use briarswitch_membership::WorkSum;
/// use indexmap::IndexMap;
///
/// let engine = EngineSpec { slots: 10, ..EngineSpec::default() };
/// let supply = ModelSupply { running_requests: 20, demanded_groups: 2.0, ..ModelSupply::default() };
/// let work = WorkSum { waiting: [("chat".to_owned(), 15)].into(), ..WorkSum::default() };
/// let needs = model_needs(&engine, &IndexMap::from([("chat".to_owned(), supply)]), &work);
/// assert_eq!(needs["chat"].short_term, 3.5);
/// assert_eq!(needs["chat"].sustained, 2.0);
/// ```
pub fn model_needs(
    engine: &EngineSpec,
    supplies: &IndexMap<ModelId, ModelSupply>,
    work: &WorkSum,
) -> IndexMap<ModelId, ModelNeed> {
    let slots = f64::from(engine.slots.max(1));
    let needs = supplies.iter().map(|(model, supply)| {
        let running = f64::from(supply.running_requests) / slots;
        let recent = work.recent_demand.get(model).copied().unwrap_or_default();
        let waiting = work.waiting.get(model).copied().unwrap_or_default();
        let need = ModelNeed {
            short_term: running.max(recent) + f64::from(waiting) / slots,
            sustained: supply.demanded_groups,
        };
        (model.clone(), need)
    });
    needs.collect()
}

/// Returns the groups and targets of each domain: of this node's domains by the targets' own reports, of others and
/// of targets that have not responded yet by the directory.
///
/// Epochs are milliseconds of the store's clock, so that `epoch` shows the age of each group.
pub fn domain_supplies<'a>(
    records: &[&'a TargetRecord],
    own: &IndexMap<TargetId, OwnTarget<'a>>,
    epoch: Epoch,
) -> Vec<DomainSupply> {
    let remaining = records.iter().filter(|record| !record.is_draining);
    let age = |membership: Option<&Membership>| {
        let formed = membership.map_or(epoch, |membership| membership.epoch);
        Duration::from_millis(epoch.saturating_sub(formed))
    };
    let supplies = remaining.filter_map(|record| {
        let listed = InventoryItem::from(*record);
        let Some(OwnTarget { facts, reconciler }) = own.get(&record.id).copied() else {
            return Some(TargetSupply {
                domain: &record.domain,
                weights: listed.weights,
                group_age: age(listed.weights.membership),
                next: None,
            });
        };
        let supply = TargetSupply {
            domain: &record.domain,
            weights: facts.into(),
            group_age: age(facts.membership.as_ref()),
            next: reconciler.arriving_model(&record.id, facts),
        };
        (facts.status == TargetStatus::Live).then_some(supply)
    });
    DomainSupply::collect(supplies)
}

/// Logs and counts the progress of changeovers.
pub fn log_changeovers(domain: &str, events: &[ChangeoverEvent], metrics: &FleetMetrics) {
    for event in events {
        let ChangeoverEvent {
            group, from, to, ..
        } = event;
        match event.end {
            None => log::info!(
                domain = domain,
                group = group.as_str(),
                from = from.as_str(),
                to = to.as_str(),
                targets = event.targets;
                "changeover_begun"
            ),
            Some((outcome, took)) => {
                metrics.count_changeover(to, outcome.name());
                log::info!(
                    domain = domain,
                    group = group.as_str(),
                    from = from.as_str(),
                    to = to.as_str(),
                    outcome = outcome.name(),
                    ms = took.as_millis() as u64;
                    "changeover_ended"
                );
            }
        }
    }
}
