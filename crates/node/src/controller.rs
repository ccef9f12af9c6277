//! The service that holds the zone's lease, plans its groups and orders its engines.

use std::sync::Arc;
use std::time::Duration;

use briarswitch_core::prelude::*;
use briarswitch_http::{ApiClient, CallError, Codec};
use briarswitch_kernel::{BootClock, Service, ServiceLink};
use briarswitch_platform::StoreError;
use briarswitch_wire::engine::{OrderAction, OrderDoc, ReportDoc, StateDoc};
use briarswitch_wire::platform::{ReadReply, ReadRequest, TransactReply};
use http::Method;
use indexmap::{IndexMap, IndexSet};
use serde_json::{json, Value};
use tokio::sync::oneshot;

use crate::account::FleetAccount;
use crate::keys::{epoch_key, group_prefix, vm_prefix};
use crate::lease::{LeaseCall, LeaseTender};
use crate::orders::{orders_due, DueOrder};
use crate::progress::finished_changes;
use crate::reign::{ControllerReign, ReignCounts, RowChanges};
use crate::shared::{ControlView, FleetView, NodeShared};
use crate::steps::{describe_step, loads_of};
use crate::watch::{ProbeResult, WatchMessage, WATCH_SERVICE};

/// Name of the service.
pub const CONTROLLER_SERVICE: &str = "controller";
/// Steps of a plan carried out in one transaction.
const STEPS_PER_WRITE: usize = 8;
/// Loads assumed possible when the planner is only asked what it would do.
const UNLIMITED_LOADS: usize = usize::MAX;

/// What the service is sent.
#[derive(Debug)]
pub enum ControllerMessage {
    /// Time for the next round.
    Tick,
    /// What was read of the lease.
    LeaseRead(Result<ReadReply, StoreError>),
    /// What became of a write of the lease.
    LeaseWritten(Result<TransactReply, StoreError>),
    /// The zone's rows.
    Loaded {
        /// Epoch they were read for.
        epoch: Epoch,
        /// Rows.
        rows: Result<ReadReply, StoreError>,
    },
    /// Loads that may begin.
    Permitted(usize),
    /// What became of a change.
    Changed {
        /// Epoch it was made in.
        epoch: Epoch,
        /// Rows changed.
        changes: RowChanges,
        /// What the table said.
        result: Result<TransactReply, StoreError>,
    },
    /// What an engine said to an order.
    Ordered {
        /// Machine.
        vm: VmId,
        /// Its report after the order.
        result: Result<ReportDoc, CallError>,
        /// Local time before the order was sent.
        asked: Moment,
    },
    /// An order that was not answered has arrived or died by now.
    OrderDied(VmId),
    /// The process ends: give the lease up.
    Release(oneshot::Sender<()>),
}

/// Controls one zone while it holds the lease.
pub struct ZoneController {
    shared: Arc<NodeShared>,
    client: ApiClient,
    lease: LeaseTender,
    planner: GroupPlanner,
    reign: Option<ControllerReign>,
    counts: ReignCounts,
    is_table_busy: bool,
    is_loading: bool,
    lost: IndexMap<VmId, Moment>,
    ordering: IndexSet<VmId>,
    account: FleetAccount,
    plan: Vec<String>,
}

impl ZoneController {
    /// Opens a controller that holds nothing.
    pub fn open(shared: Arc<NodeShared>) -> Self {
        let settings = &shared.settings;
        let control = settings.control;
        Self {
            lease: LeaseTender::open(settings, shared.incarnation),
            planner: GroupPlanner::new(control.load_time, control.member_grace),
            client: ApiClient::new(Codec::Json, None),
            reign: None,
            counts: ReignCounts::default(),
            is_table_busy: false,
            is_loading: false,
            lost: IndexMap::new(),
            ordering: IndexSet::new(),
            account: FleetAccount::default(),
            plan: Vec::new(),
            shared,
        }
    }

    fn tick(&mut self, link: &ServiceLink<ControllerMessage>) {
        let now = link.now();
        self.tend_lease(now, link);
        self.tend_reign(now, link);
        if self.is_reigning(now) {
            if let Some(reign) = &self.reign {
                self.account.count(&self.shared, reign, now);
            }
            self.send_orders(now, link);
            self.advance(now, link);
        } else {
            self.account.pause();
        }
        self.publish(now);
    }

    fn zone(&self) -> &str {
        &self.shared.settings.zone
    }

    /// Returns whether this node holds the lease now and knows the zone's rows.
    fn is_reigning(&self, now: Moment) -> bool {
        let held = self.lease.epoch(now);
        held.is_some() && self.reign.as_ref().map(|reign| reign.epoch) == held
    }

    /// Reads or writes the lease's row when that is due.
    fn tend_lease(&mut self, now: Moment, link: &ServiceLink<ControllerMessage>) {
        let Some(call) = self.lease.next_call(now) else {
            return;
        };
        let shared = Arc::clone(&self.shared);
        link.spawn(async move {
            let table = &shared.platform.table;
            match call {
                LeaseCall::Read(request) => ControllerMessage::LeaseRead(table.read(request).await),
                LeaseCall::Write(request) => {
                    ControllerMessage::LeaseWritten(table.transact(request).await)
                }
            }
        });
    }

    /// Begins a reign when the lease was won, and ends it when the lease is over.
    fn tend_reign(&mut self, now: Moment, link: &ServiceLink<ControllerMessage>) {
        let held = self.lease.epoch(now);
        let reigned = self.reign.as_ref().map(|reign| reign.epoch);
        if reigned.is_some() && reigned != held {
            log::warn!(epoch = reigned; "lease_lost");
            self.end_reign();
        }
        let Some(epoch) = held else {
            return;
        };
        if self.reign.is_none() && !self.is_loading {
            self.is_loading = true;
            self.load(epoch, link);
        }
    }

    fn end_reign(&mut self) {
        self.drop_reign();
        self.lost.clear();
        self.plan.clear();
    }

    fn drop_reign(&mut self) {
        if let Some(reign) = self.reign.take() {
            self.counts = reign.counts();
        }
    }

    fn load(&self, epoch: Epoch, link: &ServiceLink<ControllerMessage>) {
        let shared = Arc::clone(&self.shared);
        let zone = self.zone().to_owned();
        link.spawn(async move {
            let request = ReadRequest {
                keys: vec![epoch_key(&zone)],
                prefixes: vec![group_prefix(&zone), vm_prefix(&zone)],
            };
            let rows = shared.platform.table.read(request).await;
            ControllerMessage::Loaded { epoch, rows }
        });
    }

    fn take_loaded(
        &mut self,
        epoch: Epoch,
        rows: Result<ReadReply, StoreError>,
        link: &ServiceLink<ControllerMessage>,
    ) {
        self.is_loading = false;
        let now = link.now();
        let Ok(rows) = rows else {
            return;
        };
        if self.lease.epoch(now) != Some(epoch) {
            return;
        }
        let orders_from = now + self.order_wait();
        self.reign = ControllerReign::open(self.zone(), epoch, &rows, orders_from, self.counts);
        if let Some(reign) = &self.reign {
            log::info!(epoch = epoch, groups = reign.groups.len(); "lease_won");
        }
        self.spread_view(link);
    }

    /// Returns how long a new holder waits before its first order.
    ///
    /// Engines that ignore fencing numbers would take an order that the last holder sent just
    /// before its lease ended, so that one has to have arrived or died first. Where every engine
    /// checks, nothing needs waiting for.
    fn order_wait(&self) -> Duration {
        let config = self.shared.config.read();
        let all_check = config.book.deployments().values().all(|deployment| {
            matches!(
                deployment.kind,
                DeploymentKind::Service
                    | DeploymentKind::Model {
                        checks_fencing: true,
                        ..
                    }
            )
        });
        let control = self.shared.settings.control;
        if all_check {
            Duration::ZERO
        } else {
            control.order_deadline + control.transport_bound
        }
    }

    fn spread_view(&self, link: &ServiceLink<ControllerMessage>) {
        let Some(reign) = &self.reign else {
            return;
        };
        if let Some(watch) = link.kernel().find(WATCH_SERVICE) {
            let _ = watch.post(WatchMessage::View(reign.view()));
        }
    }

    /// Returns the zone's fleet as the planner sees it, and learns from who came back.
    fn fleet(&mut self, now: Moment, load_budget: usize) -> FleetState {
        let view = self.shared.fleet.load();
        let ttl = self.shared.settings.gate.evidence_ttl;
        let Some(reign) = self.reign.take() else {
            return FleetState::default();
        };
        let mut vms = IndexMap::new();
        for vm in view.vms.values() {
            let report = fresh_report(&view, &vm.id, now, ttl);
            // A claim of an earlier life says nothing of the machine that took its name.
            let claim = reign.claims.get(&vm.id).map(|row| &row.value);
            let claimed = claim
                .filter(|claim| claim.incarnation == vm.incarnation)
                .map(|claim| claim.group.clone());
            if claimed.is_some() {
                self.note_presence(&vm.id, report.is_some(), now);
            }
            // An unanswered order may still put the machine into a group.
            let is_settled = claimed.is_some() || !self.ordering.contains(&vm.id);
            let report = report.filter(|_| is_settled);
            let facts = VmFacts {
                vm: vm.clone(),
                claimed,
                report,
                lost_since: self.lost.get(&vm.id).copied(),
            };
            vms.insert(vm.id.clone(), facts);
        }
        let config = self.shared.config.load();
        let groups = reign.records();
        self.reign = Some(reign);
        FleetState {
            vms,
            groups,
            deployments: config.book.deployments().clone(),
            load_budget,
        }
    }

    fn note_presence(&mut self, vm: &VmId, is_seen: bool, now: Moment) {
        if !is_seen {
            self.lost.entry(vm.clone()).or_insert(now);
            return;
        }
        if let Some(since) = self.lost.swap_remove(vm) {
            // What counts is when its group could serve again, which is after it has loaded anew.
            let absence = now.saturating_sub(since) + self.planner.load_time;
            self.planner.history.record(absence);
        }
    }

    /// Takes the next change: groups that are complete or empty first, then the plan.
    fn advance(&mut self, now: Moment, link: &ServiceLink<ControllerMessage>) {
        let is_listed = self.shared.fleet.read().is_listed;
        if self.is_table_busy || !is_listed {
            return;
        }
        let fleet = self.fleet(now, UNLIMITED_LOADS);
        let finished = match &self.reign {
            Some(reign) => finished_changes(reign, &fleet),
            None => return,
        };
        if !finished.rows.is_empty() {
            self.change(finished, link);
            return;
        }
        let steps = self.planner.plan(&fleet, now);
        self.plan = steps.iter().map(describe_step).collect();
        if steps.is_empty() {
            return;
        }
        let loads = steps.iter().map(loads_of).sum::<usize>();
        self.is_table_busy = true;
        let shared = Arc::clone(&self.shared);
        link.spawn(async move {
            let granted = match loads {
                0 => 0,
                _ => shared.platform.weights.permit(loads).await.unwrap_or(0),
            };
            ControllerMessage::Permitted(granted)
        });
    }

    /// Plans again within the loads granted, and writes the first steps.
    fn take_permit(&mut self, granted: usize, link: &ServiceLink<ControllerMessage>) {
        self.is_table_busy = false;
        let now = link.now();
        if !self.is_reigning(now) {
            return;
        }
        let fleet = self.fleet(now, granted);
        let steps = self.planner.plan(&fleet, now);
        let mut changes = RowChanges::default();
        for step in steps.iter().take(STEPS_PER_WRITE) {
            log::info!(step = describe_step(step).as_str(); "plan_step");
            match step {
                PlanStep::Preload { vm, deployment, .. } => {
                    self.preload(vm, deployment, &fleet, link);
                }
                _ => {
                    if let Some(reign) = self.reign.as_mut() {
                        reign.add_step(step, &mut changes);
                    }
                }
            }
        }
        if !changes.rows.is_empty() {
            self.change(changes, link);
        }
    }

    fn change(&mut self, changes: RowChanges, link: &ServiceLink<ControllerMessage>) {
        let Some(reign) = &self.reign else {
            return;
        };
        self.is_table_busy = true;
        let request = reign.transaction(&changes);
        let epoch = reign.epoch;
        let shared = Arc::clone(&self.shared);
        link.spawn(async move {
            let result = shared.platform.table.transact(request).await;
            ControllerMessage::Changed {
                epoch,
                changes,
                result,
            }
        });
    }

    fn take_changed(
        &mut self,
        epoch: Epoch,
        changes: RowChanges,
        result: Result<TransactReply, StoreError>,
        link: &ServiceLink<ControllerMessage>,
    ) {
        self.is_table_busy = false;
        let Some(reign) = self.reign.as_mut().filter(|reign| reign.epoch == epoch) else {
            return;
        };
        match result {
            Ok(TransactReply::Committed { versions }) => {
                reign.apply(changes, &versions);
                self.spread_view(link);
            }
            // The rows are not what this reign believed, or nobody can say: they are read anew
            // before anything else is changed or ordered.
            Ok(TransactReply::Conflict { .. }) | Err(_) => {
                log::warn!(epoch = epoch; "change_unsettled");
                self.drop_reign();
            }
        }
    }

    /// Orders a free machine to load weights. It stays free: the table is not changed.
    fn preload(
        &mut self,
        vm: &VmId,
        deployment: &DeploymentId,
        fleet: &FleetState,
        link: &ServiceLink<ControllerMessage>,
    ) {
        let Some(facts) = fleet.vms.get(vm) else {
            return;
        };
        let order = DueOrder {
            vm: vm.clone(),
            address: facts.vm.address.clone(),
            action: OrderAction::Preload(deployment.clone()),
            reason: "preload",
        };
        self.send_order(order, link);
    }

    fn send_orders(&mut self, now: Moment, link: &ServiceLink<ControllerMessage>) {
        let view = self.shared.fleet.load();
        let ttl = self.shared.settings.gate.evidence_ttl;
        let Some(reign) = self.reign.as_ref() else {
            return;
        };
        let reports = |vm: &str| fresh_report(&view, vm, now, ttl);
        for order in orders_due(reign, &view, &reports) {
            self.send_order(order, link);
        }
    }

    /// Sends an order unless the lease is over, it is too early, or another one to the machine is
    /// not settled.
    fn send_order(&mut self, order: DueOrder, link: &ServiceLink<ControllerMessage>) {
        let now = link.now();
        let deadline = self.shared.settings.control.order_deadline;
        let is_held = self.is_reigning(now);
        let Some(reign) = self.reign.as_mut() else {
            return;
        };
        let is_due = is_held && now >= reign.orders_from;
        if is_due && self.ordering.insert(order.vm.clone()) {
            let doc = OrderDoc {
                fence: reign.next_fence(),
                action: order.action,
            };
            log::info!(vm = order.vm.as_str(), fence = doc.fence, order = order.reason; "order_sent");
            reign.note_left(&order.vm, false);
            let client = self.client.clone();
            link.spawn(async move {
                let asked = BootClock::now();
                let url = format!("http://{}/order", order.address);
                let result = client.call(Method::POST, &url, Some(&doc), deadline).await;
                ControllerMessage::Ordered {
                    vm: order.vm,
                    result,
                    asked,
                }
            });
        }
    }

    /// Passes an engine's answer on as evidence, so that it is not ordered again before its next
    /// probe.
    fn take_ordered(
        &mut self,
        vm: VmId,
        report: Result<ReportDoc, CallError>,
        asked: Moment,
        link: &ServiceLink<ControllerMessage>,
    ) {
        match report {
            Ok(report) => {
                self.ordering.swap_remove(&vm);
                let is_idle = report.state == StateDoc::Idle;
                if let (true, Some(reign)) = (is_idle, self.reign.as_mut()) {
                    reign.note_left(&vm, true);
                }
                if let Some(watch) = link.kernel().find(WATCH_SERVICE) {
                    let report = Ok(report);
                    let _ = watch.post(WatchMessage::Probed(ProbeResult { vm, report, asked }));
                }
            }
            Err(error) => {
                log::warn!(vm = vm.as_str(), error:% = error; "order_failed");
                // The order may still arrive; an engine that ignores fencing numbers would take it
                // after the next one, so that one waits until it has arrived or died.
                let bound = self.shared.settings.control.transport_bound;
                link.later(bound, ControllerMessage::OrderDied(vm));
            }
        }
    }

    fn publish(&self, now: Moment) {
        let epoch = self.lease.epoch(now);
        let record = self.lease.record().cloned();
        let seen = record.as_ref().map_or(0, |record| record.epoch);
        self.shared.metrics.set_lease(seen, epoch.is_some());
        self.shared.control.publish(ControlView {
            record,
            epoch: epoch.filter(|_| self.reign.is_some()),
            stranded: self.account.stranded,
            downtime: self.account.downtime,
            plan: self.plan.clone(),
        });
    }

    fn release(&mut self, reply: oneshot::Sender<()>, link: &ServiceLink<ControllerMessage>) {
        self.end_reign();
        let Some(request) = self.lease.release(link.now()) else {
            let _ = reply.send(());
            return;
        };
        let shared = Arc::clone(&self.shared);
        link.spawn(async move {
            let result = shared.platform.table.transact(request).await;
            let _ = reply.send(());
            ControllerMessage::LeaseWritten(result)
        });
    }
}

impl Service for ZoneController {
    type Message = ControllerMessage;

    fn name(&self) -> &'static str {
        CONTROLLER_SERVICE
    }

    fn start(&mut self, link: &ServiceLink<ControllerMessage>) {
        link.later(Duration::ZERO, ControllerMessage::Tick);
    }

    fn handle(&mut self, message: ControllerMessage, link: &ServiceLink<ControllerMessage>) {
        match message {
            ControllerMessage::Tick => {
                self.tick(link);
                let interval = self.shared.settings.control.plan_interval;
                link.later(interval, ControllerMessage::Tick);
            }
            ControllerMessage::LeaseRead(result) => {
                self.lease.take_read(result, link.now());
            }
            ControllerMessage::LeaseWritten(result) => {
                self.lease.take_written(result, link.now());
            }
            ControllerMessage::Loaded { epoch, rows } => self.take_loaded(epoch, rows, link),
            ControllerMessage::Permitted(granted) => self.take_permit(granted, link),
            ControllerMessage::Changed {
                epoch,
                changes,
                result,
            } => self.take_changed(epoch, changes, result, link),
            ControllerMessage::Ordered { vm, result, asked } => {
                self.take_ordered(vm, result, asked, link);
            }
            ControllerMessage::OrderDied(vm) => {
                self.ordering.swap_remove(&vm);
            }
            ControllerMessage::Release(reply) => self.release(reply, link),
        }
    }

    fn dump(&self) -> Value {
        let now = BootClock::now();
        let record = self.lease.record();
        json!({
            "holder": record.map(|record| &record.holder),
            "epoch": record.map(|record| record.epoch),
            "held_epoch": self.lease.epoch(now),
            "lease_remaining_ms": self.lease.remaining(now).as_millis(),
            "groups": self.reign.as_ref().map_or(0, |reign| reign.groups.len()),
            "claimed_vms": self.reign.as_ref().map_or(0, |reign| reign.claims.len()),
            "plan": self.plan,
            "group_downtime_s": self.account.downtime.as_secs_f64(),
            "stranded_accelerators": self.account.stranded,
        })
    }
}

fn fresh_report(view: &FleetView, vm: &str, now: Moment, ttl: Duration) -> Option<MemberReport> {
    let (report, asked) = view.reports.get(vm)?;
    (now < *asked + ttl).then(|| report.clone())
}
