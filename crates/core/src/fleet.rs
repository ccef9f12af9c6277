//! What the planner looks at and what it asks for.

use indexmap::IndexMap;

use crate::deployment::Deployment;
use crate::evidence::{MemberReport, MemberState};
use crate::group::{GroupMember, GroupRecord};
use crate::id::{DeploymentId, GroupId, Moment, VmId};
use crate::vm::{Vm, VmStatus};

/// What an operator weighs for a deployment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlanWeights {
    /// Weight of a second in which a wanted group cannot serve.
    pub downtime: u32,
    /// Weight of a second in which an accelerator belongs to no working group.
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
    /// Machine as the platform lists it.
    pub vm: Vm,
    /// Group that the table says it belongs to.
    pub claimed: Option<GroupId>,
    /// Newest report that is still good.
    pub report: Option<MemberReport>,
    /// When it was last known to be lost; `None` while it is seen.
    pub lost_since: Option<Moment>,
}

impl VmFacts {
    /// Returns whether the machine may be claimed: listed as live, in no group by the table, and
    /// idle by its own report in its present life.
    pub fn is_free(&self) -> bool {
        let is_idle = self.report.as_ref().is_some_and(|report| {
            report.state == MemberState::Idle && report.incarnation == self.vm.incarnation
        });
        self.claimed.is_none() && self.vm.status == VmStatus::Live && is_idle
    }
}

/// What the planner looks at.
#[derive(Clone, Debug, Default)]
pub struct FleetState {
    /// Machines by name.
    pub vms: IndexMap<VmId, VmFacts>,
    /// Groups by name.
    pub groups: IndexMap<GroupId, GroupRecord>,
    /// Deployments by name.
    pub deployments: IndexMap<DeploymentId, Deployment>,
    /// Loads of weights that may be begun now.
    pub load_budget: usize,
}

/// One thing for the controller to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlanStep {
    /// Claims free machines for a new group.
    Form {
        /// Deployment served.
        deployment: DeploymentId,
        /// Members by rank.
        members: Vec<GroupMember>,
        /// Whether they stand in several fabric domains.
        spans_domains: bool,
        /// Why.
        reason: String,
    },
    /// Replaces members of a group and raises its generation.
    Repair {
        /// Group mended.
        group: GroupId,
        /// Members by rank after the change.
        members: Vec<GroupMember>,
        /// Why.
        reason: String,
    },
    /// Loads weights on a free machine, so that it can stand in for a lost one at once.
    Preload {
        /// Machine.
        vm: VmId,
        /// Deployment whose weights it loads.
        deployment: DeploymentId,
        /// Why.
        reason: String,
    },
    /// Lets a group's machines go.
    Dissolve {
        /// Group dissolved.
        group: GroupId,
        /// Why.
        reason: String,
    },
}
