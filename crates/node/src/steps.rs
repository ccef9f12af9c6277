//! Steps of a plan: what they load, and how operators read them.

use briarswitch_core::group::GroupMember;
use briarswitch_core::prelude::*;

/// Returns the loads of weights that a step may begin.
pub fn load_count(step: &PlanStep) -> usize {
    match step {
        PlanStep::Form { members, .. } | PlanStep::Repair { members, .. } => members.len(),
        PlanStep::Preload { .. } => 1,
        PlanStep::Dissolve { .. } => 0,
    }
}

/// Returns a step as operators read it.
pub fn describe_step(step: &PlanStep) -> String {
    let names = |members: &[GroupMember]| {
        let names: Vec<&str> = members.iter().map(|member| member.vm.as_str()).collect();
        names.join(",")
    };
    match step {
        PlanStep::Form {
            deployment,
            members,
            spans_domains,
            reason,
        } => {
            let spans = if *spans_domains {
                " across fabric domains"
            } else {
                ""
            };
            format!("form {deployment} from {}{spans}: {reason}", names(members))
        }
        PlanStep::Repair {
            group,
            members,
            reason,
        } => format!("mend {group} with {}: {reason}", names(members)),
        PlanStep::Preload {
            vm,
            deployment,
            reason,
        } => format!("preload {deployment} on {vm}: {reason}"),
        PlanStep::Dissolve { group, reason } => format!("dissolve {group}: {reason}"),
    }
}
