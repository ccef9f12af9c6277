//! Plans layouts, changeovers and orders of the domains that this node controls.

use std::time::Duration;

use briarswitch_core::assembly::{DomainView, HeldWeights, TargetFacts, TargetStatus};
use briarswitch_core::changeover::{DomainSupply, ModelNeed};
use briarswitch_core::engine::EngineSpec;
use briarswitch_core::id::*;
use briarswitch_core::layout::DomainLayout;
use briarswitch_core::target::TargetRecord;
use briarswitch_core::traffic::ServiceSpec;
use briarswitch_kernel::ServiceLink;
use briarswitch_membership::WorkSum;
use indexmap::{IndexMap, IndexSet};

use crate::changeovers::{
    domain_supplies, log_changeovers, model_needs, ChangeoverInputs, OwnTarget,
};
use crate::domain_counts::DomainCounts;
use crate::domains::{domains_of, inventory_of, InventoryItem};
use crate::layouts::{LayoutInputs, ServiceLayouts};
use crate::scope::DomainKey;
use crate::supply::model_supplies;
use crate::tracker::TrackedTarget;

use super::{ControllerMessage, GroupController};

/// Age of the configuration from which a node does not rebalance targets between models.
const MAX_REBALANCE_CONFIG_AGE: Duration = Duration::from_secs(2);

impl GroupController {
    /// Plans the groups of one service in the domains that this node controls.
    pub(super) fn plan_service(
        &mut self,
        service: &ServiceSpec,
        records: &[&TargetRecord],
        own_domains: &IndexSet<DomainKey>,
        now: Moment,
        link: &ServiceLink<ControllerMessage>,
    ) {
        let Some(engine) = &service.engine else {
            return;
        };
        let layouts = match self.layouts.swap_remove(&service.id) {
            Some(current) if !current.is_due(now) => current,
            outdated => {
                let records = of_service(records, &service.id);
                let need = self.plan_changeovers(service, engine, &records, own_domains, now);
                self.plan_layouts(
                    engine,
                    &need,
                    &records,
                    own_domains,
                    outdated.unwrap_or_default(),
                    now,
                )
            }
        };
        for key in own_domains.iter().filter(|key| key.service == service.id) {
            if let Some(layout) = layouts.of_domain(&key.domain) {
                let max_loads = layouts.max_loads(engine);
                let budget = self.load_budget(now).min(max_loads);
                let denied = self.plan_domain(key, engine, layout, budget, now, link);
                let wanted = denied.min(max_loads - budget);
                self.loads.want(&service.id, wanted, layouts.urgency());
            }
        }
        self.layouts.insert(service.id.clone(), layouts);
    }

    /// Plans the layouts of all domains of a service.
    pub(super) fn plan_layouts(
        &mut self,
        engine: &EngineSpec,
        need: &IndexMap<ModelId, ModelNeed>,
        records: &[&TargetRecord],
        own_domains: &IndexSet<DomainKey>,
        previous: ServiceLayouts,
        now: Moment,
    ) -> ServiceLayouts {
        let items = self.inventory_items(records, own_domains);
        let is_own = |domain: &DomainId| own_domains.iter().any(|key| key.domain == *domain);
        let inventory = inventory_of(engine, &domains_of(records), &items, is_own);
        let demand = self.demand(now);
        let is_first_start = self.is_first_start();
        if !is_first_start {
            self.trend.add_sample(&demand, now);
        }
        let is_connected = self.is_connected();
        let trend = self.trend.mean().filter(|_| is_connected);
        let trend = trend.map(|trend| with_need(trend, need));
        let peer_work = self.shared.peer_work.load();
        let loading = peer_work.loading.iter();
        let loading = loading.map(|(model, count)| (model.clone(), *count as usize));
        previous.replan(LayoutInputs {
            engine,
            inventory: &inventory,
            demand: &demand,
            trend: trend.as_ref(),
            loading: &loading.collect(),
            is_first_start,
            now,
        })
    }

    /// Returns whether this node sees the demand of all nodes and their loads.
    pub(super) fn is_connected(&self) -> bool {
        self.shared.config_age() < MAX_REBALANCE_CONFIG_AGE
    }

    /// Plans changeovers of a service's groups and begins those in this node's domains; returns the need of each model.
    ///
    /// Returns no need if groups do not change over.
    pub(super) fn plan_changeovers(
        &mut self,
        service: &ServiceSpec,
        engine: &EngineSpec,
        records: &[&TargetRecord],
        own_domains: &IndexSet<DomainKey>,
        now: Moment,
    ) -> IndexMap<ModelId, ModelNeed> {
        if !self.shared.settings.load_control.changes_over || self.is_first_start() {
            return IndexMap::new();
        }
        let need = self.model_needs(service, engine, now);
        let epoch = self.shared.platform.clock.millis();
        let domains = self.domain_supplies(records, own_domains, epoch);
        let inputs = ChangeoverInputs {
            engine,
            need: &need,
            domains: &domains,
            is_connected: self.is_connected(),
            now,
        };
        let changeovers = self.changeovers.entry(service.id.clone()).or_default();
        let plan = changeovers.replan(&service.id, inputs).clone();
        for key in own_domains.iter().filter(|key| key.service == service.id) {
            let facts = self.facts_of(key, now);
            let (Some(facts), Some(reconciler)) = (facts, self.reconcilers.get_mut(key)) else {
                continue;
            };
            let view = DomainView {
                targets: &facts,
                engine,
                layout: &DomainLayout::default(),
                loading: &self.loading_models,
                load_budget: 0,
                may_load_on_join: false,
                epoch_floor: epoch,
            };
            reconciler.begin_changeovers(plan.of_domain(&key.domain), view, now);
            let events = reconciler.take_changeover_events();
            log_changeovers(&key.domain, &events, &self.shared.metrics);
        }
        need
    }

    pub(super) fn model_needs(
        &self,
        service: &ServiceSpec,
        engine: &EngineSpec,
        now: Moment,
    ) -> IndexMap<ModelId, ModelNeed> {
        let table = self.shared.routing_table.load();
        let supplies = model_supplies(service, engine, &table, &self.demand(now), now);
        let mut work = self.shared.peer_work.load().as_ref().clone();
        work.add(&WorkSum {
            waiting: self.shared.need.waiting(),
            recent_demand: self.shared.need.recent_demand(now),
            ..WorkSum::default()
        });
        model_needs(engine, &supplies, &work)
    }

    pub(super) fn domain_supplies(
        &self,
        records: &[&TargetRecord],
        own_domains: &IndexSet<DomainKey>,
        epoch: Epoch,
    ) -> Vec<DomainSupply> {
        let resolved = self.tracker.targets().iter();
        let resolved = resolved.filter(|(_, tracked)| tracked.is_resolved);
        let own = resolved.filter_map(|(id, tracked)| {
            let key = own_domains
                .iter()
                .find(|key| key.contains(&tracked.record))?;
            let target = OwnTarget {
                facts: &tracked.facts,
                reconciler: self.reconcilers.get(key)?,
            };
            Some((id.clone(), target))
        });
        domain_supplies(records, &own.collect(), epoch)
    }

    /// Returns the targets' weights, by their own reports in this node's domains and by the directory
    /// in others.
    pub(super) fn inventory_items<'a>(
        &'a self,
        records: &[&'a TargetRecord],
        own_domains: &IndexSet<DomainKey>,
    ) -> Vec<InventoryItem<'a>> {
        let remaining = records.iter().filter(|record| !record.is_draining);
        let changes_over = self.shared.settings.load_control.changes_over;
        let items = remaining.filter_map(|record| {
            let listed = InventoryItem::from(*record);
            let Some(key) = own_domains.iter().find(|key| key.contains(record)) else {
                return Some(listed.with_standbys(changes_over));
            };
            let tracked = self.tracker.targets().get(&record.id)?;
            if changes_over && !tracked.is_resolved {
                return Some(listed.with_standbys(true));
            }
            let facts = &tracked.facts;
            let loading = self
                .loading_models
                .get(&record.id)
                .filter(|_| facts.is_busy);
            let reconciler = self.reconcilers.get(key);
            let weights = match reconciler {
                Some(reconciler) => reconciler.counted_weights(&record.id, facts, loading),
                None => HeldWeights {
                    loading,
                    ..facts.into()
                },
            };
            (facts.status == TargetStatus::Live).then_some(InventoryItem { weights, ..listed })
        });
        items.collect()
    }

    pub(super) fn demand(&self, now: Moment) -> IndexMap<ModelId, f64> {
        let mut demand = self.shared.demand.group_demand(now);
        for (model, groups) in &self.shared.peer_work.read().demand {
            *demand.entry(model.clone()).or_insert(0.0) += groups;
        }
        demand
    }

    /// Returns the facts on the targets of a domain; `None` before each of them has responded or is known to be silent.
    pub(super) fn facts_of(
        &self,
        key: &DomainKey,
        now: Moment,
    ) -> Option<IndexMap<TargetId, TargetFacts>> {
        let of_domain = self.tracker.targets().iter();
        let tracked: Vec<(&TargetId, &TrackedTarget)> = of_domain
            .filter(|(_, tracked)| key.contains(&tracked.record))
            .collect();
        let is_resolved = tracked.iter().all(|(_, tracked)| tracked.is_resolved);
        let facts = tracked.into_iter();
        let facts = facts.map(|(id, tracked)| (id.clone(), tracked.facts_at(now)));
        is_resolved.then(|| facts.collect())
    }

    /// Plans and sends the orders of a domain; returns how many loads the budget denied.
    pub(super) fn plan_domain(
        &mut self,
        key: &DomainKey,
        engine: &EngineSpec,
        layout: &DomainLayout,
        load_budget: usize,
        now: Moment,
        link: &ServiceLink<ControllerMessage>,
    ) -> usize {
        let Some(facts) = self.facts_of(key, now) else {
            return 0;
        };
        let counts = DomainCounts::count(&facts, layout);
        if self.counts.get(key) != Some(&counts) {
            counts.log(&key.domain, layout);
            self.counts.insert(key.clone(), counts);
        }
        let may_load_on_join = self.is_first_start();
        let Some(reconciler) = self.reconcilers.get_mut(key) else {
            return 0;
        };
        let view = DomainView {
            targets: &facts,
            engine,
            layout,
            loading: &self.loading_models,
            load_budget,
            may_load_on_join,
            epoch_floor: self.shared.platform.clock.millis(),
        };
        let orders = reconciler.plan(view, now);
        for target in reconciler.take_stale_candidates() {
            self.tracker.poll_now(&target, now);
        }
        let denied = reconciler.denied_loads();
        for order in orders {
            self.send_order(order, link);
        }
        self.publish_loading();
        denied
    }
}

/// Returns the demand that rebalancing uses, which must not undo what is changing over for a short-term need.
fn with_need(
    mut trend: IndexMap<ModelId, f64>,
    need: &IndexMap<ModelId, ModelNeed>,
) -> IndexMap<ModelId, f64> {
    for (model, need) in need {
        let demand = trend.entry(model.clone()).or_insert(0.0);
        *demand = demand.max(need.short_term);
    }
    trend
}

fn of_service<'a>(records: &[&'a TargetRecord], service: &str) -> Vec<&'a TargetRecord> {
    let of_service = records.iter().filter(|record| record.service == service);
    of_service.copied().collect()
}
