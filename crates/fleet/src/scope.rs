//! The fabric domains whose targets a node controls.

use std::sync::Arc;

use briarswitch_core::id::*;
use briarswitch_core::target::TargetRecord;
use briarswitch_core::traffic::TrafficConfig;
use briarswitch_membership::LiveView;
use indexmap::IndexSet;

use crate::domains::domains_of;
use crate::shared::DirectoryView;

/// The targets of one service in one fabric domain.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct DomainKey {
    /// Service.
    pub service: ServiceId,
    /// Domain.
    pub domain: DomainId,
}

impl DomainKey {
    /// Returns whether a target belongs to the service and the domain.
    pub fn contains(&self, record: &TargetRecord) -> bool {
        record.domain == self.domain && record.service == self.service
    }
}

/// Inputs that determine a node's scope.
#[derive(Debug)]
pub struct ScopeInputs {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// Directory of targets.
    pub directory: Arc<DirectoryView>,
    /// Live nodes.
    pub live: Arc<LiveView>,
}

/// The domains and targets that a node controls.
#[derive(Debug)]
pub struct ControlScope {
    /// Targets of all services that run on engines, in all domains.
    pub engine_targets: Vec<Arc<TargetRecord>>,
    /// Domains that this node controls.
    pub own_domains: IndexSet<DomainKey>,
    /// Targets in those domains.
    pub own_targets: Vec<Arc<TargetRecord>>,
    /// Members of groups in those domains whose directory entries are missing.
    pub unlisted_members: Vec<Arc<TargetRecord>>,
    inputs: ScopeInputs,
}

impl ControlScope {
    /// Determines the scope from its inputs.
    ///
    /// Nodes in a domain's own zone come first, because a zone that is cut off from the others has to repair
    /// its groups by itself. If two nodes control the same domain for a while, the condition on each order lets
    /// targets obey only one of them.
    pub fn new(config: &TrafficConfig, inputs: ScopeInputs) -> Self {
        let ScopeInputs {
            directory, live, ..
        } = &inputs;
        let mut engine_targets = Vec::new();
        let mut own_domains = IndexSet::new();
        for service in config
            .services
            .values()
            .filter(|service| service.engine.is_some())
        {
            let targets = directory.cache.targets().values();
            let of_service: Vec<&Arc<TargetRecord>> = targets
                .filter(|record| record.service == service.id)
                .collect();
            let records: Vec<&TargetRecord> =
                of_service.iter().map(|record| record.as_ref()).collect();
            for (domain, zone) in domains_of(&records) {
                if live.is_first_for(domain, zone) {
                    own_domains.insert(DomainKey {
                        service: service.id.clone(),
                        domain: domain.clone(),
                    });
                }
            }
            engine_targets.extend(of_service.into_iter().cloned());
        }
        let is_own =
            |record: &&Arc<TargetRecord>| own_domains.iter().any(|key| key.contains(record));
        let own_targets = engine_targets.iter().filter(is_own).cloned().collect();
        let unlisted = directory.cache.unlisted().values();
        let unlisted_members = unlisted.filter(is_own).cloned().collect();
        Self {
            engine_targets,
            own_targets,
            unlisted_members,
            own_domains,
            inputs,
        }
    }

    /// Returns whether the scope is still valid for these inputs.
    ///
    /// Only the set of live nodes counts here; other changes of the live view, such as observed load, do not
    /// affect the scope.
    pub fn is_current_for(&self, inputs: &ScopeInputs) -> bool {
        let current = &self.inputs;
        current.version == inputs.version
            && Arc::ptr_eq(&current.directory, &inputs.directory)
            && current.live.composition() == inputs.live.composition()
    }
}
