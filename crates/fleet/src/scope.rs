//! The fabric domains in which a node gives the orders.

use std::sync::Arc;

use briarswitch_core::id::*;
use briarswitch_core::target::TargetRecord;
use briarswitch_core::traffic::TrafficBook;
use briarswitch_membership::LiveView;
use indexmap::IndexSet;

use crate::domains::domains_of;
use crate::shared::DirectoryView;

/// One service's part of a fabric domain.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct DomainKey {
    /// Service.
    pub service: ServiceId,
    /// Domain.
    pub domain: DomainId,
}

impl DomainKey {
    /// Returns whether a target belongs to the domain.
    pub fn contains(&self, record: &TargetRecord) -> bool {
        record.domain == self.domain && record.service == self.service
    }
}

/// What a scope follows from.
#[derive(Debug)]
pub struct ScopeInputs {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// Targets.
    pub directory: Arc<DirectoryView>,
    /// Nodes that live.
    pub live: Arc<LiveView>,
}

/// What a node is responsible for.
#[derive(Debug)]
pub struct ControlScope {
    /// Targets of all services whose targets are engines.
    pub engine_targets: Vec<Arc<TargetRecord>>,
    /// Domains that are this node's.
    pub own_domains: IndexSet<DomainKey>,
    /// Targets of those.
    pub own_targets: Vec<Arc<TargetRecord>>,
    /// Members of groups there whose entries are gone.
    pub unlisted_members: Vec<Arc<TargetRecord>>,
    inputs: ScopeInputs,
}

impl ControlScope {
    /// Works out a scope.
    ///
    /// The domain's own zone goes first, since a zone that is cut off has to mend itself. Two nodes that
    /// both believe a domain theirs do no harm: the targets obey only one of them.
    pub fn new(book: &TrafficBook, inputs: ScopeInputs) -> Self {
        let ScopeInputs {
            directory, live, ..
        } = &inputs;
        let mut engine_targets = Vec::new();
        let mut own_domains = IndexSet::new();
        for service in book
            .services
            .values()
            .filter(|service| service.engine.is_some())
        {
            let targets = directory.book.targets().values();
            let of_service: Vec<&Arc<TargetRecord>> = targets
                .filter(|record| record.service == service.id)
                .collect();
            let records: Vec<&TargetRecord> =
                of_service.iter().map(|record| record.as_ref()).collect();
            for (domain, zone) in domains_of(&records) {
                if live.first_for(domain, zone).is_none() {
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
        let unlisted = directory.book.unlisted().values();
        let unlisted_members = unlisted.filter(is_own).cloned().collect();
        Self {
            engine_targets,
            own_targets,
            unlisted_members,
            own_domains,
            inputs,
        }
    }

    /// Returns whether the scope follows from the same; what nodes see of callers decides nothing.
    pub fn is_current_for(&self, inputs: &ScopeInputs) -> bool {
        let current = &self.inputs;
        current.version == inputs.version
            && Arc::ptr_eq(&current.directory, &inputs.directory)
            && current.live.composition() == inputs.live.composition()
    }
}
