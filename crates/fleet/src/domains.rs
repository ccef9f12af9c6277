//! The fabric domains of a list of targets, and the inventory of each.

use briarswitch_core::assembly::HeldWeights;
use briarswitch_core::engine::EngineSpec;
use briarswitch_core::id::{DomainId, ModelId, ZoneId};
use briarswitch_core::layout::DomainInventory;
use briarswitch_core::target::TargetRecord;
use indexmap::IndexMap;

/// The weights of one available target, by the directory or by its own report.
#[derive(Clone, Copy, Debug)]
pub struct InventoryItem<'a> {
    /// Domain.
    pub domain: &'a DomainId,
    /// Zone.
    pub zone: &'a ZoneId,
    /// Its weights.
    pub weights: HeldWeights<'a>,
}

impl<'a> InventoryItem<'a> {
    /// Returns the model that the target can serve next, if the engine has it.
    fn next_model(&self, engine: &EngineSpec) -> Option<&'a ModelId> {
        let model = self.weights.next_model()?;
        engine.models.contains_key(model).then_some(model)
    }
}

impl<'a> InventoryItem<'a> {
    /// Lets a member of a group count for the model that it serves, whatever weights its host holds, if groups change
    /// over between models.
    ///
    /// Only its own controller knows which members are about to move.
    pub fn with_standbys(self, changes_over: bool) -> Self {
        let is_counted = changes_over && self.weights.membership.is_some();
        let staged = if is_counted { &[] } else { self.weights.staged };
        Self {
            weights: HeldWeights {
                staged,
                ..self.weights
            },
            ..self
        }
    }
}

impl<'a> From<&'a TargetRecord> for InventoryItem<'a> {
    fn from(record: &'a TargetRecord) -> Self {
        Self {
            domain: &record.domain,
            zone: &record.zone,
            weights: HeldWeights {
                membership: record.membership.as_ref(),
                model: record.models.first(),
                staged: &record.staged,
                loading: None,
            },
        }
    }
}

/// Returns the domains in order of their names, each with the zone that most of its targets are in.
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

/// Returns the inventory of each domain, in the same order on all controllers.
pub fn inventory_of(
    engine: &EngineSpec,
    domains: &IndexMap<&DomainId, &ZoneId>,
    items: &[InventoryItem<'_>],
    is_own: impl Fn(&DomainId) -> bool,
) -> Vec<DomainInventory> {
    let inventories = domains.iter().map(|(domain, zone)| {
        let inventory = DomainInventory {
            domain: (*domain).clone(),
            zone: (*zone).clone(),
            reports_loads: is_own(domain),
            ..DomainInventory::default()
        };
        (*domain, inventory)
    });
    let mut inventories: IndexMap<&DomainId, DomainInventory> = inventories.collect();
    for item in items {
        let Some(inventory) = inventories.get_mut(item.domain) else {
            continue;
        };
        match item.next_model(engine) {
            Some(model) => *inventory.holders.entry(model.clone()).or_insert(0) += 1,
            None => inventory.empty += 1,
        }
    }
    inventories.into_values().collect()
}
