//! Protocol between operators' clients and a node.

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
    /// Version of the entity that the edit is based on; zero for a new entity.
    pub base: ConfigVersion,
    /// Requested value.
    pub value: ValueDoc,
    /// Id chosen by the client, used to settle the edit if the response is lost.
    pub write: WriteId,
}

/// Result of an edit.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "answer")]
pub enum EditReply {
    /// The edit is in the log at this version.
    Accepted {
        /// Configuration version that the edit created.
        version: ConfigVersion,
    },
    /// The edit is invalid and was not written.
    Refused {
        /// All errors found, each with its location.
        findings: Vec<FindingDoc>,
    },
    /// A concurrent edit changed the same entity first; nothing was written.
    Conflict {
        /// Version of that edit; zero if the entity was deleted.
        version: ConfigVersion,
        /// Value currently in force.
        current: Option<Value>,
        /// Value that was requested.
        wanted: Value,
    },
    /// The table did not respond; the edit may or may not be in force.
    Unknown {
        /// Id to settle the edit with.
        write: WriteId,
    },
}

/// Final result of an edit whose response was lost.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "answer")]
pub enum SettleReply {
    /// The edit is in the log at this version.
    Accepted {
        /// Configuration version that the edit created.
        version: ConfigVersion,
    },
    /// The edit is not in the log and can no longer be written.
    Void,
    /// The table did not respond.
    Unknown,
}

/// One error in a document and its location.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct FindingDoc {
    /// Path of the invalid field.
    pub place: String,
    /// Description of the error.
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

/// Properties of a hypothetical request, to evaluate the rules without sending one.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct TryRequest {
    /// Organisation of the caller.
    pub organisation: String,
    /// Deployment that the request names.
    pub asked: String,
    /// Headers as name and value.
    pub headers: Vec<crate::config::HeaderDoc>,
    /// Size of the body in bytes.
    pub body_bytes: u64,
    /// Zone of the node; the zone of the queried node when absent.
    pub zone: Option<String>,
    /// Minute of the UTC day; the current one when absent.
    pub minute_of_day: Option<u16>,
    /// Number from 0 to 99 that is compared with the percentages of rules.
    pub draw: u8,
}

/// The rule that matches a request, and why the earlier ones do not.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TryReply {
    /// Configuration version that was evaluated.
    pub version: ConfigVersion,
    /// Name of the rule that matches.
    pub rule: Option<String>,
    /// Action of that rule.
    pub then: Option<crate::config::ThenDoc>,
    /// Earlier rules, each with the condition that failed.
    pub passed_over: Vec<PassedRule>,
}

/// A rule that did not match.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PassedRule {
    /// Name of the rule.
    pub rule: String,
    /// First condition that did not match.
    pub failing: String,
}

/// A node's summary for `briarctl status`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct StatusReply {
    /// Node that responds.
    pub node: NodeId,
    /// Its zone.
    pub zone: ZoneId,
    /// Configuration version in force at each node that it receives messages from.
    pub versions: Vec<NodeVersion>,
    /// Groups known to the node.
    pub groups: Vec<GroupStatus>,
    /// Holder and epoch of its zone's lease, as last read.
    pub controller: Option<ControllerStatus>,
    /// Accelerators of its zone that are in no serving group.
    pub stranded_accelerators: u32,
    /// Accumulated downtime of the zone's desired groups in seconds, since this controller took over.
    pub group_downtime_s: f64,
}

/// One node's configuration version.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct NodeVersion {
    /// Node.
    pub node: NodeId,
    /// Version in force there.
    pub version: ConfigVersion,
    /// Milliseconds since its last message.
    pub heard_ms: u64,
}

/// One group as a node sees it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GroupStatus {
    /// Group.
    pub group: GroupId,
    /// Deployment served.
    pub deployment: DeploymentId,
    /// Zone of the group.
    pub zone: ZoneId,
    /// Generation.
    pub generation: Generation,
    /// State: `forming`, `serving` or `dissolving`.
    pub state: String,
    /// Members by rank.
    pub members: Vec<VmId>,
    /// Whether this node currently routes requests to it.
    pub is_routable: bool,
}

/// The controller of a zone.
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
    /// Completed requests.
    pub requests: u64,
    /// Tokens delivered.
    pub tokens: u64,
}

/// Resources that one activity has used since the node started.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CostLine {
    /// Name of the activity.
    pub name: String,
    /// Number of occurrences.
    pub count: u64,
    /// Bytes sent and received, if counted.
    pub bytes: u64,
    /// Processing time in microseconds, if measured.
    pub micros: u64,
}
