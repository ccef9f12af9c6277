//! What operators' clients speak with a node.

use briarswitch_core::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::config::{EntryDoc, KindDoc, ValueDoc};

/// One edit of one entity.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EditRequest {
    /// Kind of the entity.
    pub kind: KindDoc,
    /// Name of the entity.
    pub id: String,
    /// Version of the entity that the edit was made against; zero for a new one.
    pub base: ConfigVersion,
    /// Text wanted.
    pub value: ValueDoc,
    /// Id chosen by the client, by which a lost answer is settled.
    pub write: WriteId,
}

/// What became of an edit.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "answer")]
pub enum EditReply {
    /// It is in the log at this version.
    Accepted {
        /// Version of the configuration that it made.
        version: ConfigVersion,
    },
    /// It was not written, for these reasons.
    Refused {
        /// Every fault with its place.
        findings: Vec<FindingDoc>,
    },
    /// Somebody else's edit of the same entity came first; nothing was written.
    Conflict {
        /// Version of that edit; zero when the entity is gone.
        version: ConfigVersion,
        /// Text now in force.
        current: Option<Value>,
        /// Text that was wanted.
        wanted: Value,
    },
    /// The table gave no answer; the edit may or may not be in force.
    Unknown {
        /// Id to settle it by.
        write: WriteId,
    },
}

/// What became of an edit whose answer was lost.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "answer")]
pub enum SettleReply {
    /// It is in the log at this version.
    Accepted {
        /// Version of the configuration that it made.
        version: ConfigVersion,
    },
    /// It is not in the log, and never will be.
    Void,
    /// The table gave no answer.
    Unknown,
}

/// One fault and its place.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct FindingDoc {
    /// Where the fault stands.
    pub place: String,
    /// What is wrong.
    pub message: String,
}

impl From<Finding> for FindingDoc {
    fn from(finding: Finding) -> Self {
        Self {
            place: finding.path,
            message: finding.message,
        }
    }
}

/// The configuration a node has in force.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ConfigReply {
    /// Version in force.
    pub version: ConfigVersion,
    /// Every entity.
    pub entries: Vec<EntryDoc>,
}

/// Facts for trying the rules without sending a request.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct TryRequest {
    /// Organisation that would call.
    pub organisation: String,
    /// Deployment asked for.
    pub asked: String,
    /// Headers as name and value.
    pub headers: Vec<crate::config::HeaderDoc>,
    /// Bytes of the body.
    pub body_bytes: u64,
    /// Zone of the node; the asked node's own when absent.
    pub zone: Option<String>,
    /// Minute of the UTC day; the present one when absent.
    pub minute_of_day: Option<u16>,
    /// Draw from 0 to 99 for percentages.
    pub draw: u8,
}

/// Which rule would decide, and why the earlier ones would not.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TryReply {
    /// Version of the configuration that was asked.
    pub version: ConfigVersion,
    /// Name of the rule that matches.
    pub rule: Option<String>,
    /// What it does.
    pub then: Option<crate::config::ThenDoc>,
    /// Earlier rules and the condition each one failed.
    pub passed_over: Vec<PassedRule>,
}

/// A rule that did not match.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PassedRule {
    /// Name of the rule.
    pub rule: String,
    /// First condition that did not hold.
    pub failing: String,
}

/// A node's summary for `briarctl status`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct StatusReply {
    /// Node that answers.
    pub node: NodeId,
    /// Its zone.
    pub zone: ZoneId,
    /// Configuration version in force at each node it hears from.
    pub versions: Vec<NodeVersion>,
    /// Groups it knows.
    pub groups: Vec<GroupStatus>,
    /// Holder and epoch of its zone's lease, as last read.
    pub controller: Option<ControllerStatus>,
    /// Accelerators of its zone that belong to no working group.
    pub stranded_accelerators: u32,
    /// Seconds that wanted groups of the zone could not serve, since this controller took over.
    pub group_downtime_s: f64,
}

/// One node's configuration version.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct NodeVersion {
    /// Node.
    pub node: NodeId,
    /// Version in force there.
    pub version: ConfigVersion,
    /// Milliseconds since it was heard from.
    pub heard_ms: u64,
}

/// One group as a node sees it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GroupStatus {
    /// Group.
    pub group: GroupId,
    /// Deployment served.
    pub deployment: DeploymentId,
    /// Zone it stands in.
    pub zone: ZoneId,
    /// Generation.
    pub generation: Generation,
    /// Stage of its life: `forming`, `serving` or `dissolving`.
    pub state: String,
    /// Members by rank.
    pub members: Vec<VmId>,
    /// Whether this node would send it a request now.
    pub is_routable: bool,
}

/// Who controls a zone.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ControllerStatus {
    /// Node that holds the lease.
    pub holder: NodeId,
    /// Epoch.
    pub epoch: Epoch,
}

/// One organisation's metered use.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UsageRow {
    /// Organisation.
    pub organisation: OrganisationId,
    /// Requests answered.
    pub requests: u64,
    /// Tokens delivered.
    pub tokens: u64,
}

/// What one cause has cost a node since its start.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CostLine {
    /// Cause.
    pub name: String,
    /// How often.
    pub count: u64,
    /// Bytes sent and received, where they are counted.
    pub bytes: u64,
    /// Time that the work itself took in microseconds, where it is measured.
    pub micros: u64,
}
