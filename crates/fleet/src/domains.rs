//! The fabric domains that a list of targets makes up.

use briarswitch_core::assignment::DomainStock;
use briarswitch_core::id::{DomainId, ModelId, ZoneId};
use briarswitch_core::target::TargetRecord;
use indexmap::IndexMap;

/// Returns the domains with the zone of most of their targets.
pub fn domains_of<'a>(records: &[&'a TargetRecord]) -> IndexMap<&'a DomainId, &'a ZoneId> {
    let mut counts: IndexMap<&DomainId, IndexMap<&ZoneId, usize>> = IndexMap::new();
    for record in records {
        let zones = counts.entry(&record.domain).or_default();
        *zones.entry(&record.zone).or_insert(0) += 1;
    }
    let largest = counts.into_iter().filter_map(|(domain, zones)| {
        let (zone, _) = zones.into_iter().max_by_key(|(_, count)| *count)?;
        Some((domain, zone))
    });
    let mut domains: IndexMap<&DomainId, &ZoneId> = largest.collect();
    domains.sort_keys();
    domains
}

/// Returns what each domain holds, in an order that all controllers agree on.
pub fn stock_of(
    records: &[&TargetRecord],
    domains: &IndexMap<&DomainId, &ZoneId>,
) -> Vec<DomainStock> {
    let stock = domains.iter().map(|(domain, zone)| {
        let members = records.iter().filter(|record| record.domain == **domain);
        let mut staged: IndexMap<ModelId, usize> = IndexMap::new();
        let mut targets = 0;
        for record in members {
            targets += 1;
            for model in &record.staged {
                *staged.entry(model.clone()).or_insert(0) += 1;
            }
        }
        DomainStock {
            domain: (*domain).clone(),
            zone: (*zone).clone(),
            targets,
            staged,
        }
    });
    stock.collect()
}
