//! Two nodes compete for one lease, and the holder sends orders to an engine.
//!
//! The nodes run the real [`LeaseClient`]. The store delays writes, loses responses, or both. A paused node is
//! one that takes no step while time passes. Orders to engines that check fencing numbers may be delayed
//! without bound; orders to engines that ignore them are delayed by at most the transport's limit.

use std::time::Duration;

use briarswitch_core::lease::{
    LeaseClient, LeaseRecord, LeaseTiming, LeaseWrite, LeaseWriteResult,
};

use crate::search::{Specification, Step};

/// Length of a bounded run, in ticks.
const MAX_TIME: u64 = 5;
/// Length of a run in the liveness check, which keeps every state in memory.
const SHORT_MAX_TIME: u64 = 4;
/// Maximum number of lost responses and delayed writes in a run without orders.
const MAX_FAULTS_WITHOUT_ORDERS: u8 = 2;
/// The same in a run with orders, which multiply the number of states.
const MAX_FAULTS_WITH_ORDERS: u8 = 1;
/// Maximum number of orders in one run.
const MAX_ORDERS: u8 = 2;
/// Ticks after which an order to an engine that ignores fencing has arrived or been dropped.
const ORDER_TTL: u64 = 3;
/// Maximum number of writes sent by one node.
const MAX_WRITES: u8 = 2;
const DURATION: u64 = 2;
const MARGIN: u64 = 1;
/// Ticks that a new holder waits before it sends orders to engines that ignore fencing. The previous holder's
/// last order is at least two margins old when the lease changes hands. Real nodes wait for the whole TTL of
/// an order, which is longer.
const ORDER_WAIT: u64 = ORDER_TTL - 2 * MARGIN;

/// A seeded defect that the search must detect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaseDefect {
    /// The holder counts its lease from the response instead of from before the write.
    CountedFromResponse,
    /// A challenger waits for less than the duration of the lease.
    EarlyChallenger,
    /// Engines do not check fencing numbers although orders may be delayed without bound.
    FencingIgnored,
    /// A new holder sends orders at once to engines that ignore fencing.
    NoOrderWait,
    /// The holder sends orders without checking that its lease is still valid.
    UncheckedOrder,
}

/// Competition for the lease, with or without orders to an engine.
#[derive(Clone, Copy, Debug)]
pub struct LeaseSpec {
    checks_fencing: bool,
    sends_orders: bool,
    renew: u64,
    max_time: u64,
    defect: Option<LeaseDefect>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum PendingWrite {
    Sent(LeaseWrite),
    Done(LeaseWriteResult),
}

/// State of the nodes, the store and the engine.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct LeaseState {
    now: u64,
    clients: [LeaseClient; 2],
    pending_writes: [Option<PendingWrite>; 2],
    delayed_writes: Vec<LeaseWrite>,
    /// Epoch and expiry of the lease as counted with [`LeaseDefect::CountedFromResponse`].
    assumed_leases: [Option<(u64, u64)>; 2],
    /// Number of writes sent by each node, used in the id of its next write.
    writes: [u8; 2],
    orders_from: [u64; 2],
    last_epoch: [u64; 2],
    row: Option<LeaseRecord>,
    version: u64,
    orders: Vec<(u64, u64)>,
    orders_left: u8,
    faults_left: u8,
    engine_epoch: u64,
    is_stale_order_applied: bool,
}

impl LeaseSpec {
    /// Returns the protocol without defects and without orders, with more faults.
    pub fn without_orders() -> Self {
        Self {
            checks_fencing: true,
            sends_orders: false,
            renew: 1,
            max_time: MAX_TIME,
            defect: None,
        }
    }

    /// Returns the protocol without defects, for engines that check or ignore fencing numbers.
    pub fn sound(checks_fencing: bool) -> Self {
        Self {
            checks_fencing,
            sends_orders: true,
            renew: 2,
            max_time: MAX_TIME,
            defect: None,
        }
    }

    /// Returns the protocol without orders and with a shorter run, small enough for the liveness check.
    pub fn short() -> Self {
        Self {
            max_time: SHORT_MAX_TIME,
            ..Self::without_orders()
        }
    }

    /// Returns the protocol with one seeded defect.
    pub fn defective(checks_fencing: bool, defect: LeaseDefect) -> Self {
        Self {
            checks_fencing,
            sends_orders: true,
            renew: 2,
            max_time: MAX_TIME,
            defect: Some(defect),
        }
    }

    fn has_defect(&self, defect: LeaseDefect) -> bool {
        self.defect == Some(defect)
    }

    fn epoch(&self, state: &LeaseState, node: usize) -> Option<u64> {
        if self.has_defect(LeaseDefect::UncheckedOrder) {
            let epoch = state.last_epoch[node];
            return (epoch > 0).then_some(epoch);
        }
        if self.has_defect(LeaseDefect::CountedFromResponse) {
            let lease =
                state.assumed_leases[node].filter(|(_, expires_at)| state.now < *expires_at);
            return lease.map(|(epoch, _)| epoch);
        }
        state.clients[node].epoch(ticks(state.now))
    }

    fn node_steps(&self, state: &LeaseState, node: usize, steps: &mut Vec<Step<LeaseState>>) {
        if state.pending_writes[node].is_none() && state.writes[node] < MAX_WRITES {
            let mut next = state.clone();
            next.clients[node].observe(state.row.clone(), state.version, ticks(state.now));
            self.record_epoch(&mut next, node);
            steps.push(Step::new(
                format!("node {node} reads the row"),
                next.clone(),
            ));
            let write = format!("{node}.{}", state.writes[node]);
            if let Some(write) = next.clients[node].propose(write, ticks(state.now)) {
                next.writes[node] += 1;
                next.pending_writes[node] = Some(PendingWrite::Sent(write));
                steps.push(Step::new(
                    format!("node {node} reads the row and sends a write"),
                    next,
                ));
            }
        }
        if let Some(PendingWrite::Done(result)) = &state.pending_writes[node] {
            let mut next = state.clone();
            next.pending_writes[node] = None;
            next.clients[node].record_result(result.clone(), ticks(state.now));
            if let (LeaseWriteResult::Written(_), Some(record)) =
                (result, next.clients[node].record())
            {
                next.assumed_leases[node] = Some((record.epoch, state.now + DURATION - MARGIN));
            }
            self.record_epoch(&mut next, node);
            steps.push(Step::new(
                format!("node {node} receives its response"),
                next,
            ));
        }
        self.order_step(state, node, steps);
        if state.faults_left > 0 {
            self.loss_steps(state, node, steps);
        }
    }

    fn loss_steps(&self, state: &LeaseState, node: usize, steps: &mut Vec<Step<LeaseState>>) {
        let Some(pending) = &state.pending_writes[node] else {
            return;
        };
        let mut next = state.clone();
        next.faults_left -= 1;
        next.pending_writes[node] = None;
        next.clients[node].record_result(LeaseWriteResult::Lost, ticks(state.now));
        if let PendingWrite::Sent(write) = pending {
            next.delayed_writes.push(write.clone());
        }
        steps.push(Step::fault(format!("node {node}'s response is lost"), next));
    }

    fn order_step(&self, state: &LeaseState, node: usize, steps: &mut Vec<Step<LeaseState>>) {
        let Some(epoch) = self.epoch(state, node) else {
            return;
        };
        let is_early = state.now < state.orders_from[node];
        if state.orders_left == 0 || is_early {
            return;
        }
        let mut next = state.clone();
        next.orders_left -= 1;
        next.orders.push((epoch, state.now));
        next.orders.sort_unstable();
        steps.push(Step::new(
            format!("node {node} sends an order of epoch {epoch}"),
            next,
        ));
    }

    /// Records that a node holds a new epoch, and the time from which it may send orders.
    fn record_epoch(&self, state: &mut LeaseState, node: usize) {
        let Some(epoch) = state.clients[node].epoch(ticks(state.now)) else {
            return;
        };
        if epoch == state.last_epoch[node] {
            return;
        }
        state.last_epoch[node] = epoch;
        let waits = !self.checks_fencing && !self.has_defect(LeaseDefect::NoOrderWait);
        let wait = if waits { ORDER_WAIT } else { 0 };
        state.orders_from[node] = state.now + wait;
    }

    fn store_steps(&self, state: &LeaseState, steps: &mut Vec<Step<LeaseState>>) {
        for node in 0..2 {
            if let Some(PendingWrite::Sent(write)) = &state.pending_writes[node] {
                let mut next = state.clone();
                let result = apply(&mut next, write);
                next.pending_writes[node] = Some(PendingWrite::Done(result));
                steps.push(Step::new(
                    format!("the store applies node {node}'s write"),
                    next,
                ));
            }
        }
        for index in 0..state.delayed_writes.len() {
            let mut next = state.clone();
            let write = next.delayed_writes.remove(index);
            apply(&mut next, &write);
            steps.push(Step::new("the store applies a delayed write", next));
        }
    }

    fn engine_steps(&self, state: &LeaseState, steps: &mut Vec<Step<LeaseState>>) {
        for index in 0..state.orders.len() {
            let mut next = state.clone();
            let (epoch, _) = next.orders.remove(index);
            let is_stale = epoch < state.engine_epoch;
            let is_refused =
                is_stale && self.checks_fencing && !self.has_defect(LeaseDefect::FencingIgnored);
            if !is_refused {
                next.is_stale_order_applied |= is_stale;
                next.engine_epoch = epoch;
            }
            steps.push(Step::new(
                format!("the engine receives an order of epoch {epoch}"),
                next,
            ));
        }
    }
}

impl Specification for LeaseSpec {
    type State = LeaseState;

    fn initial(&self) -> LeaseState {
        let timing = |duration| LeaseTiming {
            duration: ticks(duration),
            margin: ticks(MARGIN.min(duration - 1)),
            renew: ticks(self.renew),
        };
        let is_early_challenger = self.has_defect(LeaseDefect::EarlyChallenger);
        let (first, second) = if is_early_challenger {
            (4, 1)
        } else {
            (DURATION, DURATION)
        };
        LeaseState {
            now: 0,
            clients: [
                LeaseClient::new("a".to_owned(), 1, timing(first)),
                LeaseClient::new("b".to_owned(), 1, timing(second)),
            ],
            pending_writes: [None, None],
            delayed_writes: Vec::new(),
            assumed_leases: [None; 2],
            writes: [0; 2],
            orders_from: [0; 2],
            last_epoch: [0; 2],
            row: None,
            version: 0,
            orders: Vec::new(),
            orders_left: if self.sends_orders { MAX_ORDERS } else { 0 },
            faults_left: if self.sends_orders {
                MAX_FAULTS_WITH_ORDERS
            } else {
                MAX_FAULTS_WITHOUT_ORDERS
            },
            engine_epoch: 0,
            is_stale_order_applied: false,
        }
    }

    fn steps(&self, state: &LeaseState) -> Vec<Step<LeaseState>> {
        let mut steps = Vec::new();
        for node in 0..2 {
            self.node_steps(state, node, &mut steps);
        }
        self.store_steps(state, &mut steps);
        self.engine_steps(state, &mut steps);
        if state.now < self.max_time {
            let mut next = state.clone();
            next.now += 1;
            if !self.checks_fencing {
                let now = next.now;
                next.orders.retain(|(_, sent)| sent + ORDER_TTL >= now);
            }
            steps.push(Step::new("time passes", next));
        }
        steps
    }

    fn violated_property(&self, state: &LeaseState) -> Option<&'static str> {
        let holds = |node: usize| self.epoch(state, node).is_some();
        let is_checked = !self.has_defect(LeaseDefect::UncheckedOrder);
        if is_checked && holds(0) && holds(1) {
            return Some("at most one node holds the lease");
        }
        state
            .is_stale_order_applied
            .then_some("no order of an earlier epoch takes effect after a later one's")
    }

    fn is_goal(&self, state: &LeaseState) -> bool {
        // Near the end of the bounded run there is no time left for a lease to expire, and a node
        // that has used up its writes cannot acquire it.
        let is_late = state.now + DURATION + MARGIN >= self.max_time;
        let is_used_up = state.writes.contains(&MAX_WRITES);
        let is_held = (0..2).any(|node| state.clients[node].epoch(ticks(state.now)).is_some());
        is_held || is_late || is_used_up
    }
}

fn apply(state: &mut LeaseState, write: &LeaseWrite) -> LeaseWriteResult {
    if state.version != write.expected {
        return LeaseWriteResult::Conflict;
    }
    state.version += 1;
    state.row = Some(write.record.clone());
    LeaseWriteResult::Written(state.version)
}

fn ticks(count: u64) -> Duration {
    Duration::from_secs(count)
}
