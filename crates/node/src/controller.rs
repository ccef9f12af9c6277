//! Zone controller service: holds the zone's lease, plans its groups and sends orders to its
//! engines.

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

use crate::availability::AvailabilityCounters;
use crate::lease::{LeaseCall, LeaseDriver};
use crate::orders::{orders_due, DueOrder};
use crate::progress::due_changes;
use crate::row_keys::{epoch_key, group_prefix, vm_prefix};
use crate::shared::{ControlView, FleetView, NodeShared};
use crate::steps::{describe_step, load_count};
use crate::term::{ControllerTerm, RowChanges, TermCounters};
use crate::watch::{ProbeResult, WatchMessage, WATCH_SERVICE};

/// Name under which the service is registered in the kernel.
pub const CONTROLLER_SERVICE: &str = "controller";
/// Maximum number of plan steps written in one transaction.
const MAX_STEPS_PER_WRITE: usize = 8;
/// Load budget of the planning run that finds out how many loads to request.
const UNLIMITED_LOADS: usize = usize::MAX;

/// Messages handled by [`ZoneController`].
#[derive(Debug)]
pub enum ControllerMessage {
    /// Runs one control round; scheduled every `control.plan_interval_ms`.
    Tick,
    /// Result of reading the lease row.
    LeaseRead(Result<ReadReply, StoreError>),
    /// Result of writing the lease row.
    LeaseWritten(Result<TransactReply, StoreError>),
    /// Result of reading the zone's group and claim rows.
    Loaded {
        /// Epoch held when the read was started.
        epoch: Epoch,
        /// Group and claim rows, with the epoch row.
        rows: Result<ReadReply, StoreError>,
    },
    /// Number of weight loads that the platform permits to start.
    LoadsGranted(usize),
    /// Result of a transaction on group and claim rows.
    RowsWritten {
        /// Epoch in which the transaction was built.
        epoch: Epoch,
        /// Changes in the transaction.
        changes: RowChanges,
        /// Reply of the table.
        result: Result<TransactReply, StoreError>,
    },
    /// Result of an order sent to an engine.
    OrderAnswered {
        /// VM that the order was sent to.
        vm: VmId,
        /// Report of the engine after the order.
        result: Result<ReportDoc, CallError>,
        /// Local time before the order was sent.
        requested_at: Moment,
    },
    /// The transport bound has passed since an order failed, so it can no longer arrive.
    OrderExpired(VmId),
    /// Releases the lease because the process is shutting down.
    Release(oneshot::Sender<()>),
}

/// Controls one zone while this node holds the zone's lease.
pub struct ZoneController {
    shared: Arc<NodeShared>,
    client: ApiClient,
    lease: LeaseDriver,
    planner: GroupPlanner,
    term: Option<ControllerTerm>,
    counters: TermCounters,
    is_change_pending: bool,
    is_loading: bool,
    lost_since: IndexMap<VmId, Moment>,
    pending_orders: IndexSet<VmId>,
    account: AvailabilityCounters,
    plan: Vec<String>,
}

impl ZoneController {
    /// Creates a controller that does not hold the lease.
    pub fn new(shared: Arc<NodeShared>) -> Self {
        let settings = &shared.settings;
        let control = settings.control;
        Self {
            lease: LeaseDriver::new(settings, shared.incarnation),
            planner: GroupPlanner::new(control.load_time, control.member_grace),
            client: ApiClient::new(Codec::Json, None),
            term: None,
            counters: TermCounters::default(),
            is_change_pending: false,
            is_loading: false,
            lost_since: IndexMap::new(),
            pending_orders: IndexSet::new(),
            account: AvailabilityCounters::default(),
            plan: Vec::new(),
            shared,
        }
    }

    fn tick(&mut self, link: &ServiceLink<ControllerMessage>) {
        let now = link.now();
        self.start_lease_call(now, link);
        self.update_term(now, link);
        if self.is_in_control(now) {
            if let Some(term) = &self.term {
                self.account.update(&self.shared, term, now);
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

    /// Returns whether this node holds the lease at `now` and has loaded the zone's rows.
    fn is_in_control(&self, now: Moment) -> bool {
        let held = self.lease.epoch(now);
        held.is_some() && self.term.as_ref().map(|term| term.epoch) == held
    }

    /// Starts the read or write of the lease row that is due, if any.
    fn start_lease_call(&mut self, now: Moment, link: &ServiceLink<ControllerMessage>) {
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

    /// Starts a term after the lease was acquired, and ends it when the lease is lost.
    fn update_term(&mut self, now: Moment, link: &ServiceLink<ControllerMessage>) {
        let held = self.lease.epoch(now);
        let term_epoch = self.term.as_ref().map(|term| term.epoch);
        if term_epoch.is_some() && term_epoch != held {
            log::warn!(epoch = term_epoch; "lease_lost");
            self.end_term();
        }
        let Some(epoch) = held else {
            return;
        };
        if self.term.is_none() && !self.is_loading {
            self.is_loading = true;
            self.load(epoch, link);
        }
    }

    fn end_term(&mut self) {
        self.discard_term();
        self.lost_since.clear();
        self.plan.clear();
    }

    fn discard_term(&mut self) {
        if let Some(term) = self.term.take() {
            self.counters = term.counters();
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

    fn handle_loaded(
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
        self.term =
            ControllerTerm::from_rows(self.zone(), epoch, &rows, orders_from, self.counters);
        if let Some(term) = &self.term {
            log::info!(epoch = epoch, groups = term.groups.len(); "lease_won");
        }
        self.send_view(link);
    }

    /// Returns how long a new holder waits before it sends its first order.
    ///
    /// An engine that does not check fencing numbers would accept an order that the previous holder
    /// sent just before its lease expired. The new holder therefore waits until such an order has
    /// arrived or can no longer arrive. If all engines check fencing numbers, no wait is needed.
    fn order_wait(&self) -> Duration {
        let config = self.shared.config.read();
        let all_check = config.config.deployments().values().all(|deployment| {
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

    fn send_view(&self, link: &ServiceLink<ControllerMessage>) {
        let Some(term) = &self.term else {
            return;
        };
        if let Some(watch) = link.kernel().find(WATCH_SERVICE) {
            let _ = watch.post(WatchMessage::View(term.view()));
        }
    }

    /// Builds the planner's input, and records the outages of claimed VMs that have returned.
    fn fleet(&mut self, now: Moment, load_budget: usize) -> FleetState {
        let view = self.shared.fleet.load();
        let ttl = self.shared.settings.gate.evidence_ttl;
        let Some(term) = self.term.take() else {
            return FleetState::default();
        };
        let mut vms = IndexMap::new();
        for vm in view.vms.values() {
            let report = fresh_report(&view, &vm.id, now, ttl);
            let claimed = term.claimant(&vm.id, vm.incarnation);
            if claimed.is_some() {
                self.record_presence(&vm.id, report.is_some(), now);
            }
            // A pending order may still make the VM join a group.
            let is_settled = claimed.is_some() || !self.pending_orders.contains(&vm.id);
            let report = report.filter(|_| is_settled);
            let facts = VmFacts {
                vm: vm.clone(),
                claimed,
                report,
                lost_since: self.lost_since.get(&vm.id).copied(),
            };
            vms.insert(vm.id.clone(), facts);
        }
        let config = self.shared.config.load();
        let groups = term.records();
        self.term = Some(term);
        FleetState {
            vms,
            groups,
            deployments: config.config.deployments().clone(),
            load_budget,
        }
    }

    fn record_presence(&mut self, vm: &VmId, is_seen: bool, now: Moment) {
        if !is_seen {
            self.lost_since.entry(vm.clone()).or_insert(now);
            return;
        }
        if let Some(since) = self.lost_since.swap_remove(vm) {
            // The group can serve again only after the VM has reloaded the weights.
            let absence = now.saturating_sub(since) + self.planner.load_time;
            self.planner.history.record(absence);
        }
    }

    /// Starts the next change: first completed or emptied groups, then the steps of a new plan.
    fn advance(&mut self, now: Moment, link: &ServiceLink<ControllerMessage>) {
        let is_listed = self.shared.fleet.read().is_loaded;
        if self.is_change_pending || !is_listed {
            return;
        }
        let fleet = self.fleet(now, UNLIMITED_LOADS);
        let finished = match &self.term {
            Some(term) => due_changes(term, &fleet),
            None => return,
        };
        if !finished.rows.is_empty() {
            self.write_changes(finished, link);
            return;
        }
        let steps = self.planner.plan(&fleet, now);
        self.plan = steps.iter().map(describe_step).collect();
        if steps.is_empty() {
            return;
        }
        let loads = steps.iter().map(load_count).sum::<usize>();
        self.is_change_pending = true;
        let shared = Arc::clone(&self.shared);
        link.spawn(async move {
            let granted = match loads {
                0 => 0,
                _ => shared.platform.weights.permit(loads).await.unwrap_or(0),
            };
            ControllerMessage::LoadsGranted(granted)
        });
    }

    /// Plans again within the granted number of loads, and writes the first steps.
    fn handle_grant(&mut self, granted: usize, link: &ServiceLink<ControllerMessage>) {
        self.is_change_pending = false;
        let now = link.now();
        if !self.is_in_control(now) {
            return;
        }
        let fleet = self.fleet(now, granted);
        let steps = self.planner.plan(&fleet, now);
        let mut changes = RowChanges::default();
        for step in steps.iter().take(MAX_STEPS_PER_WRITE) {
            log::info!(step = describe_step(step).as_str(); "plan_step");
            match step {
                PlanStep::Preload { vm, deployment, .. } => {
                    self.preload(vm, deployment, &fleet, link);
                }
                _ => {
                    if let Some(term) = self.term.as_mut() {
                        term.add_step(step, &mut changes);
                    }
                }
            }
        }
        if !changes.rows.is_empty() {
            self.write_changes(changes, link);
        }
    }

    fn write_changes(&mut self, changes: RowChanges, link: &ServiceLink<ControllerMessage>) {
        let Some(term) = &self.term else {
            return;
        };
        self.is_change_pending = true;
        let request = term.transaction(&changes);
        let epoch = term.epoch;
        let shared = Arc::clone(&self.shared);
        link.spawn(async move {
            let result = shared.platform.table.transact(request).await;
            ControllerMessage::RowsWritten {
                epoch,
                changes,
                result,
            }
        });
    }

    fn handle_written(
        &mut self,
        epoch: Epoch,
        changes: RowChanges,
        result: Result<TransactReply, StoreError>,
        link: &ServiceLink<ControllerMessage>,
    ) {
        self.is_change_pending = false;
        let Some(term) = self.term.as_mut().filter(|term| term.epoch == epoch) else {
            return;
        };
        match result {
            Ok(TransactReply::Committed { versions }) => {
                term.apply(changes, &versions);
                self.send_view(link);
            }
            // The rows differ from this term's copy, or the outcome is unknown. The term is
            // discarded so that the rows are read again before any other change or order.
            Ok(TransactReply::Conflict { .. }) | Err(_) => {
                log::warn!(epoch = epoch; "change_unsettled");
                self.discard_term();
            }
        }
    }

    /// Orders an unclaimed VM to load weights. The VM stays unclaimed: the table is not changed.
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
        let Some(term) = self.term.as_ref() else {
            return;
        };
        let reports = |vm: &str| fresh_report(&view, vm, now, ttl);
        for order in orders_due(term, &view, &reports) {
            self.send_order(order, link);
        }
    }

    /// Sends an order unless the lease has expired, the initial wait is not over, or another order
    /// to the VM is pending.
    fn send_order(&mut self, order: DueOrder, link: &ServiceLink<ControllerMessage>) {
        let now = link.now();
        let deadline = self.shared.settings.control.order_deadline;
        let is_held = self.is_in_control(now);
        let Some(term) = self.term.as_mut() else {
            return;
        };
        let is_due = is_held && now >= term.orders_from;
        if is_due && self.pending_orders.insert(order.vm.clone()) {
            let doc = OrderDoc {
                fence: term.next_fence(),
                action: order.action,
            };
            log::info!(vm = order.vm.as_str(), fence = doc.fence, order = order.reason; "order_sent");
            term.set_left(&order.vm, false);
            let client = self.client.clone();
            link.spawn(async move {
                let requested_at = BootClock::now();
                let url = format!("http://{}/order", order.address);
                let result = client.call(Method::POST, &url, Some(&doc), deadline).await;
                ControllerMessage::OrderAnswered {
                    vm: order.vm,
                    result,
                    requested_at,
                }
            });
        }
    }

    /// Forwards the engine's report to the watch service as evidence, so that the order is not sent
    /// again before the next probe.
    fn handle_order_answer(
        &mut self,
        vm: VmId,
        report: Result<ReportDoc, CallError>,
        requested_at: Moment,
        link: &ServiceLink<ControllerMessage>,
    ) {
        match report {
            Ok(report) => {
                self.pending_orders.swap_remove(&vm);
                let is_idle = report.state == StateDoc::Idle;
                if let (true, Some(term)) = (is_idle, self.term.as_mut()) {
                    term.set_left(&vm, true);
                }
                if let Some(watch) = link.kernel().find(WATCH_SERVICE) {
                    let report = Ok(report);
                    let _ = watch.post(WatchMessage::Probed(ProbeResult {
                        vm,
                        report,
                        requested_at,
                    }));
                }
            }
            Err(error) => {
                log::warn!(vm = vm.as_str(), error:% = error; "order_failed");
                // The order may still arrive, and an engine that does not check fencing numbers
                // would accept it after a later order. The next order to this VM therefore waits
                // for the transport bound.
                let bound = self.shared.settings.control.transport_bound;
                link.send_after(bound, ControllerMessage::OrderExpired(vm));
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
            epoch: epoch.filter(|_| self.term.is_some()),
            stranded: self.account.stranded,
            downtime: self.account.downtime,
            plan: self.plan.clone(),
        });
    }

    fn release(&mut self, reply: oneshot::Sender<()>, link: &ServiceLink<ControllerMessage>) {
        self.end_term();
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
        link.send_after(Duration::ZERO, ControllerMessage::Tick);
    }

    fn handle(&mut self, message: ControllerMessage, link: &ServiceLink<ControllerMessage>) {
        match message {
            ControllerMessage::Tick => {
                self.tick(link);
                let interval = self.shared.settings.control.plan_interval;
                link.send_after(interval, ControllerMessage::Tick);
            }
            ControllerMessage::LeaseRead(result) => {
                self.lease.handle_read(result, link.now());
            }
            ControllerMessage::LeaseWritten(result) => {
                self.lease.handle_written(result, link.now());
            }
            ControllerMessage::Loaded { epoch, rows } => self.handle_loaded(epoch, rows, link),
            ControllerMessage::LoadsGranted(granted) => self.handle_grant(granted, link),
            ControllerMessage::RowsWritten {
                epoch,
                changes,
                result,
            } => self.handle_written(epoch, changes, result, link),
            ControllerMessage::OrderAnswered {
                vm,
                result,
                requested_at,
            } => {
                self.handle_order_answer(vm, result, requested_at, link);
            }
            ControllerMessage::OrderExpired(vm) => {
                self.pending_orders.swap_remove(&vm);
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
            "groups": self.term.as_ref().map_or(0, |term| term.groups.len()),
            "claimed_vms": self.term.as_ref().map_or(0, |term| term.claims.len()),
            "unreadable_rows": self.term.as_ref().map_or(0, |term| term.odd_rows.len()),
            "plan": self.plan,
            "group_downtime_s": self.account.downtime.as_secs_f64(),
            "stranded_accelerators": self.account.stranded,
        })
    }

    fn renew(&self) -> Self {
        Self {
            lease: self.lease.renew(&self.shared.settings),
            counters: self
                .term
                .as_ref()
                .map_or(self.counters, ControllerTerm::counters),
            ..Self::new(Arc::clone(&self.shared))
        }
    }
}

fn fresh_report(view: &FleetView, vm: &str, now: Moment, ttl: Duration) -> Option<MemberReport> {
    let (report, requested_at) = view.reports.get(vm)?;
    (now < *requested_at + ttl).then(|| report.clone())
}
