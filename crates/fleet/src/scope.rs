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
    pub fn holds(&self, record: &TargetRecord) -> bool {
        record.domain == self.domain && record.service == self.service
    }
}

/// What a scope follows from.
#[derive(Debug)]
pub struct ScopeBasis {
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
    pub engines: Vec<Arc<TargetRecord>>,
    /// Domains that are this node's.
    pub own: IndexSet<DomainKey>,
    /// Targets of those.
    pub mine: Vec<Arc<TargetRecord>>,
    /// Members of groups there whose entries are gone.
    pub unlisted: Vec<Arc<TargetRecord>>,
    basis: ScopeBasis,
}

impl ControlScope {
    /// Works out a scope.
    ///
    /// The domain's own zone goes first, since a zone that is cut off has to mend itself. Two nodes that
    /// both believe a domain theirs do no harm: the targets obey only one of them.
    pub fn open(book: &TrafficBook, basis: ScopeBasis) -> Self {
        let ScopeBasis {
            directory, live, ..
        } = &basis;
        let mut engines = Vec::new();
        let mut own = IndexSet::new();
        for service in book
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
                if live.first_for(domain, zone).is_none() {
                    own.insert(DomainKey {
                        service: service.id.clone(),
                        domain: domain.clone(),
                    });
                }
            }
            engines.extend(of_service.into_iter().cloned());
        }
        let is_mine = |record: &&Arc<TargetRecord>| own.iter().any(|key| key.holds(record));
        let mine = engines.iter().filter(is_mine).cloned().collect();
        let unlisted = directory.cache.unlisted().values();
        let unlisted = unlisted.filter(is_mine).cloned().collect();
        Self {
            engines,
            mine,
            unlisted,
            own,
            basis,
        }
    }

    /// Returns whether the scope follows from the same; what nodes see of callers decides nothing.
    pub fn is_of(&self, basis: &ScopeBasis) -> bool {
        let held = &self.basis;
        held.version == basis.version
            && Arc::ptr_eq(&held.directory, &basis.directory)
            && held.live.composition() == basis.live.composition()
    }
}
