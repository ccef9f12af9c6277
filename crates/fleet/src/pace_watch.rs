//! Connects the observed speed of groups with the pace that their members report.

use briarswitch_core::id::*;
use indexmap::IndexSet;

use crate::ports::TargetReport;
use crate::routing_table::RoutingTable;
use crate::shared::FleetShared;
use crate::tracker::TargetTracker;

/// Has the members of groups that nodes observe as slow polled once, to learn which of them is.
#[derive(Debug, Default)]
pub struct PaceWatch {
    /// Leaders of the slow groups as of the previous round.
    known: IndexSet<TargetId>,
}

impl PaceWatch {
    /// Returns the members of the groups that have become slow since the last call.
    pub fn newly_slow(&mut self, table: &RoutingTable) -> Vec<TargetId> {
        let groups = table.all_groups();
        let slow = groups.filter(|group| group.gauge.speed().is_slow());
        let mut members = Vec::new();
        let mut known = IndexSet::new();
        for group in slow {
            if !self.known.contains(&group.id) {
                let of_group = group.group.iter().flat_map(|group| &group.members);
                members.extend(of_group.cloned());
            }
            known.insert(group.id.clone());
        }
        self.known = known;
        members
    }
}

/// Returns a report without the pace if the node does not observe speed.
pub fn observed_report(shared: &FleetShared, report: TargetReport) -> TargetReport {
    let observes = shared.settings.load_control.observes_speed;
    TargetReport {
        pace: report.pace.filter(|_| observes),
        ..report
    }
}

/// Clears the observed ratio of a group if a member has just reported that its pace is normal again.
pub fn clear_recovered(shared: &FleetShared, tracker: &TargetTracker, target: &str, now: Moment) {
    let targets = tracker.targets();
    let has_recovered = targets
        .get(target)
        .is_some_and(|tracked| tracked.has_recovered());
    if !has_recovered {
        return;
    }
    let table = shared.routing_table.load();
    for leader in table.all_groups() {
        let Some(group) = &leader.group else {
            continue;
        };
        let is_normal = |id: &TargetId| {
            let tracked = targets.get(id);
            tracked.is_none_or(|tracked| tracked.facts.pace.is_normal())
        };
        let is_member = group.members.iter().any(|member| member == target);
        if is_member && group.members.iter().all(is_normal) {
            leader.gauge.speed().clear(now);
        }
    }
}
