//! Forms and repairs the groups in the domains that this node controls.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use briarswitch_core::assembly::{
    DomainReconciler, DomainView, HeldWeights, TargetFacts, TargetStatus,
};
use briarswitch_core::changeover::{DomainSupply, ModelNeed};
use briarswitch_core::engine::EngineSpec;
use briarswitch_core::id::*;
use briarswitch_core::layout::DomainLayout;
use briarswitch_core::order::{OrderResult, TargetAction, TargetOrder};
use briarswitch_core::target::{MembershipState, TargetRecord};
use briarswitch_core::traffic::{ServiceSpec, TrafficConfig};
use briarswitch_kernel::{BootClock, Service, ServiceLink};
use briarswitch_membership::WorkSum;
use indexmap::{IndexMap, IndexSet};
use serde_json::{json, Value};
use xxhash_rust::xxh3::xxh3_64;

use crate::changeovers::{
    domain_supplies, log_changeovers, model_needs, ChangeoverInputs, OwnTarget, ServiceChangeovers,
};
use crate::costs::CostKind;
use crate::demand::DemandTrend;
use crate::domain_counts::DomainCounts;
use crate::domains::{domains_of, inventory_of, InventoryItem};
use crate::layouts::{LayoutInputs, ServiceLayouts};
use crate::load_client::{LoadClient, LoadFailure};
use crate::load_doc::LoadRequest;
use crate::load_requests::LoadRequests;
use crate::order_sender::deliver;
use crate::pace_watch::{clear_recovered, observed_report, PaceWatch};
use crate::ports::{ReportError, TargetReport};
use crate::scope::{ControlScope, DomainKey, ScopeInputs};
use crate::shared::{DirectoryView, FleetShared};
use crate::supply::model_supplies;
use crate::timer::MAX_TIMER_DELAY;
use crate::tracker::{TargetTracker, TrackedTarget};

/// Interval between control rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(50);
/// Time after start-up before a node sends any orders, so that the nodes can discover each other.
const DISCOVERY_TIME: Duration = Duration::from_millis(900);
/// Interval between log lines on the supply of each model; only nodes that control a domain write them.
const SUPPLY_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a new target after which the directory counts as complete at the first start.
///
/// Targets register one after the other. Groups formed from the first few would all serve the model with the
/// smallest groups.
const LISTING_QUIET_TIME: Duration = Duration::from_millis(700);
/// Time-out of a poll; a healthy target responds within a few milliseconds.
const POLL_TIMEOUT: Duration = Duration::from_millis(160);
/// Age of the configuration from which a node does not rebalance targets between models.
const MAX_REBALANCE_CONFIG_AGE: Duration = Duration::from_secs(2);
/// Name of the controller's service.
pub const CONTROLLER_SERVICE: &str = "controller";

/// Service that forms groups, opens them, and repairs them after losses.
pub struct GroupController {
    shared: Arc<FleetShared>,
    tracker: TargetTracker,
    reconcilers: IndexMap<DomainKey, DomainReconciler>,
    counts: IndexMap<DomainKey, DomainCounts>,
    /// Model whose weights a target was last ordered to load.
    loading_models: IndexMap<TargetId, ModelId>,
    layouts: IndexMap<ServiceId, ServiceLayouts>,
    changeovers: IndexMap<ServiceId, ServiceChangeovers>,
    trend: DemandTrend,
    /// Suspected targets as of the previous round.
    known_suspects: IndexSet<TargetId>,
    pace_watch: PaceWatch,
    scope: Option<Arc<ControlScope>>,
    started_at: Moment,
    /// Number of listed targets, and when it last changed.
    target_count: (usize, Moment),
    supply_logged_at: Moment,
    load_client: Arc<LoadClient>,
    loads: LoadRequests,
}

/// Message to [`GroupController`].
pub enum ControllerMessage {
    /// Start of a control round.
    Round,
    /// Result of a poll.
    ReportReceived {
        /// Polled target.
        target: TargetId,
        /// Report, or why there is none.
        report: Result<TargetReport, ReportError>,
        /// Whether the local timer fired late.
        is_late: bool,
    },
    /// Result of an order.
    OrderAnswered {
        /// The order.
        order: TargetOrder,
        /// Its result.
        result: OrderResult,
        /// When it was first sent.
        sent: Moment,
    },
    /// The coordinator of loads responded, or failed.
    LoadsAnswered {
        /// The request.
        request: LoadRequest,
        /// Number of loads that may begin.
        response: Result<usize, LoadFailure>,
        /// When the request was sent.
        sent: Moment,
    },
}

impl GroupController {
    /// Creates a controller that is not responsible for any domain yet.
    pub fn new(shared: Arc<FleetShared>, load_client: Arc<LoadClient>) -> Self {
        Self {
            shared,
            load_client,
            loads: LoadRequests::default(),
            tracker: TargetTracker::default(),
            reconcilers: IndexMap::new(),
            counts: IndexMap::new(),
            loading_models: IndexMap::new(),
            layouts: IndexMap::new(),
            changeovers: IndexMap::new(),
            trend: DemandTrend::default(),
            known_suspects: IndexSet::new(),
            pace_watch: PaceWatch::default(),
            scope: None,
            started_at: BootClock::now(),
            target_count: (0, BootClock::now()),
            supply_logged_at: Moment::ZERO,
        }
    }

    fn round(&mut self, link: &ServiceLink<ControllerMessage>) {
        let now = link.now();
        self.load_client.coordinator().refresh(now);
        let config = self.shared.config.load();
        let directory = self.shared.directory.load();
        let is_discovery_over = now >= self.started_at + DISCOVERY_TIME;
        let Some(config) = config
            .as_ref()
            .as_ref()
            .filter(|_| directory.is_loaded && is_discovery_over)
        else {
            return;
        };
        let scope = self.scope(config, &directory);
        self.update_reconcilers(&scope.own_domains);
        let listed = scope.own_targets.iter().map(Arc::as_ref);
        let unlisted = scope.unlisted_members.iter().map(Arc::as_ref);
        self.tracker.sync(listed, unlisted, now);
        if !scope.own_domains.is_empty() {
            self.poll_suspected_groups(now);
            let table = self.shared.routing_table.load();
            for member in self.pace_watch.newly_slow(&table) {
                self.tracker.poll_now(&member, now);
            }
        }
        self.poll_changing_targets(now);
        for (target, address) in self.tracker.take_due(now) {
            self.poll(target, address, link);
        }
        let is_listing_complete = self.is_listing_complete(scope.engine_targets.len(), now);
        let tracker = &self.tracker;
        self.loading_models
            .retain(|id, _| tracker.targets().contains_key(id));
        self.publish_loading();
        if !is_listing_complete || scope.own_domains.is_empty() {
            return;
        }
        let services = config.services.values();
        let services = services.filter(|service| service.engine.is_some());
        let records: Vec<&TargetRecord> = scope.engine_targets.iter().map(Arc::as_ref).collect();
        let is_log_due = now >= self.supply_logged_at + SUPPLY_LOG_INTERVAL;
        if is_log_due {
            self.supply_logged_at = now;
        }
        for service in services {
            if is_log_due {
                self.log_supply(service, now);
            }
            self.plan_service(service, &records, &scope.own_domains, now, link);
        }
        self.request_loads(now, link);
    }

    /// Returns this node's scope, which is only recalculated if its inputs have changed.
    ///
    /// Rounds run twenty times a second on every node, but only a few nodes control a domain.
    fn scope(
        &mut self,
        config: &TrafficConfig,
        directory: &Arc<DirectoryView>,
    ) -> Arc<ControlScope> {
        let inputs = ScopeInputs {
            version: config.version,
            directory: Arc::clone(directory),
            live: self.shared.live_view.load(),
        };
        if let Some(scope) = self
            .scope
            .as_ref()
            .filter(|scope| scope.is_current_for(&inputs))
        {
            return Arc::clone(scope);
        }
        let scope = Arc::new(ControlScope::new(config, inputs));
        self.scope = Some(Arc::clone(&scope));
        scope
    }

    /// Plans the groups of one service in the domains that this node controls.
    fn plan_service(
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
    fn plan_layouts(
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
    fn is_connected(&self) -> bool {
        self.shared.config_age() < MAX_REBALANCE_CONFIG_AGE
    }

    /// Plans changeovers of a service's groups and begins those in this node's domains; returns the need of each model.
    ///
    /// Returns no need if groups do not change over.
    fn plan_changeovers(
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

    fn model_needs(
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

    fn domain_supplies(
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

    /// Polls the members of groups that change over, so that they are closed no longer than necessary.
    fn poll_changing_targets(&mut self, now: Moment) {
        let changing = self.reconcilers.values();
        let changing = changing.flat_map(DomainReconciler::changing_targets);
        for target in changing {
            self.tracker.poll_now(target, now);
        }
    }

    /// Returns the targets' weights, by their own reports in this node's domains and by the directory
    /// in others.
    fn inventory_items<'a>(
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

    /// Returns whether this is the first start of the whole system and no request has arrived yet.
    fn is_first_start(&self) -> bool {
        let has_traffic = self.shared.has_traffic.load(Ordering::Relaxed);
        !has_traffic && self.shared.settings.is_first_start
    }

    fn is_listing_complete(&mut self, count: usize, now: Moment) -> bool {
        if count != self.target_count.0 {
            self.target_count = (count, now);
        }
        let has_traffic = self.shared.has_traffic.load(Ordering::Relaxed);
        has_traffic || now >= self.target_count.1 + LISTING_QUIET_TIME
    }

    fn update_reconcilers(&mut self, own_domains: &IndexSet<DomainKey>) {
        let lost = self
            .reconcilers
            .keys()
            .filter(|key| !own_domains.contains(*key));
        for key in lost {
            log::info!(domain = key.domain.as_str(); "domain_left");
        }
        self.reconcilers.retain(|key, _| own_domains.contains(key));
        self.counts.retain(|key, _| own_domains.contains(key));
        for key in own_domains {
            if !self.reconcilers.contains_key(key) {
                log::info!(domain = key.domain.as_str(); "domain_taken");
                let hash = xxh3_64(format!("{}\u{0}{}", key.service, key.domain).as_bytes()) as u16;
                let since = BootClock::now().as_millis();
                let incarnation = self.shared.incarnation;
                let prefix = format!(
                    "{}-{incarnation:x}-{hash:x}-{since:x}",
                    self.shared.settings.node
                );
                let mut reconciler = DomainReconciler::new(prefix);
                if self.shared.settings.load_control.changes_over {
                    reconciler.enable_changeovers();
                }
                self.reconcilers.insert(key.clone(), reconciler);
            }
        }
    }

    /// Polls all members of each group whose leader was newly suspected of being silent.
    ///
    /// Suspicions of other nodes count as well. With more nodes, fewer of a group's streams pass through the
    /// one that controls it: in a fleet of 71 nodes, it took 2.5 to 3.8 s to notice lost members by its own
    /// streams alone.
    fn poll_suspected_groups(&mut self, now: Moment) {
        let suspects = self.shared.gauges.all_suspects(now);
        let table = self.shared.routing_table.load();
        for group in table.all_groups() {
            if !suspects.contains(&group.id) || self.known_suspects.contains(&group.id) {
                continue;
            }
            for member in group.group.iter().flat_map(|group| &group.members) {
                self.tracker.poll_now(member, now);
            }
        }
        self.known_suspects = suspects;
    }

    fn poll(&self, target: TargetId, address: String, link: &ServiceLink<ControllerMessage>) {
        self.shared.costs.count(CostKind::ReportAsked);
        let shared = Arc::clone(&self.shared);
        link.spawn(async move {
            let started = BootClock::now();
            let targets = &shared.platform.targets;
            let report = targets.report(&target, &address, POLL_TIMEOUT).await;
            let took = BootClock::now().saturating_sub(started);
            ControllerMessage::ReportReceived {
                target,
                report,
                is_late: took > POLL_TIMEOUT + MAX_TIMER_DELAY,
            }
        });
    }

    fn demand(&self, now: Moment) -> IndexMap<ModelId, f64> {
        let mut demand = self.shared.demand.group_demand(now);
        for (model, groups) in &self.shared.peer_work.read().demand {
            *demand.entry(model.clone()).or_insert(0.0) += groups;
        }
        demand
    }

    /// Logs supply and demand of each model of a service.
    fn log_supply(&self, service: &ServiceSpec, now: Moment) {
        let Some(engine) = &service.engine else {
            return;
        };
        let table = self.shared.routing_table.load();
        let supplies = model_supplies(service, engine, &table, &self.demand(now), now);
        for (model, supply) in &supplies {
            supply.log(&service.id, model);
        }
    }

    /// Returns the facts on the targets of a domain; `None` before each of them has responded or is known to be silent.
    fn facts_of(&self, key: &DomainKey, now: Moment) -> Option<IndexMap<TargetId, TargetFacts>> {
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
    fn plan_domain(
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

    /// Returns how many loads from the weight store may begin in this round.
    fn load_budget(&mut self, now: Moment) -> usize {
        if self.is_first_start() {
            // Before the first request, nothing else needs the weight store.
            return usize::MAX;
        }
        self.loads.available(now)
    }

    /// Asks the coordinator for the loads that were missing in this round.
    fn request_loads(&mut self, now: Moment, link: &ServiceLink<ControllerMessage>) {
        let Some(request) = self.loads.take_request(now) else {
            return;
        };
        let client = Arc::clone(&self.load_client);
        link.spawn(async move {
            let response = client.request(&request).await;
            ControllerMessage::LoadsAnswered {
                request,
                response,
                sent: now,
            }
        });
    }

    /// Returns the model whose weights a target has to load to carry out an order, if any.
    fn loaded_model(&self, order: &TargetOrder) -> Option<ModelId> {
        let tracked = self.tracker.targets().get(&order.target)?;
        match &order.action {
            TargetAction::Join { model, .. } | TargetAction::Stage { model } => {
                (!tracked.facts.staged.contains(model)).then(|| model.clone())
            }
            _ => None,
        }
    }

    /// Publishes the number of loads in progress in this node's domains, by model.
    fn publish_loading(&self) {
        let mut loading: IndexMap<ModelId, u32> = IndexMap::new();
        let tracked = self.tracker.targets().values();
        let live = tracked.filter(|tracked| tracked.facts.status != TargetStatus::Silent);
        for tracked in live {
            let facts = &tracked.facts;
            let membership = facts.membership.as_ref();
            let is_joining =
                membership.is_some_and(|membership| membership.state == MembershipState::Joining);
            let joined = facts.model.as_ref().filter(|_| is_joining);
            let model = joined.or(self.loading_models.get(&tracked.record.id));
            if let Some(model) = model.filter(|model| !facts.staged.contains(*model)) {
                *loading.entry(model.clone()).or_insert(0) += 1;
            }
        }
        self.shared.active_loads.publish(loading);
    }

    fn send_order(&mut self, order: TargetOrder, link: &ServiceLink<ControllerMessage>) {
        let Some(tracked) = self.tracker.targets().get(&order.target) else {
            return;
        };
        let address = tracked.record.address.clone();
        if let Some(model) = self.loaded_model(&order) {
            self.loads.spend(1);
            self.loading_models.insert(order.target.clone(), model);
        }
        log::info!(
            target_id = order.target.as_str(),
            order = order.action.name(),
            group = order.action.group().map_or("", String::as_str),
            expected = order.expected,
            reason = order.reason;
            "order_sent"
        );
        self.shared.costs.count(CostKind::OrderSent);
        let shared = Arc::clone(&self.shared);
        link.spawn(async move {
            let sent = BootClock::now();
            let targets = shared.platform.targets.as_ref();
            let result = deliver(targets, &order, &address).await;
            ControllerMessage::OrderAnswered {
                order,
                result,
                sent,
            }
        });
    }

    fn handle_report(
        &mut self,
        target: &str,
        report: Result<TargetReport, ReportError>,
        is_late: bool,
        now: Moment,
    ) {
        let config = self.shared.config.load();
        let Some(config) = config.as_ref() else {
            return;
        };
        let service = self
            .tracker
            .targets()
            .get(target)
            .map(|tracked| tracked.record.service.clone());
        let engine = service
            .and_then(|service| config.services.get(&service))
            .and_then(|service| service.engine.as_ref());
        let Some(engine) = engine else {
            return;
        };
        let report = report.map(|report| observed_report(&self.shared, report));
        let has_response = report.is_ok();
        let became_silent = self
            .tracker
            .record_report(target, report, is_late, engine, now);
        if became_silent {
            log::warn!(target_id = target; "target_silent");
        }
        if has_response {
            clear_recovered(&self.shared, &self.tracker, target, now);
            for reconciler in self.reconcilers.values_mut() {
                reconciler.note_report(target);
            }
        }
    }

    fn handle_order_result(
        &mut self,
        order: &TargetOrder,
        result: OrderResult,
        sent: Moment,
        now: Moment,
    ) {
        let name = result_name(result);
        self.shared.metrics.count_order(order.action.name(), name);
        log::info!(
            target_id = order.target.as_str(),
            order = order.action.name(),
            group = order.action.group().map_or("", String::as_str),
            result = name,
            ms = now.saturating_sub(sent).as_millis() as u64;
            "order_answered"
        );
        if result != OrderResult::Begun {
            self.loading_models.swap_remove(&order.target);
        }
        self.tracker.record_order_result(order, result, now);
        for reconciler in self.reconcilers.values_mut() {
            reconciler.note_result(&order.target, result);
        }
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

fn result_name(result: OrderResult) -> &'static str {
    match result {
        OrderResult::Begun => "begun",
        OrderResult::Held => "held",
        OrderResult::Conflict => "conflict",
        OrderResult::OtherIncarnation => "gone",
        OrderResult::Refused => "refused",
        OrderResult::Lost => "lost",
    }
}

impl Service for GroupController {
    type Message = ControllerMessage;

    fn name(&self) -> &'static str {
        CONTROLLER_SERVICE
    }

    fn start(&mut self, link: &ServiceLink<ControllerMessage>) {
        link.send_after(ROUND_INTERVAL, ControllerMessage::Round);
    }

    fn handle(&mut self, message: ControllerMessage, link: &ServiceLink<ControllerMessage>) {
        match message {
            ControllerMessage::Round => {
                let begun = link.now();
                self.round(link);
                let took = link.now().saturating_sub(begun);
                self.shared.costs.count_time(CostKind::ControlRound, took);
                link.send_after(ROUND_INTERVAL, ControllerMessage::Round);
            }
            ControllerMessage::ReportReceived {
                target,
                report,
                is_late,
            } => {
                // A node without a path to targets learns nothing of them from polls that fail.
                let proves_nothing = is_late || !self.shared.reach.is_reachable();
                self.handle_report(&target, report, proves_nothing, link.now());
            }
            ControllerMessage::OrderAnswered {
                order,
                result,
                sent,
            } => self.handle_order_result(&order, result, sent, link.now()),
            ControllerMessage::LoadsAnswered {
                request,
                response,
                sent,
            } => {
                let shared = &self.shared;
                self.loads
                    .handle_response(&request, response, sent, shared, link.now());
            }
        }
    }

    fn dump(&self) -> Value {
        let targets = self.tracker.targets().iter().map(|(id, tracked)| {
            let membership = tracked.facts.membership.as_ref();
            json!({
                "target": id,
                "domain": tracked.record.domain,
                "group": membership.map(|membership| &membership.group),
                "rank": membership.map(|membership| membership.rank),
                "state": membership.map(|membership| format!("{:?}", membership.state)),
                "standing": format!("{:?}", tracked.facts.status),
                "staged": tracked.facts.staged,
                "sequence": tracked.facts.sequence,
            })
        });
        json!({
            "domains": self.reconcilers.keys().map(|key| &key.domain).collect::<Vec<_>>(),
            "targets": targets.collect::<Vec<_>>(),
        })
    }

    fn renew(&self) -> Self {
        Self::new(Arc::clone(&self.shared), Arc::clone(&self.load_client))
    }
}
