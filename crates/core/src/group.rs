//! Replica groups as recorded in the table.

use crate::id::{DeploymentId, Epoch, Generation, GroupId, Incarnation, VmId};

/// Lifecycle state of a group.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum GroupState {
    /// Its machines are claimed and load weights.
    Forming,
    /// Every member has reported the current group and generation.
    Serving,
    /// Its machines are being released.
    Dissolving,
}

/// One machine of a group.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct GroupMember {
    /// Machine.
    pub vm: VmId,
    /// Incarnation of the machine when it was claimed.
    pub incarnation: Incarnation,
    /// Address as `ip:port`.
    pub address: String,
}

/// One replica group.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct GroupRecord {
    /// Name of the group.
    pub id: GroupId,
    /// Deployment it serves.
    pub deployment: DeploymentId,
    /// Incremented whenever the members change.
    pub generation: Generation,
    /// Members by rank; the first one is the leader.
    pub members: Vec<GroupMember>,
    /// Lifecycle state.
    pub state: GroupState,
    /// Epoch of the controller that wrote the record.
    pub epoch: Epoch,
}

impl GroupRecord {
    /// Creates the record of a group whose machines have just been chosen.
    pub fn forming(
        id: GroupId,
        deployment: DeploymentId,
        members: Vec<GroupMember>,
        epoch: Epoch,
    ) -> Self {
        Self {
            id,
            deployment,
            generation: 1,
            members,
            state: GroupState::Forming,
            epoch,
        }
    }

    /// Returns the member on a machine.
    pub fn member(&self, vm: &str) -> Option<&GroupMember> {
        self.members.iter().find(|member| member.vm == vm)
    }

    /// Returns the member that takes the group's requests.
    pub fn leader(&self) -> Option<&GroupMember> {
        self.members.first()
    }
}
