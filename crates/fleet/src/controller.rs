//! Forms and repairs the groups in the domains that this node controls.

mod orders;
mod planning;

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use briarswitch_core::assembly::DomainReconciler;
use briarswitch_core::id::*;
use briarswitch_core::order::{OrderResult, TargetOrder};
use briarswitch_core::target::TargetRecord;
use briarswitch_core::traffic::{ServiceSpec, TrafficConfig};
use briarswitch_kernel::{BootClock, Service, ServiceLink};
use indexmap::{IndexMap, IndexSet};
use serde_json::{json, Value};
use xxhash_rust::xxh3::xxh3_64;

use crate::changeovers::ServiceChangeovers;
use crate::costs::CostKind;
use crate::demand::DemandTrend;
use crate::domain_counts::DomainCounts;
use crate::layouts::ServiceLayouts;
use crate::load_client::{LoadClient, LoadFailure};
use crate::load_doc::LoadRequest;
use crate::load_requests::LoadRequests;
use crate::pace_watch::{clear_recovered, observed_report, PaceWatch};
use crate::ports::{ReportError, TargetReport};
use crate::scope::{ControlScope, DomainKey, ScopeInputs};
use crate::shared::{DirectoryView, FleetShared};
use crate::supply::model_supplies;
use crate::timer::MAX_TIMER_DELAY;
use crate::tracker::TargetTracker;

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
        let may_order = now >= self.started_at + DISCOVERY_TIME && self.shared.has_peer_address();
        let Some(config) = config
            .as_ref()
            .as_ref()
            .filter(|_| directory.is_loaded && may_order)
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

    /// Polls the members of groups that change over, so that they are closed no longer than necessary.
    fn poll_changing_targets(&mut self, now: Moment) {
        let changing = self.reconcilers.values();
        let changing = changing.flat_map(DomainReconciler::changing_targets);
        for target in changing {
            self.tracker.poll_now(target, now);
        }
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
