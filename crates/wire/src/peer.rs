//! Messages that nodes exchange.
//!
//! An exchange is always a request and a response, never a push: the requester measures the age of
//! the received data from before it sent the request. A delayed message therefore makes evidence
//! look older, never fresher, and no clocks of different nodes are compared.

use std::time::Duration;

use briarswitch_core::group::GroupMember;
use briarswitch_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::config::{EntryDoc, SnapshotDoc};
use crate::engine::ReportDoc;

/// Path prefix of a caller's request that is forwarded by another node.
pub const FORWARD_PREFIX: &str = "/peer/forward";
/// Header of a request that is forwarded because its node reaches no target; it is not forwarded again.
pub const FORWARD_HOP_HEADER: &str = "x-peer-hop";
/// Header of the response to a forwarded request that the node did not take, so that another one may.
pub const FORWARD_REFUSED_HEADER: &str = "x-peer-refused";
/// Header with the credential of the nodes, sent in addition to the caller's own.
pub const FORWARD_TOKEN_HEADER: &str = "x-peer-token";

/// Request of one node to another.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ExchangeRequest {
    /// Node that sends the request.
    pub node: NodeId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its current incarnation.
    pub incarnation: Incarnation,
    /// Its configuration version.
    pub config: ConfigVersion,
    /// Versions of its zone views.
    pub views: Vec<ViewMark>,
    /// Position up to which it has the evidence of the responding node.
    pub evidence: EvidenceMark,
}

/// Position in a node's sequence of changes to its evidence.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EvidenceMark {
    /// Incarnation of the node that collects the evidence.
    pub incarnation: Incarnation,
    /// Sequence number of the last change that the requester has.
    pub sequence: u64,
}

/// Version of a zone view.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ViewMark {
    /// Zone.
    pub zone: ZoneId,
    /// Epoch of its controller.
    pub epoch: Epoch,
    /// Number of changes in that epoch.
    pub sequence: u64,
}

/// Response of a node to an exchange request.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ExchangeReply {
    /// Node that responds.
    pub node: NodeId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its current incarnation.
    pub incarnation: Incarnation,
    /// Configuration version in force at the node.
    pub config: ConfigVersion,
    /// Whether it has confirmed that no configuration older than its own may be used.
    pub has_floor: bool,
    /// Entries after the requester's version.
    pub entries: Vec<EntryDoc>,
    /// Snapshot of the configuration, if the entries that the requester lacks are no longer kept.
    pub snapshot: Option<SnapshotDoc>,
    /// Views newer than those of the requester.
    pub views: Vec<ViewDoc>,
    /// Evidence from the responding node's own probes.
    pub evidence: EvidenceDoc,
    /// Whether the node is shutting down.
    pub is_leaving: bool,
}

/// Evidence of a node about machines, as changes since the requester's mark.
///
/// A single age covers every machine that is not lost: that of the oldest report. The size of an
/// exchange without changes is therefore independent of the number of machines.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EvidenceDoc {
    /// Position of the last change contained.
    pub mark: EvidenceMark,
    /// Whether this is a snapshot that replaces all earlier evidence.
    pub is_whole: bool,
    /// Changed reports.
    pub changed: Vec<ReportDoc>,
    /// Machines found to be gone: the connection was refused or reset, or another machine responded.
    pub lost: Vec<VmId>,
    /// Machines the node no longer has evidence about; this does not mean that they are lost.
    pub dropped: Vec<VmId>,
    /// Age of the oldest valid report in milliseconds, measured from before it was requested.
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

/// One group, as stored in table rows and views.
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
    /// State of the group.
    pub state: GroupStateDoc,
    /// Epoch of the controller that last wrote it.
    pub epoch: Epoch,
}

/// One member of a group.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MemberDoc {
    /// Machine.
    pub vm: VmId,
    /// Incarnation of the machine that was claimed.
    pub incarnation: Incarnation,
    /// Address as `ip:port`.
    pub address: String,
}

/// State of a group.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum GroupStateDoc {
    /// Members are loading weights.
    Forming,
    /// Serving requests.
    Serving,
    /// Being dissolved.
    Dissolving,
}

impl GroupStateDoc {
    /// Returns the name displayed to operators.
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

/// Converts an age to milliseconds, rounded up so that evidence never looks fresher than it is.
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
