//! What nodes tell each other.
//!
//! An exchange is a question and an answer, never an announcement: the asker counts the age of what
//! it learns from before it asked, so a message held up on the way makes evidence look older, never
//! fresher, and no clocks are compared.

use std::time::Duration;

use briarswitch_core::group::GroupMember;
use briarswitch_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::config::{EntryDoc, SnapshotDoc};
use crate::engine::ReportDoc;

/// Path before that of a caller's request that another node passes on.
pub const FORWARD_PREFIX: &str = "/peer/forward";
/// Header that carries the nodes' credential beside the caller's own.
pub const FORWARD_TOKEN_HEADER: &str = "x-peer-token";

/// What one node asks another.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ExchangeRequest {
    /// Node that asks.
    pub node: NodeId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its present life.
    pub incarnation: Incarnation,
    /// Configuration version it has.
    pub config: ConfigVersion,
    /// Zone views it has.
    pub views: Vec<ViewMark>,
    /// Life of the answering node whose evidence it holds, and the last change it holds of it.
    pub evidence: EvidenceMark,
}

/// How much of a node's evidence an asker already holds.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EvidenceMark {
    /// Life of the node that holds the evidence.
    pub incarnation: Incarnation,
    /// Last change the asker has.
    pub sequence: u64,
}

/// How new a zone view is.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ViewMark {
    /// Zone.
    pub zone: ZoneId,
    /// Epoch of its controller.
    pub epoch: Epoch,
    /// Changes in that epoch.
    pub sequence: u64,
}

/// What a node answers.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ExchangeReply {
    /// Node that answers.
    pub node: NodeId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its present life.
    pub incarnation: Incarnation,
    /// Configuration version it has in force.
    pub config: ConfigVersion,
    /// Whether it knows that no older configuration than its own may be used.
    pub has_floor: bool,
    /// Entries that follow the asker's version.
    pub entries: Vec<EntryDoc>,
    /// The whole configuration, where the entries the asker lacks are no longer held.
    pub snapshot: Option<SnapshotDoc>,
    /// Views newer than the asker's.
    pub views: Vec<ViewDoc>,
    /// Evidence of the answering node's own probes.
    pub evidence: EvidenceDoc,
    /// Whether the node is shutting down.
    pub is_leaving: bool,
}

/// What a node knows of machines, as changes since the asker's mark.
///
/// One age covers every machine that is not lost: it is that of the oldest report. While nothing
/// changes an exchange therefore costs the same whatever the number of machines.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EvidenceDoc {
    /// Last change contained.
    pub mark: EvidenceMark,
    /// Whether the asker has to forget what it held before.
    pub is_whole: bool,
    /// Reports that changed.
    pub changed: Vec<ReportDoc>,
    /// Machines found gone: refused, reset or answered by another.
    pub lost: Vec<VmId>,
    /// Machines the node no longer vouches for, which says nothing against them.
    pub dropped: Vec<VmId>,
    /// Milliseconds since before the oldest report that stands was asked for.
    pub age_ms: u32,
}

/// One zone's groups.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ViewDoc {
    /// Zone, epoch and sequence.
    pub mark: ViewMark,
    /// Groups.
    pub groups: Vec<GroupDoc>,
}

/// One group, as rows of the table and views carry it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GroupDoc {
    /// Group.
    pub id: GroupId,
    /// Deployment served.
    pub deployment: DeploymentId,
    /// Generation.
    pub generation: Generation,
    /// Members by rank.
    pub members: Vec<MemberDoc>,
    /// Stage of its life.
    pub state: GroupStateDoc,
    /// Epoch of the controller that wrote it.
    pub epoch: Epoch,
}

/// One member of a group.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MemberDoc {
    /// Machine.
    pub vm: VmId,
    /// Life of the machine that was claimed.
    pub incarnation: Incarnation,
    /// Address as `ip:port`.
    pub address: String,
}

/// Stage of a group's life.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum GroupStateDoc {
    /// Being loaded.
    Forming,
    /// Admitted.
    Serving,
    /// Being let go.
    Dissolving,
}

impl GroupStateDoc {
    /// Returns the name shown to operators.
    pub fn name(self) -> &'static str {
        match self {
            Self::Forming => "forming",
            Self::Serving => "serving",
            Self::Dissolving => "dissolving",
        }
    }
}

impl From<GroupState> for GroupStateDoc {
    fn from(state: GroupState) -> Self {
        match state {
            GroupState::Forming => Self::Forming,
            GroupState::Serving => Self::Serving,
            GroupState::Dissolving => Self::Dissolving,
        }
    }
}

impl From<GroupStateDoc> for GroupState {
    fn from(doc: GroupStateDoc) -> Self {
        match doc {
            GroupStateDoc::Forming => Self::Forming,
            GroupStateDoc::Serving => Self::Serving,
            GroupStateDoc::Dissolving => Self::Dissolving,
        }
    }
}

impl From<&GroupRecord> for GroupDoc {
    fn from(record: &GroupRecord) -> Self {
        let members = record.members.iter().map(|member| MemberDoc {
            vm: member.vm.clone(),
            incarnation: member.incarnation,
            address: member.address.clone(),
        });
        Self {
            id: record.id.clone(),
            deployment: record.deployment.clone(),
            generation: record.generation,
            members: members.collect(),
            state: record.state.into(),
            epoch: record.epoch,
        }
    }
}

impl From<GroupDoc> for GroupRecord {
    fn from(doc: GroupDoc) -> Self {
        let members = doc.members.into_iter().map(|member| GroupMember {
            vm: member.vm,
            incarnation: member.incarnation,
            address: member.address,
        });
        Self {
            id: doc.id,
            deployment: doc.deployment,
            generation: doc.generation,
            members: members.collect(),
            state: doc.state.into(),
            epoch: doc.epoch,
        }
    }
}

impl From<&ZoneView> for ViewMark {
    fn from(view: &ZoneView) -> Self {
        Self {
            zone: view.zone.clone(),
            epoch: view.epoch,
            sequence: view.sequence,
        }
    }
}

impl From<&ZoneView> for ViewDoc {
    fn from(view: &ZoneView) -> Self {
        Self {
            mark: view.into(),
            groups: view.groups.values().map(GroupDoc::from).collect(),
        }
    }
}

impl From<ViewDoc> for ZoneView {
    fn from(doc: ViewDoc) -> Self {
        let groups = doc.groups.into_iter().map(|group| {
            let record = GroupRecord::from(group);
            (record.id.clone(), record)
        });
        Self {
            zone: doc.mark.zone,
            epoch: doc.mark.epoch,
            sequence: doc.mark.sequence,
            groups: groups.collect(),
        }
    }
}

/// Converts an age to whole milliseconds, rounded up so that evidence never looks fresher.
///
/// ```
/// use briarswitch_wire::peer::age_ms;
/// use std::time::Duration;
///
/// assert_eq!(age_ms(Duration::from_micros(1)), 1);
/// ```
pub fn age_ms(age: Duration) -> u32 {
    u32::try_from(age.as_micros().div_ceil(1000)).unwrap_or(u32::MAX)
}
