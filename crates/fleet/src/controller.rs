//! Forms and mends the groups of the domains that this node is responsible for.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use briarswitch_core::assembly::{
    DomainKeeper, DomainView, HeldWeights, TargetFacts, TargetStanding,
};
use briarswitch_core::engine::EngineModel;
use briarswitch_core::id::*;
use briarswitch_core::layout::DomainLayout;
use briarswitch_core::order::{OrderResult, TargetAction, TargetOrder};
use briarswitch_core::target::{MembershipState, TargetRecord};
use briarswitch_core::traffic::{ServiceSpec, TrafficBook};
use briarswitch_kernel::{BootClock, Service, ServiceLink};
use indexmap::{IndexMap, IndexSet};
use serde_json::{json, Value};
use xxhash_rust::xxh3::xxh3_64;

use crate::census::DomainCensus;
use crate::costs::CostKind;
use crate::demand::DemandTrend;
use crate::domains::{domains_of, stock_of, StockItem};
use crate::layouts::{LayoutBasis, ServiceLayouts};
use crate::order_sender::deliver;
use crate::ports::{ReportError, TargetReport};
use crate::scope::{ControlScope, DomainKey, ScopeBasis};
use crate::shared::{DirectoryView, FleetShared};
use crate::supply::supplies;
use crate::tracker::{TargetTracker, TrackedTarget};

/// Time between rounds.
const ROUND: Duration = Duration::from_millis(50);
/// Time after the start in which nodes find each other before any of them gives an order.
const SETTLE_TIME: Duration = Duration::from_millis(900);
/// Time between two lines on what the models have; only nodes that give orders write them.
const SUPPLY_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a new target after which the directory counts as complete at the first start.
///
/// Targets register one after the other; groups formed from the first few would be of whichever
/// model needs the fewest.
const LISTING_TIME: Duration = Duration::from_millis(700);
/// Time to wait for a report; a healthy target answers in a few milliseconds.
const REPORT_TIME: Duration = Duration::from_millis(160);
/// Lateness of the node's own timer beyond which a missing report proves nothing.
const OWN_LATENESS: Duration = Duration::from_millis(60);
/// Age of the configuration from which no weights are exchanged.
const EXCHANGE_AGE: Duration = Duration::from_secs(2);
/// Loads under way beyond what the weight store does at once.
///
/// Each of them slows all the others, but none waits for the news of one that has ended.
const EXTRA_LOADS: usize = 1;

/// Name of the controller.
pub const CONTROLLER_SERVICE: &str = "controller";

/// Keeps groups whole.
pub struct GroupController {
    shared: Arc<FleetShared>,
    tracker: TargetTracker,
    keepers: IndexMap<DomainKey, DomainKeeper>,
    census: IndexMap<DomainKey, DomainCensus>,
    loads: IndexMap<TargetId, ModelId>,
    layouts: IndexMap<ServiceId, ServiceLayouts>,
    trend: DemandTrend,
    suspected: IndexSet<TargetId>,
    scope: Option<Arc<ControlScope>>,
    started: Moment,
    listed: (usize, Moment),
    supply_logged: Moment,
}

/// Message to [`GroupController`].
pub enum ControllerMessage {
    /// Look at everything again.
    Round,
    /// A target reported or did not.
    Reported {
        /// Target.
        target: TargetId,
        /// What it said.
        report: Result<TargetReport, ReportError>,
        /// Whether the node's own timer ran late.
        is_late: bool,
    },
    /// A target answered an order or did not.
    Ordered {
        /// The order.
        order: TargetOrder,
        /// What became of it.
        result: OrderResult,
        /// When it was sent.
        sent: Moment,
    },
}

impl GroupController {
    /// Opens a controller that is responsible for nothing yet.
    pub fn open(shared: Arc<FleetShared>) -> Self {
        Self {
            shared,
            tracker: TargetTracker::default(),
            keepers: IndexMap::new(),
            census: IndexMap::new(),
            loads: IndexMap::new(),
            layouts: IndexMap::new(),
            trend: DemandTrend::default(),
            suspected: IndexSet::new(),
            scope: None,
            started: BootClock::now(),
            listed: (0, BootClock::now()),
            supply_logged: Moment::ZERO,
        }
    }

    fn round(&mut self, link: &ServiceLink<ControllerMessage>) {
        let now = link.now();
        let book = self.shared.config.load();
        let directory = self.shared.directory.load();
        let is_settled = now >= self.started + SETTLE_TIME;
        let Some(book) = book
            .as_ref()
            .as_ref()
            .filter(|_| directory.is_loaded && is_settled)
        else {
            return;
        };
        let scope = self.scope(book, &directory);
        self.update_keepers(&scope.own);
        let listed = scope.mine.iter().map(Arc::as_ref);
        let unlisted = scope.unlisted.iter().map(Arc::as_ref);
        self.tracker.sync(listed, unlisted, now);
        if !scope.own.is_empty() {
            self.look_at_suspects(now);
        }
        for (target, address) in self.tracker.due(now) {
            self.ask(target, address, link);
        }
        let is_listed = self.is_listing_done(scope.engines.len(), now);
        let tracker = &self.tracker;
        self.loads
            .retain(|id, _| tracker.targets().contains_key(id));
        self.count_loads();
        if !is_listed || scope.own.is_empty() {
            return;
        }
        let services = book.services.values();
        let services = services.filter(|service| service.engine.is_some());
        let records: Vec<&TargetRecord> = scope.engines.iter().map(Arc::as_ref).collect();
        let is_log_due = now >= self.supply_logged + SUPPLY_INTERVAL;
        if is_log_due {
            self.supply_logged = now;
        }
        for service in services {
            if is_log_due {
                self.log_supply(service, now);
            }
            self.tend(service, &records, &scope.own, now, link);
        }
    }

    /// Returns what this node is responsible for, worked out again only when something has changed.
    ///
    /// Few of the nodes give orders at all, and all look at every target twenty times a second.
    fn scope(&mut self, book: &TrafficBook, directory: &Arc<DirectoryView>) -> Arc<ControlScope> {
        let basis = ScopeBasis {
            version: book.version,
            directory: Arc::clone(directory),
            live: self.shared.live_view.load(),
        };
        if let Some(scope) = self.scope.as_ref().filter(|scope| scope.is_of(&basis)) {
            return Arc::clone(scope);
        }
        let scope = Arc::new(ControlScope::open(book, basis));
        self.scope = Some(Arc::clone(&scope));
        scope
    }

    /// Plans the groups of one service in the domains that are this node's.
    fn tend(
        &mut self,
        service: &ServiceSpec,
        records: &[&TargetRecord],
        own: &IndexSet<DomainKey>,
        now: Moment,
        link: &ServiceLink<ControllerMessage>,
    ) {
        let Some(engine) = &service.engine else {
            return;
        };
        let layouts = match self.layouts.swap_remove(&service.id) {
            Some(held) if !held.is_due(now) => held,
            held => {
                let records = of_service(records, &service.id);
                self.lay_out(engine, &records, own, held.unwrap_or_default(), now)
            }
        };
        for key in own.iter().filter(|key| key.service == service.id) {
            if let Some(layout) = layouts.of_domain(&key.domain) {
                let budget = layouts.load_budget(engine, self.load_budget(engine));
                self.plan(key, engine, layout, budget, now, link);
            }
        }
        self.layouts.insert(service.id.clone(), layouts);
    }

    /// Decides anew what all domains of a service should hold.
    fn lay_out(
        &mut self,
        engine: &EngineModel,
        records: &[&TargetRecord],
        own: &IndexSet<DomainKey>,
        held: ServiceLayouts,
        now: Moment,
    ) -> ServiceLayouts {
        let items = self.stock_items(records, own);
        let is_own = |domain: &DomainId| own.iter().any(|key| key.domain == *domain);
        let stock = stock_of(engine, &domains_of(records), &items, is_own);
        let demand = self.demand(now);
        let is_start = self.is_start();
        if !is_start {
            self.trend.note(&demand, now);
        }
        // Who is cut off sees only a part of what callers ask for and of what others hold.
        let is_in_touch = self.shared.config_age() < EXCHANGE_AGE;
        let trend = self.trend.mean().filter(|_| is_in_touch);
        let elsewhere = self.shared.peer_work.load();
        let coming = elsewhere.loading.iter();
        let coming = coming.map(|(model, count)| (model.clone(), *count as usize));
        held.renew(LayoutBasis {
            engine,
            stock: &stock,
            demand: &demand,
            trend: trend.as_ref(),
            coming: &coming.collect(),
            is_start,
            now,
        })
    }

    /// Returns what targets hold: by their own reports in this node's domains, else by the directory.
    fn stock_items<'a>(
        &'a self,
        records: &[&'a TargetRecord],
        own: &IndexSet<DomainKey>,
    ) -> Vec<StockItem<'a>> {
        let staying = records.iter().filter(|record| !record.is_draining);
        let items = staying.filter_map(|record| {
            let listed = StockItem::from(*record);
            if !own.iter().any(|key| key.holds(record)) {
                return Some(listed);
            }
            let facts = &self.tracker.targets().get(&record.id)?.facts;
            let loading = self.loads.get(&record.id).filter(|_| facts.is_busy);
            let weights = HeldWeights {
                membership: facts.membership.as_ref(),
                model: facts.model.as_ref(),
                staged: &facts.staged,
                loading,
            };
            (facts.standing == TargetStanding::Live).then_some(StockItem { weights, ..listed })
        });
        items.collect()
    }

    /// Returns whether the whole system starts and no caller has come yet.
    fn is_start(&self) -> bool {
        let has_traffic = self.shared.has_traffic.load(Ordering::Relaxed);
        !has_traffic && self.shared.settings.is_first_start
    }

    fn is_listing_done(&mut self, count: usize, now: Moment) -> bool {
        if count != self.listed.0 {
            self.listed = (count, now);
        }
        let has_traffic = self.shared.has_traffic.load(Ordering::Relaxed);
        has_traffic || now >= self.listed.1 + LISTING_TIME
    }

    fn update_keepers(&mut self, own: &IndexSet<DomainKey>) {
        let lost = self.keepers.keys().filter(|key| !own.contains(*key));
        for key in lost {
            log::info!(domain = key.domain.as_str(); "domain_left");
        }
        self.keepers.retain(|key, _| own.contains(key));
        self.census.retain(|key, _| own.contains(key));
        for key in own {
            if !self.keepers.contains_key(key) {
                log::info!(domain = key.domain.as_str(); "domain_taken");
                let hash = xxh3_64(format!("{}\u{0}{}", key.service, key.domain).as_bytes()) as u16;
                let since = BootClock::now().as_millis();
                let incarnation = self.shared.incarnation;
                let prefix = format!(
                    "{}-{incarnation:x}-{hash:x}-{since:x}",
                    self.shared.settings.node
                );
                self.keepers.insert(key.clone(), DomainKeeper::open(prefix));
            }
        }
    }

    /// Has every member of a group asked whose first member fell silent towards a request.
    ///
    /// Other nodes' word counts as well: the more nodes there are, the fewer streams of a group pass
    /// through the one that gives its orders. On its own streams alone one of 71 nodes noticed lost
    /// members after 2.5 to 3.8 s.
    fn look_at_suspects(&mut self, now: Moment) {
        let suspects = self.shared.gauges.suspected_anywhere(now);
        let table = self.shared.routing_table.load();
        for group in table.all_groups() {
            if !suspects.contains(&group.id) || self.suspected.contains(&group.id) {
                continue;
            }
            for member in group.group.iter().flat_map(|group| &group.members) {
                self.tracker.hasten(member, now);
            }
        }
        self.suspected = suspects;
    }

    fn ask(&self, target: TargetId, address: String, link: &ServiceLink<ControllerMessage>) {
        self.shared.costs.count(CostKind::ReportAsked);
        let shared = Arc::clone(&self.shared);
        link.spawn(async move {
            let asked = BootClock::now();
            let targets = &shared.platform.targets;
            let report = targets.report(&target, &address, REPORT_TIME).await;
            let took = BootClock::now().saturating_sub(asked);
            ControllerMessage::Reported {
                target,
                report,
                is_late: took > REPORT_TIME + OWN_LATENESS,
            }
        });
    }

    fn demand(&self, now: Moment) -> IndexMap<ModelId, f64> {
        let mut demand = self.shared.demand.rates(now);
        for (model, rate) in &self.shared.peer_work.read().demand {
            *demand.entry(model.clone()).or_insert(0.0) += rate;
        }
        demand
    }

    /// Writes to the log what the models of a service have and are asked for.
    fn log_supply(&self, service: &ServiceSpec, now: Moment) {
        let Some(engine) = &service.engine else {
            return;
        };
        let table = self.shared.routing_table.load();
        let supplies = supplies(service, engine, &table, &self.demand(now), now);
        for (model, supply) in &supplies {
            supply.log(&service.id, model);
        }
    }

    fn plan(
        &mut self,
        key: &DomainKey,
        engine: &EngineModel,
        layout: &DomainLayout,
        load_budget: usize,
        now: Moment,
        link: &ServiceLink<ControllerMessage>,
    ) {
        let of_domain = self.tracker.targets().iter();
        let tracked: Vec<(&TargetId, &TrackedTarget)> = of_domain
            .filter(|(_, tracked)| key.holds(&tracked.record))
            .collect();
        if tracked.iter().any(|(_, tracked)| !tracked.is_resolved) {
            return;
        }
        let facts: IndexMap<TargetId, TargetFacts> = tracked
            .into_iter()
            .map(|(id, tracked)| (id.clone(), tracked.facts_at(now)))
            .collect();
        let census = DomainCensus::of(&facts, layout);
        if self.census.get(key) != Some(&census) {
            census.log(&key.domain, layout);
            self.census.insert(key.clone(), census);
        }
        let joins_load = self.is_start();
        let Some(keeper) = self.keepers.get_mut(key) else {
            return;
        };
        let view = DomainView {
            targets: &facts,
            engine,
            layout,
            loading: &self.loads,
            load_budget,
            joins_load,
            epoch_floor: self.shared.platform.clock.millis(),
        };
        let orders = keeper.plan(view, now);
        for target in keeper.take_doubtful() {
            self.tracker.hasten(&target, now);
        }
        for order in orders {
            self.send(order, link);
        }
        self.count_loads();
    }

    /// Returns how many loads from the weight store may begin in a round.
    ///
    /// The limit holds for all domains together; what other nodes have under way is known from the
    /// exchange. A load under way shows in the target itself, so a successor sees it too.
    fn load_budget(&self, engine: &EngineModel) -> usize {
        if self.is_start() {
            // Before the first caller the weight store has nothing else to do.
            return usize::MAX;
        }
        let elsewhere = self.shared.peer_work.read().all_loading();
        let own: u32 = self.shared.active_loads.read().values().sum();
        let limit = engine.loads_at_once + EXTRA_LOADS;
        limit.saturating_sub((own + elsewhere) as usize)
    }

    /// Counts the loads under way in this node's domains.
    fn count_loads(&self) {
        let mut loading: IndexMap<ModelId, u32> = IndexMap::new();
        let tracked = self.tracker.targets().values();
        let live = tracked.filter(|tracked| tracked.facts.standing != TargetStanding::Silent);
        for tracked in live {
            let facts = &tracked.facts;
            let held = facts.membership.as_ref();
            let is_joining = held.is_some_and(|held| held.state == MembershipState::Joining);
            let joined = facts.model.as_ref().filter(|_| is_joining);
            let model = joined.or(self.loads.get(&tracked.record.id));
            if let Some(model) = model.filter(|model| !facts.staged.contains(*model)) {
                *loading.entry(model.clone()).or_insert(0) += 1;
            }
        }
        self.shared.active_loads.publish(loading);
    }

    fn send(&mut self, order: TargetOrder, link: &ServiceLink<ControllerMessage>) {
        let Some(tracked) = self.tracker.targets().get(&order.target) else {
            return;
        };
        let address = tracked.record.address.clone();
        let loaded = match &order.action {
            TargetAction::Join { model, .. } | TargetAction::Stage { model } => {
                (!tracked.facts.staged.contains(model)).then(|| model.clone())
            }
            _ => None,
        };
        if let Some(model) = loaded {
            self.loads.insert(order.target.clone(), model);
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
            ControllerMessage::Ordered {
                order,
                result,
                sent,
            }
        });
    }

    fn take_report(
        &mut self,
        target: &str,
        report: Result<TargetReport, ReportError>,
        is_late: bool,
        now: Moment,
    ) {
        let book = self.shared.config.load();
        let Some(book) = book.as_ref() else {
            return;
        };
        let service = self
            .tracker
            .targets()
            .get(target)
            .map(|tracked| tracked.record.service.clone());
        let engine = service
            .and_then(|service| book.services.get(&service))
            .and_then(|service| service.engine.as_ref());
        let Some(engine) = engine else {
            return;
        };
        let is_answer = report.is_ok();
        let fell = self
            .tracker
            .note_report(target, report, is_late, engine, now);
        if fell {
            log::warn!(target_id = target; "target_silent");
        }
        if is_answer {
            for keeper in self.keepers.values_mut() {
                keeper.note_report(target);
            }
        }
    }

    fn take_ordered(
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
            self.loads.swap_remove(&order.target);
        }
        self.tracker.note_order(order, result, now);
        for keeper in self.keepers.values_mut() {
            keeper.note_result(&order.target, result);
        }
    }
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
        OrderResult::Gone => "gone",
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
        link.later(ROUND, ControllerMessage::Round);
    }

    fn handle(&mut self, message: ControllerMessage, link: &ServiceLink<ControllerMessage>) {
        match message {
            ControllerMessage::Round => {
                let begun = link.now();
                self.round(link);
                let took = link.now().saturating_sub(begun);
                self.shared.costs.count_time(CostKind::ControlRound, took);
                link.later(ROUND, ControllerMessage::Round);
            }
            ControllerMessage::Reported {
                target,
                report,
                is_late,
            } => self.take_report(&target, report, is_late, link.now()),
            ControllerMessage::Ordered {
                order,
                result,
                sent,
            } => self.take_ordered(&order, result, sent, link.now()),
        }
    }

    fn dump(&self) -> Value {
        let targets = self.tracker.targets().iter().map(|(id, tracked)| {
            let held = tracked.facts.membership.as_ref();
            json!({
                "target": id,
                "domain": tracked.record.domain,
                "group": held.map(|held| &held.group),
                "rank": held.map(|held| held.rank),
                "state": held.map(|held| format!("{:?}", held.state)),
                "standing": format!("{:?}", tracked.facts.standing),
                "staged": tracked.facts.staged,
                "sequence": tracked.facts.sequence,
            })
        });
        json!({
            "domains": self.keepers.keys().map(|key| &key.domain).collect::<Vec<_>>(),
            "targets": targets.collect::<Vec<_>>(),
        })
    }
}
