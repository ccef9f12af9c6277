//! Which orders are due, from the difference between the table and the engines' reports.

use briarswitch_core::prelude::*;
use briarswitch_wire::engine::{JoinDoc, OrderAction};

use crate::shared::FleetView;
use crate::term::ControllerTerm;

/// An order that one machine needs.
#[derive(Clone, Debug, PartialEq)]
pub struct DueOrder {
    /// Machine.
    pub vm: VmId,
    /// Address as `ip:port`.
    pub address: String,
    /// What to do.
    pub action: OrderAction,
    /// Why, for the log.
    pub reason: &'static str,
}

/// Returns every order that is due.
///
/// Orders follow from the table and the reports alone, never from what this node remembers having
/// ordered: a member that returns after it was given up on is told what the table says of it now.
pub fn orders_due(
    reign: &ControllerTerm,
    fleet: &FleetView,
    report_of: &dyn Fn(&str) -> Option<MemberReport>,
) -> Vec<DueOrder> {
    let mut orders = join_orders(reign, report_of);
    orders.extend(leave_orders(reign, fleet, report_of));
    orders
}

fn join_orders(
    reign: &ControllerTerm,
    report_of: &dyn Fn(&str) -> Option<MemberReport>,
) -> Vec<DueOrder> {
    let mut orders = Vec::new();
    for row in reign.groups.values() {
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
    reign: &ControllerTerm,
    fleet: &FleetView,
    report_of: &dyn Fn(&str) -> Option<MemberReport>,
) -> Vec<DueOrder> {
    let mut orders = Vec::new();
    for vm in fleet.vms.values() {
        let Some(report) = report_of(&vm.id) else {
            continue;
        };
        if needs_leave(reign, &report) {
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
    let is_there =
        report.group.as_deref() == Some(group.id.as_str()) && report.generation == group.generation;
    !is_there || report.state == MemberState::Idle
}

/// Returns whether a machine has to be told to leave: it is in a group that the table does not have
/// it in, or its group is being dissolved and it has not acknowledged an order to leave.
///
/// A report that it is idle is not enough for the latter: it may be older than an order to join that
/// is still on its way, and the machine would be let go while it joins. The order to leave carries
/// a higher fencing number, so once it is acknowledged the earlier one is refused.
fn needs_leave(reign: &ControllerTerm, report: &MemberReport) -> bool {
    let claim = reign.claims.get(&report.vm).map(|row| &row.value);
    let is_in_group = report.group.is_some();
    let Some(claim) = claim else {
        return is_in_group;
    };
    let row = reign.groups.get(&claim.group);
    let is_dissolving = row.is_none_or(|row| row.value.state == GroupState::Dissolving);
    let is_same_life = claim.incarnation == report.incarnation;
    is_dissolving && is_same_life && !reign.has_left(&report.vm)
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
