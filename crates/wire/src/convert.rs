//! Conversions between configuration documents and the types of `briarswitch_core`.

use briarswitch_core::prelude::*;

use crate::config::{
    DeploymentDoc, EntryDoc, HeaderDoc, KindDoc, MinutesDoc, ModelDoc, OrganisationDoc, RejectDoc,
    RouteDoc, RuleDoc, SnapshotDoc, ThenDoc, ValueDoc, WhenDoc,
};

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

/// The kind of a document differs from the kind of its entity.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the document is not of kind {wanted}")]
pub struct KindMismatch {
    /// Kind that the entity requires.
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

impl From<&VersionedConfig> for SnapshotDoc {
    fn from(config: &VersionedConfig) -> Self {
        Self {
            version: config.version(),
            entries: config.entries().into_iter().map(EntryDoc::from).collect(),
        }
    }
}

impl TryFrom<SnapshotDoc> for VersionedConfig {
    type Error = KindMismatch;

    fn try_from(doc: SnapshotDoc) -> Result<Self, KindMismatch> {
        let entries: Result<Vec<_>, _> =
            doc.entries.into_iter().map(ConfigEntry::try_from).collect();
        Ok(Self::restore(doc.version, entries?))
    }
}

impl OrganisationDoc {
    /// Converts the document to an entity named `id`.
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
    /// Converts the document to an entity named `id`.
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
