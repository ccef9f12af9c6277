//! Input and output of the group planner.

use indexmap::IndexMap;

use crate::deployment::Deployment;
use crate::evidence::{MemberReport, MemberState};
use crate::group::{GroupMember, GroupRecord};
use crate::id::{DeploymentId, GroupId, Moment, VmId};
use crate::vm::{Vm, VmStatus};

/// Relative weights that an operator assigns to the outages of a deployment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlanWeights {
    /// Weight of one second in which a required group cannot serve.
    pub downtime: u32,
    /// Weight of one second in which an accelerator belongs to no working group.
    pub stranded: u32,
}

impl Default for PlanWeights {
    fn default() -> Self {
        Self {
            downtime: 1,
            stranded: 1,
        }
    }
}

/// One machine as the controller sees it.
#[derive(Clone, Debug)]
pub struct VmFacts {
    /// Machine as listed by the platform.
    pub vm: Vm,
    /// Group that has claimed it, according to the table; empty if the claim cannot be read.
    pub claimed: Option<GroupId>,
    /// Latest report that has not expired.
    pub report: Option<MemberReport>,
    /// When it was first found to be lost; `None` while it is reachable.
    pub lost_since: Option<Moment>,
}

impl VmFacts {
    /// Returns whether the machine may be claimed: it is listed as live, belongs to no group in the
    /// table, and its current incarnation reports itself as idle.
    pub fn is_free(&self) -> bool {
        let is_idle = self.report.as_ref().is_some_and(|report| {
            report.state == MemberState::Idle && report.incarnation == self.vm.incarnation
        });
        self.claimed.is_none() && self.vm.status == VmStatus::Live && is_idle
    }
}

/// State of one zone's fleet on which planning is based.
#[derive(Clone, Debug, Default)]
pub struct FleetState {
    /// Machines by name.
    pub vms: IndexMap<VmId, VmFacts>,
    /// Groups by name.
    pub groups: IndexMap<GroupId, GroupRecord>,
    /// Deployments by name.
    pub deployments: IndexMap<DeploymentId, Deployment>,
    /// Number of weight loads that may begin now.
    pub load_budget: usize,
}

/// One step for the controller to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlanStep {
    /// Claim free machines for a new group.
    Form {
        /// Deployment to serve.
        deployment: DeploymentId,
        /// Members by rank.
        members: Vec<GroupMember>,
        /// Whether the members are in several fabric domains.
        spans_domains: bool,
        /// Reason for the step.
        reason: String,
    },
    /// Replace members of a group and increment its generation.
    Repair {
        /// Group to repair.
        group: GroupId,
        /// Members by rank after the change.
        members: Vec<GroupMember>,
        /// Reason for the step.
        reason: String,
    },
    /// Load weights on a free machine, so that it can replace a lost one immediately.
    Preload {
        /// Machine.
        vm: VmId,
        /// Deployment whose weights to load.
        deployment: DeploymentId,
        /// Reason for the step.
        reason: String,
    },
    /// Release the machines of a group.
    Dissolve {
        /// Group to dissolve.
        group: GroupId,
        /// Reason for the step.
        reason: String,
    },
}
