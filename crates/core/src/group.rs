//! Replica groups as the table records them.

use crate::id::{DeploymentId, Epoch, Generation, GroupId, Incarnation, VmId};

/// Stage of a group's life.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum GroupState {
    /// Its machines are claimed and being loaded.
    Forming,
    /// Every member has reported the group and generation.
    Serving,
    /// Its machines are being let go.
    Dissolving,
}

/// One machine of a group.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct GroupMember {
    /// Machine.
    pub vm: VmId,
    /// Life of the machine that was claimed.
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
    /// Rises by one whenever the members change.
    pub generation: Generation,
    /// Members by rank; the first one takes requests.
    pub members: Vec<GroupMember>,
    /// Stage of its life.
    pub state: GroupState,
    /// Epoch of the controller that wrote the record.
    pub epoch: Epoch,
}

impl GroupRecord {
    /// Makes the record of a group whose machines were just chosen.
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

    /// Returns the member that runs on a machine.
    pub fn member(&self, vm: &str) -> Option<&GroupMember> {
        self.members.iter().find(|member| member.vm == vm)
    }

    /// Returns the member that takes requests.
    pub fn leader(&self) -> Option<&GroupMember> {
        self.members.first()
    }
}
