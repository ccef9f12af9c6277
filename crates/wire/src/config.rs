//! Configuration documents as operators write them and as the table keeps them.

use briarswitch_core::prelude::*;
use serde::{Deserialize, Serialize};

/// An organisation's document.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationDoc {
    /// SHA-256 of the caller's key, in hexadecimal.
    pub key_hash: String,
    /// Share of service relative to other organisations.
    #[serde(default = "one")]
    pub weight: u32,
    /// Requests a second allowed over all nodes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub requests_per_second: Option<u32>,
}

/// A deployment's document.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DeploymentDoc {
    /// Pool whose machines serve it.
    pub pool: PoolId,
    /// Model served by replica groups; a document without one describes a plain service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<ModelDoc>,
    /// Requests in flight that one target takes from one node.
    #[serde(default = "default_in_flight")]
    pub target_in_flight: u32,
    /// Rank when machines or places in the queue are short.
    #[serde(default)]
    pub priority: u8,
}

/// What a deployment of a model adds.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ModelDoc {
    /// Machines in one replica.
    pub vms_per_replica: u32,
    /// Replicas wanted in each availability zone.
    pub replicas_per_zone: u32,
    /// Whether the engines refuse orders with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether a replica may span fabric domains.
    #[serde(default)]
    pub spans_domains: bool,
    /// Weight of group downtime.
    #[serde(default = "one")]
    pub downtime_weight: u32,
    /// Weight of stranded accelerators.
    #[serde(default = "one")]
    pub stranded_weight: u32,
}

/// A rule's document.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RuleDoc {
    /// Name of the rule.
    pub name: String,
    /// Conditions, all of which have to hold.
    #[serde(default)]
    pub when: WhenDoc,
    /// What is done.
    pub then: ThenDoc,
}

/// Conditions of a rule.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct WhenDoc {
    /// Organisation that calls.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub organisation: Option<OrganisationId>,
    /// Deployment asked for.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub asked: Option<DeploymentId>,
    /// Header that must carry a value.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub header: Option<HeaderDoc>,
    /// Smallest body in bytes.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub min_body_bytes: Option<u64>,
    /// Zone that took the request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub zone: Option<ZoneId>,
    /// Minutes of the UTC day.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub minutes: Option<MinutesDoc>,
    /// Share of callers, 0 to 100.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub percent: Option<u8>,
}

/// A header and its value.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct HeaderDoc {
    /// Name of the header.
    pub name: String,
    /// Value that it must carry.
    pub value: String,
}

/// A span of minutes in the UTC day.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct MinutesDoc {
    /// First minute.
    pub from: u16,
    /// Minute after the last.
    pub to: u16,
}

/// What a rule does.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ThenDoc {
    /// Sends the request to a deployment.
    Route(RouteDoc),
    /// Refuses the request.
    Reject(RejectDoc),
}

/// Where a rule sends a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RouteDoc {
    /// Deployment that serves it.
    pub deployment: DeploymentId,
    /// Priority in place of the deployment's own.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<u8>,
}

/// Why a rule refuses a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RejectDoc {
    /// Text for the caller.
    pub message: String,
}

/// The text of one entity after an edit.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ValueDoc {
    /// An organisation.
    Organisation(OrganisationDoc),
    /// A deployment.
    Deployment(DeploymentDoc),
    /// The whole rule list.
    Rules(Vec<RuleDoc>),
    /// The entity is gone.
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
    /// Version that the edit made.
    pub version: ConfigVersion,
    /// Kind of the entity.
    pub kind: KindDoc,
    /// Name of the entity.
    pub id: String,
    /// Its text after the edit.
    pub value: ValueDoc,
}

/// The whole configuration at one version, as the object store keeps it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct SnapshotDoc {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// Every entity, with the version of its last edit.
    pub entries: Vec<EntryDoc>,
}

fn one() -> u32 {
    1
}

fn default_in_flight() -> u32 {
    64
}
