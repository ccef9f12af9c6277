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

impl From<KindDoc> for EntityKind {
    fn from(doc: KindDoc) -> Self {
        match doc {
            KindDoc::Organisation => Self::Organisation,
            KindDoc::Deployment => Self::Deployment,
            KindDoc::Rules => Self::Rules,
        }
    }
}

impl From<EntityKind> for KindDoc {
    fn from(kind: EntityKind) -> Self {
        match kind {
            EntityKind::Organisation => Self::Organisation,
            EntityKind::Deployment => Self::Deployment,
            EntityKind::Rules => Self::Rules,
        }
    }
}

impl KindDoc {
    /// Returns the name used in row keys and commands.
    pub fn name(self) -> &'static str {
        match self {
            Self::Organisation => "organisation",
            Self::Deployment => "deployment",
            Self::Rules => "rules",
        }
    }
}

/// A document whose kind does not fit the entity it was sent for.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the document is not of kind {wanted}")]
pub struct KindMismatch {
    /// Kind of the entity.
    pub wanted: &'static str,
}

impl TryFrom<EntryDoc> for ConfigEntry {
    type Error = KindMismatch;

    fn try_from(doc: EntryDoc) -> Result<Self, KindMismatch> {
        let fits = matches!(
            (doc.kind, &doc.value),
            (KindDoc::Organisation, ValueDoc::Organisation(_))
                | (KindDoc::Deployment, ValueDoc::Deployment(_))
                | (KindDoc::Rules, ValueDoc::Rules(_))
                | (_, ValueDoc::Deleted)
        );
        if !fits {
            return Err(KindMismatch {
                wanted: doc.kind.name(),
            });
        }
        let value = match doc.value {
            ValueDoc::Organisation(text) => ConfigValue::Organisation(text.into_named(&doc.id)),
            ValueDoc::Deployment(text) => ConfigValue::Deployment(text.into_named(&doc.id)),
            ValueDoc::Rules(rules) => {
                ConfigValue::Rules(rules.into_iter().map(Rule::from).collect())
            }
            ValueDoc::Deleted => ConfigValue::Deleted,
        };
        Ok(Self {
            version: doc.version,
            key: EntityKey {
                kind: doc.kind.into(),
                id: doc.id,
            },
            value,
        })
    }
}

impl From<ConfigEntry> for EntryDoc {
    fn from(entry: ConfigEntry) -> Self {
        let value = match entry.value {
            ConfigValue::Organisation(organisation) => ValueDoc::Organisation(organisation.into()),
            ConfigValue::Deployment(deployment) => ValueDoc::Deployment(deployment.into()),
            ConfigValue::Rules(rules) => {
                ValueDoc::Rules(rules.into_iter().map(RuleDoc::from).collect())
            }
            ConfigValue::Deleted => ValueDoc::Deleted,
        };
        Self {
            version: entry.version,
            kind: entry.key.kind.into(),
            id: entry.key.id,
            value,
        }
    }
}

impl From<&ConfigBook> for SnapshotDoc {
    fn from(book: &ConfigBook) -> Self {
        Self {
            version: book.version(),
            entries: book.entries().into_iter().map(EntryDoc::from).collect(),
        }
    }
}

impl TryFrom<SnapshotDoc> for ConfigBook {
    type Error = KindMismatch;

    fn try_from(doc: SnapshotDoc) -> Result<Self, KindMismatch> {
        let entries: Result<Vec<_>, _> =
            doc.entries.into_iter().map(ConfigEntry::try_from).collect();
        Ok(Self::restore(doc.version, entries?))
    }
}

impl OrganisationDoc {
    /// Gives the document its name.
    pub fn into_named(self, id: &str) -> Organisation {
        Organisation {
            id: id.to_owned(),
            key_hash: self.key_hash,
            weight: self.weight,
            requests_per_second: self.requests_per_second,
        }
    }
}

impl From<Organisation> for OrganisationDoc {
    fn from(organisation: Organisation) -> Self {
        Self {
            key_hash: organisation.key_hash,
            weight: organisation.weight,
            requests_per_second: organisation.requests_per_second,
        }
    }
}

impl DeploymentDoc {
    /// Gives the document its name.
    pub fn into_named(self, id: &str) -> Deployment {
        let kind = match self.model {
            Some(model) => DeploymentKind::Model {
                vms_per_replica: model.vms_per_replica,
                replicas_per_zone: model.replicas_per_zone,
                checks_fencing: model.checks_fencing,
                spans_domains: model.spans_domains,
                weights: PlanWeights {
                    downtime: model.downtime_weight,
                    stranded: model.stranded_weight,
                },
            },
            None => DeploymentKind::Service,
        };
        Deployment {
            id: id.to_owned(),
            pool: self.pool,
            kind,
            target_in_flight: self.target_in_flight,
            priority: self.priority,
        }
    }
}

impl From<Deployment> for DeploymentDoc {
    fn from(deployment: Deployment) -> Self {
        let model = match deployment.kind {
            DeploymentKind::Model {
                vms_per_replica,
                replicas_per_zone,
                checks_fencing,
                spans_domains,
                weights,
            } => Some(ModelDoc {
                vms_per_replica,
                replicas_per_zone,
                checks_fencing,
                spans_domains,
                downtime_weight: weights.downtime,
                stranded_weight: weights.stranded,
            }),
            DeploymentKind::Service => None,
        };
        Self {
            pool: deployment.pool,
            model,
            target_in_flight: deployment.target_in_flight,
            priority: deployment.priority,
        }
    }
}

impl From<RuleDoc> for Rule {
    fn from(doc: RuleDoc) -> Self {
        let when = RuleMatch {
            organisation: doc.when.organisation,
            asked: doc.when.asked,
            header: doc.when.header.map(|header| (header.name, header.value)),
            min_body_bytes: doc.when.min_body_bytes,
            zone: doc.when.zone,
            minutes: doc.when.minutes.map(|span| (span.from, span.to)),
            percent: doc.when.percent,
        };
        let then = match doc.then {
            ThenDoc::Route(route) => RuleAction::Route {
                deployment: route.deployment,
                priority: route.priority,
            },
            ThenDoc::Reject(reject) => RuleAction::Reject {
                message: reject.message,
            },
        };
        Self {
            name: doc.name,
            when,
            then,
        }
    }
}

impl From<Rule> for RuleDoc {
    fn from(rule: Rule) -> Self {
        let when = WhenDoc {
            organisation: rule.when.organisation,
            asked: rule.when.asked,
            header: rule
                .when
                .header
                .map(|(name, value)| HeaderDoc { name, value }),
            min_body_bytes: rule.when.min_body_bytes,
            zone: rule.when.zone,
            minutes: rule.when.minutes.map(|(from, to)| MinutesDoc { from, to }),
            percent: rule.when.percent,
        };
        let then = match rule.then {
            RuleAction::Route {
                deployment,
                priority,
            } => ThenDoc::Route(RouteDoc {
                deployment,
                priority,
            }),
            RuleAction::Reject { message } => ThenDoc::Reject(RejectDoc { message }),
        };
        Self {
            name: rule.name,
            when,
            then,
        }
    }
}
