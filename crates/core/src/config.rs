//! The accepted configuration: its entities, its version and the log of edits that builds it.

use indexmap::IndexMap;

use crate::deployment::Deployment;
use crate::finding::Finding;
use crate::id::{ConfigVersion, DeploymentId, OrganisationId};
use crate::organisation::Organisation;
use crate::rule::{Rule, RuleAction};

/// Kinds of entities that operators edit.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum EntityKind {
    /// An organisation.
    Organisation,
    /// A deployment.
    Deployment,
    /// The ordered rule list.
    Rules,
}

/// Identifies one entity.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct EntityKey {
    /// Kind of the entity.
    pub kind: EntityKind,
    /// Name within the kind.
    pub id: String,
}

/// State of an entity after an edit.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigValue {
    /// The new definition of an organisation.
    Organisation(Organisation),
    /// The new definition of a deployment.
    Deployment(Deployment),
    /// The complete rule list.
    Rules(Vec<Rule>),
    /// The entity was deleted.
    Deleted,
}

/// One accepted edit.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigEntry {
    /// Version created by the edit.
    pub version: ConfigVersion,
    /// Entity edited.
    pub key: EntityKey,
    /// State of the entity after the edit.
    pub value: ConfigValue,
}

/// The configuration at one version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct VersionedConfig {
    version: ConfigVersion,
    organisations: IndexMap<OrganisationId, Organisation>,
    deployments: IndexMap<DeploymentId, Deployment>,
    rules: Vec<Rule>,
    edit_versions: IndexMap<EntityKey, ConfigVersion>,
}

impl VersionedConfig {
    /// Restores a configuration from the current entities of a snapshot.
    pub fn restore(version: ConfigVersion, entries: Vec<ConfigEntry>) -> Self {
        let mut config = Self::default();
        for entry in entries {
            config.insert(entry);
        }
        config.version = version;
        config
    }

    /// Returns the current version.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Returns the version at which an entity was last edited, or zero if it is not present.
    pub fn edited_at(&self, key: &EntityKey) -> ConfigVersion {
        self.edit_versions.get(key).copied().unwrap_or(0)
    }

    /// Returns the organisations by name.
    pub fn organisations(&self) -> &IndexMap<OrganisationId, Organisation> {
        &self.organisations
    }

    /// Returns the deployments by name.
    pub fn deployments(&self) -> &IndexMap<DeploymentId, Deployment> {
        &self.deployments
    }

    /// Returns the rules in order.
    pub fn rules(&self) -> &[Rule] {
        &self.rules
    }

    /// Returns the current entities as entries, the form that a snapshot stores.
    pub fn entries(&self) -> Vec<ConfigEntry> {
        self.edit_versions
            .iter()
            .map(|(key, version)| ConfigEntry {
                version: *version,
                key: key.clone(),
                value: self.value(key).unwrap_or(ConfigValue::Deleted),
            })
            .collect()
    }

    /// Returns the current state of an entity.
    pub fn value(&self, key: &EntityKey) -> Option<ConfigValue> {
        match key.kind {
            EntityKind::Organisation => self
                .organisations
                .get(&key.id)
                .cloned()
                .map(ConfigValue::Organisation),
            EntityKind::Deployment => self
                .deployments
                .get(&key.id)
                .cloned()
                .map(ConfigValue::Deployment),
            EntityKind::Rules => {
                (!self.rules.is_empty()).then(|| ConfigValue::Rules(self.rules.clone()))
            }
        }
    }

    /// Applies the entry that directly follows the current version and ignores any other.
    ///
    /// Rejecting both older entries and entries that skip a version prevents a node from returning
    /// to an older configuration and from using one with a missing edit, whatever order entries
    /// arrive in.
    ///
    /// ```
    /// use briarswitch_core::prelude::*;
    ///
    /// let key = EntityKey { kind: EntityKind::Deployment, id: "old".into() };
    /// let entry = ConfigEntry { version: 2, key, value: ConfigValue::Deleted };
    /// assert!(!VersionedConfig::default().apply(entry));
    /// ```
    pub fn apply(&mut self, entry: ConfigEntry) -> bool {
        if self.version.checked_add(1) != Some(entry.version) {
            return false;
        }
        self.version = entry.version;
        self.insert(entry);
        true
    }

    /// Replaces this configuration with `other` if that is newer.
    pub fn adopt(&mut self, other: Self) -> bool {
        if other.version <= self.version {
            return false;
        }
        *self = other;
        true
    }

    /// Validates the configuration that would result from an edit and returns all errors.
    pub fn check_edit(&self, key: &EntityKey, value: &ConfigValue) -> Vec<Finding> {
        let mut next = self.clone();
        next.insert(ConfigEntry {
            version: self.version.saturating_add(1),
            key: key.clone(),
            value: value.clone(),
        });
        next.check()
    }

    /// Validates the whole configuration.
    pub fn check(&self) -> Vec<Finding> {
        let mut findings = Vec::new();
        for (index, (id, organisation)) in self.organisations.iter().enumerate() {
            findings.extend(organisation.check(&format!("organisations.{id}")));
            findings.extend(self.check_duplicate_key(index, organisation));
        }
        for (id, deployment) in &self.deployments {
            findings.extend(deployment.check(&format!("deployments.{id}")));
        }
        for (index, rule) in self.rules.iter().enumerate() {
            findings.extend(self.check_rule(index, rule));
        }
        findings
    }

    /// Finds an earlier organisation with the same key, to which this one's calls would be charged.
    fn check_duplicate_key(&self, index: usize, organisation: &Organisation) -> Option<Finding> {
        let mut earlier = self.organisations.values().take(index);
        let other = earlier.find(|other| other.key_hash == organisation.key_hash)?;
        Some(Finding::new(
            format!("organisations.{}.key_hash", organisation.id),
            format!("{} has the same key", other.id),
        ))
    }

    fn check_rule(&self, index: usize, rule: &Rule) -> Vec<Finding> {
        let path = format!("rules[{index}]");
        let mut findings = rule.check(&path);
        if let RuleAction::Route { deployment, .. } = &rule.then {
            if !self.deployments.contains_key(deployment) {
                findings.push(Finding::new(
                    format!("{path}.then.deployment"),
                    format!("no deployment is named {deployment}"),
                ));
            }
        }
        let is_repeated = self.rules[..index]
            .iter()
            .any(|other| other.name == rule.name);
        if is_repeated {
            findings.push(Finding::new(
                format!("{path}.name"),
                format!("an earlier rule is also named {}", rule.name),
            ));
        }
        findings
    }

    fn insert(&mut self, entry: ConfigEntry) {
        let ConfigEntry {
            version,
            key,
            value,
        } = entry;
        let id = key.id.clone();
        if value == ConfigValue::Deleted {
            self.remove(&key);
            return;
        }
        match value {
            ConfigValue::Organisation(organisation) => {
                self.organisations.insert(id, organisation);
            }
            ConfigValue::Deployment(deployment) => {
                self.deployments.insert(id, deployment);
            }
            ConfigValue::Rules(rules) => self.rules = rules,
            ConfigValue::Deleted => {}
        }
        self.edit_versions.insert(key, version);
    }

    fn remove(&mut self, key: &EntityKey) {
        self.edit_versions.shift_remove(key);
        match key.kind {
            EntityKind::Organisation => {
                self.organisations.shift_remove(&key.id);
            }
            EntityKind::Deployment => {
                self.deployments.shift_remove(&key.id);
            }
            EntityKind::Rules => self.rules.clear(),
        }
    }
}
