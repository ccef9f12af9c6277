//! Changes to the controller's rows that follow from reports alone, independent of the plan.

use briarswitch_core::prelude::*;

use crate::term::{ControllerTerm, RowChange, RowChanges};

/// Returns the changes that are due: forming groups that all members have confirmed start to serve,
/// and members of dissolving groups are released once they have left, restarted or disappeared. A
/// group without members left is deleted.
pub fn due_changes(reign: &ControllerTerm, fleet: &FleetState) -> RowChanges {
    let mut changes = RowChanges::default();
    for group in fleet.groups.values() {
        match group.state {
            GroupState::Forming if is_confirmed(group, fleet) => {
                let mut group = group.clone();
                group.state = GroupState::Serving;
                changes.rows.push(RowChange::Group(group));
            }
            GroupState::Dissolving => release_members(reign, group, fleet, &mut changes),
            _ => {}
        }
    }
    changes
}

fn release_members(
    reign: &ControllerTerm,
    group: &GroupRecord,
    fleet: &FleetState,
    changes: &mut RowChanges,
) {
    let claimed: Vec<_> = group
        .members
        .iter()
        .filter(|member| {
            let claim = reign.claims.get(&member.vm);
            claim.is_some_and(|row| row.value.group == group.id)
        })
        .collect();
    let (released, remaining): (Vec<_>, Vec<_>) = claimed.into_iter().partition(|member| {
        let facts = fleet.vms.get(&member.vm);
        is_gone(facts, member.incarnation) || reign.has_left(&member.vm)
    });
    for member in released {
        changes.rows.push(RowChange::DeleteClaim(member.vm.clone()));
    }
    if remaining.is_empty() {
        changes.rows.push(RowChange::DeleteGroup(group.id.clone()));
    }
}

fn is_confirmed(group: &GroupRecord, fleet: &FleetState) -> bool {
    group.members.iter().all(|member| {
        let report = fleet
            .vms
            .get(&member.vm)
            .and_then(|facts| facts.report.as_ref());
        report.is_some_and(|report| report.confirms(group))
    })
}

/// Returns whether a VM has disappeared or been replaced by another incarnation.
fn is_gone(facts: Option<&VmFacts>, incarnation: Incarnation) -> bool {
    facts.is_none_or(|facts| facts.vm.incarnation != incarnation)
}
