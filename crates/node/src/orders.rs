//! Derives the orders to send from the difference between the table and the engines' reports.

use briarswitch_core::prelude::*;
use briarswitch_wire::engine::{JoinDoc, OrderAction};

use crate::shared::FleetView;
use crate::term::ControllerTerm;

/// An order to send to one VM.
#[derive(Clone, Debug, PartialEq)]
pub struct DueOrder {
    /// VM that receives the order.
    pub vm: VmId,
    /// Address of the engine, as `ip:port`.
    pub address: String,
    /// Action to perform.
    pub action: OrderAction,
    /// Reason written to the log.
    pub reason: &'static str,
}

/// Returns every order that is due.
///
/// Orders are derived from the table and the reports only, not from orders sent before. A member
/// that returns after it was replaced is therefore sent the order that matches its current row.
pub fn orders_due(
    term: &ControllerTerm,
    fleet: &FleetView,
    report_of: &dyn Fn(&str) -> Option<MemberReport>,
) -> Vec<DueOrder> {
    let mut orders = join_orders(term, report_of);
    orders.extend(leave_orders(term, fleet, report_of));
    orders
}

fn join_orders(
    term: &ControllerTerm,
    report_of: &dyn Fn(&str) -> Option<MemberReport>,
) -> Vec<DueOrder> {
    let mut orders = Vec::new();
    for row in term.groups.values() {
        let group = &row.value;
        if group.state == GroupState::Dissolving {
            continue;
        }
        for (rank, member) in group.members.iter().enumerate() {
            let Some(report) = report_of(&member.vm) else {
                continue;
            };
            if report.incarnation == member.incarnation && needs_join(group, &report) {
                orders.push(join_order(group, rank));
            }
        }
    }
    orders
}

fn leave_orders(
    term: &ControllerTerm,
    fleet: &FleetView,
    report_of: &dyn Fn(&str) -> Option<MemberReport>,
) -> Vec<DueOrder> {
    let mut orders = Vec::new();
    for vm in fleet.vms.values() {
        let Some(report) = report_of(&vm.id) else {
            continue;
        };
        if needs_leave(term, &report) {
            orders.push(DueOrder {
                vm: vm.id.clone(),
                address: vm.address.clone(),
                action: OrderAction::Leave,
                reason: "leave",
            });
        }
    }
    orders
}

fn needs_join(group: &GroupRecord, report: &MemberReport) -> bool {
    let is_member =
        report.group.as_deref() == Some(group.id.as_str()) && report.generation == group.generation;
    !is_member || report.state == MemberState::Idle
}

/// Returns whether a VM needs an order to leave: it reports a group but has no claim in the table,
/// or its group is being dissolved and it has not acknowledged an order to leave.
///
/// In the second case, a report of the idle state is not sufficient: it may be older than an order
/// to join that is still in transit, and the claim would be deleted while the VM joins. The order
/// to leave has a higher fencing number, so the engine refuses the earlier order once it has
/// acknowledged this one.
///
/// A VM gets no order to leave if its claim or the group in its claim cannot be read.
fn needs_leave(term: &ControllerTerm, report: &MemberReport) -> bool {
    if term.odd_rows.claims.contains_key(&report.vm) {
        return false;
    }
    let claim = term.claims.get(&report.vm).map(|row| &row.value);
    let is_in_group = report.group.is_some();
    let Some(claim) = claim else {
        return is_in_group;
    };
    if term.odd_rows.groups.contains(&claim.group) {
        return false;
    }
    let row = term.groups.get(&claim.group);
    let is_dissolving = row.is_none_or(|row| row.value.state == GroupState::Dissolving);
    let is_same_incarnation = claim.incarnation == report.incarnation;
    is_dissolving && is_same_incarnation && !term.has_left(&report.vm)
}

fn join_order(group: &GroupRecord, rank: usize) -> DueOrder {
    let member = &group.members[rank];
    DueOrder {
        vm: member.vm.clone(),
        address: member.address.clone(),
        action: OrderAction::Join(JoinDoc {
            group: group.id.clone(),
            generation: group.generation,
            deployment: group.deployment.clone(),
            rank,
            members: group
                .members
                .iter()
                .map(|member| member.address.clone())
                .collect(),
        }),
        reason: "join",
    }
}
