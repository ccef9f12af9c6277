//! Plan steps: the number of loads they need, and their description for operators.

use briarswitch_core::group::GroupMember;
use briarswitch_core::prelude::*;

/// Returns the number of weight loads that a step may start.
pub fn load_count(step: &PlanStep) -> usize {
    match step {
        PlanStep::Form { members, .. } | PlanStep::Repair { members, .. } => members.len(),
        PlanStep::Preload { .. } => 1,
        PlanStep::Dissolve { .. } => 0,
    }
}

/// Returns the description of a step for operators and the log.
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
