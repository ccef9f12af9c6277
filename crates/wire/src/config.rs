//! Configuration documents as operators submit them and as the table stores them.

use briarswitch_core::prelude::*;
use serde::{Deserialize, Serialize};

/// An organisation's document.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationDoc {
    /// SHA-256 of the caller's key, in hexadecimal.
    pub key_hash: String,
    /// Weight of the organisation's share relative to other organisations.
    #[serde(default = "one")]
    pub weight: u32,
    /// Request rate limit, over all nodes together.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub requests_per_second: Option<u32>,
}

/// A deployment's document.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DeploymentDoc {
    /// Pool of the machines that serve it.
    pub pool: PoolId,
    /// Model served by replica groups; `None` for a plain service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<ModelDoc>,
    /// Maximum number of requests in flight from one node to one target.
    #[serde(default = "default_in_flight")]
    pub target_in_flight: u32,
    /// Priority when machines or queue slots are scarce.
    #[serde(default)]
    pub priority: u8,
}

/// Settings of a deployment that serves a model.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ModelDoc {
    /// Machines in one replica.
    pub vms_per_replica: u32,
    /// Desired number of replicas in each availability zone.
    pub replicas_per_zone: u32,
    /// Whether the engines reject orders with an outdated fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether a replica may span fabric domains.
    #[serde(default)]
    pub spans_domains: bool,
    /// Weight of group downtime in planning.
    #[serde(default = "one")]
    pub downtime_weight: u32,
    /// Weight of stranded accelerators in planning.
    #[serde(default = "one")]
    pub stranded_weight: u32,
}

/// A rule's document.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RuleDoc {
    /// Name of the rule.
    pub name: String,
    /// Conditions, all of which must match.
    #[serde(default)]
    pub when: WhenDoc,
    /// Action taken when the rule matches.
    pub then: ThenDoc,
}

/// Conditions of a rule.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct WhenDoc {
    /// Organisation of the caller.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub organisation: Option<OrganisationId>,
    /// Deployment that the request names.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub asked: Option<DeploymentId>,
    /// Header that must have a given value.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub header: Option<HeaderDoc>,
    /// Smallest body in bytes.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub min_body_bytes: Option<u64>,
    /// Zone of the node that received the request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub zone: Option<ZoneId>,
    /// Time range in minutes of the UTC day.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub minutes: Option<MinutesDoc>,
    /// Percentage of callers that match, 0 to 100.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub percent: Option<u8>,
}

/// A header and its value.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct HeaderDoc {
    /// Name of the header.
    pub name: String,
    /// Required value.
    pub value: String,
}

/// A range of minutes in the UTC day.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct MinutesDoc {
    /// First minute.
    pub from: u16,
    /// End of the range (exclusive).
    pub to: u16,
}

/// Action of a rule.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ThenDoc {
    /// Sends the request to a deployment.
    Route(RouteDoc),
    /// Rejects the request.
    Reject(RejectDoc),
}

/// Where a rule routes a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RouteDoc {
    /// Deployment that serves it.
    pub deployment: DeploymentId,
    /// Priority that overrides that of the deployment.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<u8>,
}

/// How a rule rejects a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RejectDoc {
    /// Message returned to the caller.
    pub message: String,
}

/// The value of one entity after an edit.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ValueDoc {
    /// An organisation.
    Organisation(OrganisationDoc),
    /// A deployment.
    Deployment(DeploymentDoc),
    /// The complete rule list.
    Rules(Vec<RuleDoc>),
    /// The entity was deleted.
    Deleted,
}

/// Kinds of entities.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum KindDoc {
    /// An organisation.
    Organisation,
    /// A deployment.
    Deployment,
    /// The rule list.
    Rules,
}

/// One accepted edit.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EntryDoc {
    /// Configuration version that the edit created.
    pub version: ConfigVersion,
    /// Kind of the entity.
    pub kind: KindDoc,
    /// Name of the entity.
    pub id: String,
    /// Value of the entity after the edit.
    pub value: ValueDoc,
}

/// A snapshot of the configuration at one version, as stored in the object store.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct SnapshotDoc {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// All entities, each with the version of its last edit.
    pub entries: Vec<EntryDoc>,
}

fn one() -> u32 {
    1
}

fn default_in_flight() -> u32 {
    64
}
