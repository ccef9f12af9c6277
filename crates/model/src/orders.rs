//! One controller releases a VM from one group and claims it for another.
//!
//! Orders are delayed, reordered or lost, reports arrive late, and the VM is replaced. The property concerns
//! the VM itself: once it has joined the group recorded in the table, no earlier order moves it elsewhere.

use crate::search::{Specification, Step};

/// Maximum number of lost orders and replacements in one run.
const MAX_FAULTS: u8 = 3;
/// Maximum number of claims in one run.
const MAX_CLAIMS: u8 = 3;

/// A seeded defect that the search must detect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderDefect {
    /// Engines ignore fencing numbers, and the controller does not wait for earlier orders to arrive.
    FencingIgnored,
    /// The VM is claimed again without a report from it that it is idle.
    ClaimedWithoutReport,
    /// A report of an idle VM is accepted although it may be older than an order to join.
    UnacknowledgedLeave,
    /// Every order of an epoch carries the same fencing number.
    SameFence,
}

/// Claims, orders, reports and releases of one VM.
#[derive(Clone, Copy, Debug)]
pub struct OrderSpec {
    checks_fencing: bool,
    defect: Option<OrderDefect>,
}

type Group = u8;

#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct Order {
    fence: u8,
    join: Option<Group>,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Report {
    incarnation: u8,
    group: Option<Group>,
    /// Highest fencing number among the orders executed.
    fence: u8,
}

/// State of the VM and its controller.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct OrderState {
    /// Group that the VM belongs to according to the table.
    claim: Option<Group>,
    claim_incarnation: u8,
    is_dissolving: bool,
    next_group: Group,
    next_fence: u8,
    orders: Vec<Order>,
    vm_incarnation: u8,
    vm_group: Option<Group>,
    vm_fence: u8,
    /// Newest report in flight, followed by the last report that the controller received.
    report_in_flight: Option<Report>,
    last_report: Option<Report>,
    faults_left: u8,
    claims_left: u8,
    /// Whether the VM has joined the group since it was claimed.
    has_joined: bool,
    is_moved_by_old_order: bool,
    is_claimed_in_group: bool,
}

impl OrderSpec {
    /// Returns the protocol without defects. Orders to engines that check fencing numbers may be delayed
    /// without bound; an engine that ignores them is sent no order until the previous one has arrived or
    /// been dropped.
    pub fn sound(checks_fencing: bool) -> Self {
        Self {
            checks_fencing,
            defect: None,
        }
    }

    /// Returns the protocol with one seeded defect.
    pub fn defective(defect: OrderDefect) -> Self {
        Self {
            checks_fencing: true,
            defect: Some(defect),
        }
    }

    fn has_defect(&self, defect: OrderDefect) -> bool {
        self.defect == Some(defect)
    }

    fn send(&self, state: &mut OrderState, join: Option<Group>) {
        if !self.has_defect(OrderDefect::SameFence) {
            state.next_fence += 1;
        }
        state.orders.push(Order {
            fence: state.next_fence,
            join,
        });
        state.orders.sort_unstable();
    }

    fn is_free(&self, state: &OrderState) -> bool {
        if state.claim.is_some() {
            return false;
        }
        if self.has_defect(OrderDefect::ClaimedWithoutReport) {
            return true;
        }
        state
            .last_report
            .is_some_and(|report| self.is_idle(state, report))
    }

    fn is_idle(&self, state: &OrderState, report: Report) -> bool {
        // The platform's list gives the controller the VM's current incarnation.
        let is_present = report.incarnation == state.vm_incarnation;
        is_present && report.group.is_none()
    }

    /// Returns whether a report shows that the last order, the one to leave, was executed.
    fn has_left(&self, state: &OrderState, report: Report) -> bool {
        let is_executed =
            report.fence >= state.next_fence || self.has_defect(OrderDefect::UnacknowledgedLeave);
        is_executed && self.is_idle(state, report)
    }

    /// Returns whether an order may be sent.
    fn can_send(&self, state: &OrderState) -> bool {
        self.checks_fencing || state.orders.is_empty()
    }

    fn controller_steps(&self, state: &OrderState, steps: &mut Vec<Step<OrderState>>) {
        if self.is_free(state) && self.can_send(state) && state.claims_left > 0 {
            let mut next = state.clone();
            next.claims_left -= 1;
            next.claim = Some(state.next_group);
            next.claim_incarnation = state.vm_incarnation;
            next.next_group += 1;
            next.has_joined = false;
            next.is_dissolving = false;
            next.last_report = None;
            next.is_claimed_in_group |= state.vm_group.is_some();
            self.send(&mut next, Some(state.next_group));
            steps.push(Step::new("the VM is claimed and ordered to join", next));
        }
        if let Some(group) = state.claim {
            self.claimed_steps(state, group, steps);
        }
    }

    fn claimed_steps(&self, state: &OrderState, group: Group, steps: &mut Vec<Step<OrderState>>) {
        if !state.is_dissolving {
            if !self.can_send(state) {
                return;
            }
            let mut next = state.clone();
            next.is_dissolving = true;
            self.send(&mut next, None);
            steps.push(Step::new(format!("group {group} is dissolved"), next));
            return;
        }
        let may_release = state.last_report.is_some_and(|report| {
            let is_replaced = state.vm_incarnation != state.claim_incarnation;
            is_replaced || self.has_left(state, report)
        });
        if may_release || self.has_defect(OrderDefect::ClaimedWithoutReport) {
            let mut next = state.clone();
            next.claim = None;
            steps.push(Step::new(
                format!("the claim for group {group} is released"),
                next,
            ));
        }
        if state.orders.is_empty() && state.vm_fence < state.next_fence {
            let mut next = state.clone();
            self.send(&mut next, None);
            steps.push(Step::new("the leave order is resent", next));
        }
    }

    fn vm_steps(&self, state: &OrderState, steps: &mut Vec<Step<OrderState>>) {
        for index in 0..state.orders.len() {
            let mut next = state.clone();
            let order = next.orders.remove(index);
            let ignores_fences =
                !self.checks_fencing || self.has_defect(OrderDefect::FencingIgnored);
            let is_refused = order.fence < state.vm_fence && !ignores_fences;
            if !is_refused {
                self.execute(&mut next, order);
            }
            steps.push(Step::new(format!("{order:?} arrives"), next));
        }
        let mut next = state.clone();
        next.report_in_flight = Some(Report {
            incarnation: state.vm_incarnation,
            group: state.vm_group,
            fence: state.vm_fence,
        });
        steps.push(Step::new("the VM reports", next));
        if state.report_in_flight.is_some() {
            let mut next = state.clone();
            next.last_report = next.report_in_flight.take();
            steps.push(Step::new("the report arrives", next));
        }
    }

    fn execute(&self, state: &mut OrderState, order: Order) {
        state.vm_fence = state.vm_fence.max(order.fence);
        let is_claimed = state.claim_incarnation == state.vm_incarnation && !state.is_dissolving;
        if is_claimed && state.has_joined && order.join != state.claim {
            state.is_moved_by_old_order = true;
        }
        state.vm_group = order.join;
        if order.join.is_some() && order.join == state.claim {
            state.has_joined = true;
        }
    }
}

impl Specification for OrderSpec {
    type State = OrderState;

    fn initial(&self) -> OrderState {
        OrderState {
            claim: None,
            claim_incarnation: 0,
            is_dissolving: false,
            next_group: 0,
            next_fence: 1,
            orders: Vec::new(),
            vm_incarnation: 0,
            vm_group: None,
            vm_fence: 0,
            report_in_flight: None,
            last_report: None,
            faults_left: MAX_FAULTS,
            claims_left: MAX_CLAIMS,
            has_joined: false,
            is_moved_by_old_order: false,
            is_claimed_in_group: false,
        }
    }

    fn steps(&self, state: &OrderState) -> Vec<Step<OrderState>> {
        let mut steps = Vec::new();
        self.controller_steps(state, &mut steps);
        self.vm_steps(state, &mut steps);
        if state.faults_left == 0 {
            return steps;
        }
        if !state.orders.is_empty() {
            let mut next = state.clone();
            next.faults_left -= 1;
            next.orders.remove(0);
            steps.push(Step::fault("an order is lost", next));
        }
        let mut next = state.clone();
        next.faults_left -= 1;
        next.vm_incarnation += 1;
        next.vm_group = None;
        next.vm_fence = 0;
        // Orders in flight to the old incarnation are lost with its connections.
        next.orders.clear();
        steps.push(Step::fault("the VM is replaced", next));
        steps
    }

    fn violated_property(&self, state: &OrderState) -> Option<&'static str> {
        if state.is_moved_by_old_order {
            return Some("no earlier order moves a VM out of the group recorded in the table");
        }
        state
            .is_claimed_in_group
            .then_some("a VM is claimed only when it is in no group")
    }

    fn is_goal(&self, state: &OrderState) -> bool {
        let is_serving = state.claim.is_some() && state.vm_group == state.claim;
        is_serving || state.claims_left == 0 || state.claim.is_some()
    }
}
