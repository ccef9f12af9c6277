//! Plans how many targets of each fabric domain should hold the weights of which model.
//!
//! The targets that hold a model's weights form as many complete groups as their number allows, and
//! the rest are spares. What matters is not how many groups a domain has now but how many it still
//! has after losing some of its targets. Eight targets in two groups of four form only one group
//! after the first loss, and no other model can use the three left over until they have loaded its
//! weights. Loads are the bottleneck once requests arrive: at sixteen seconds each and six at a
//! time, the store completes about as many loads as targets are lost. Before the first request they
//! are cheap.
//!
//! Weights are therefore allocated by the expected number of surviving groups, each of which counts
//! more the less of its model's demand is covered. All controllers compute the same layout from the
//! same list.

use std::cmp::Reverse;

use indexmap::IndexMap;

use crate::coverage::{coverage_utility, demand_by_model, model_weight};
use crate::engine::{EngineSpec, ModelSpec};
use crate::id::{DomainId, ModelId, ZoneId};
use crate::losses::{LossParams, SurvivalTable};

/// Share of the utility that is evaluated for each zone separately.
///
/// A zone that is cut off from the others has to serve its callers alone.
const ZONE_UTILITY_SHARE: f64 = 0.1;
/// Passes over all domains before the first request; the second and third change little.
const IMPROVEMENT_SWEEPS: usize = 4;

/// Targets and weights of one domain.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DomainInventory {
    /// Domain.
    pub domain: DomainId,
    /// Zone of most of its targets.
    pub zone: ZoneId,
    /// Live targets by the model whose weights they hold or are loading.
    pub holders: IndexMap<ModelId, usize>,
    /// Live targets without weights.
    pub empty: usize,
    /// Whether targets that are loading count among the holders; otherwise they count as empty.
    pub reports_loads: bool,
}

impl DomainInventory {
    /// Returns the number of live targets.
    ///
    /// ```
    /// use briarswitch_core::layout::DomainInventory;
    /// use indexmap::IndexMap;
    ///
    /// let holders = IndexMap::from([("large".to_owned(), 5)]);
    /// let inventory = DomainInventory { holders, empty: 1, ..DomainInventory::default() };
    /// assert_eq!(inventory.targets(), 6);
    /// ```
    pub fn targets(&self) -> usize {
        self.empty + self.holders.values().sum::<usize>()
    }
}

/// Planned content of one domain.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DomainLayout {
    /// Number of targets that should hold each model's weights, the model with the least coverage
    /// first.
    pub holders: IndexMap<ModelId, usize>,
}

/// Operating phase for which weights are allocated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LayoutPhase {
    /// Before the first request: every target may load the weights that suit it best.
    Start,
    /// While requests arrive: only targets without weights load any.
    Serving,
}

/// Allocates weights over all domains.
///
/// ```
/// use briarswitch_core::engine::{EngineSpec, ModelSpec};
/// use briarswitch_core::layout::{plan_layout, DomainInventory, LayoutPhase};
/// use indexmap::IndexMap;
///
/// let model = |id: &str, size, share| {
///     let id = id.to_owned();
///     (id.clone(), ModelSpec { id, group_size: size, expected_share: share, ..ModelSpec::default() })
/// };
/// let models = IndexMap::from([model("large", 4, 0.67), model("small", 2, 0.33)]);
/// let engine = EngineSpec { models, ..EngineSpec::default() };
/// let domain = DomainInventory { empty: 8, ..DomainInventory::default() };
/// let layouts = plan_layout(&engine, &IndexMap::new(), &[domain], LayoutPhase::Start);
/// assert_eq!(layouts[""].holders.values().sum::<usize>(), 8);
/// assert!(layouts[""].holders["large"] >= 4);
/// ```
pub fn plan_layout(
    engine: &EngineSpec,
    demand: &IndexMap<ModelId, f64>,
    domains: &[DomainInventory],
    phase: LayoutPhase,
) -> IndexMap<DomainId, DomainLayout> {
    let mut draft = LayoutDraft::new(engine, demand, domains, phase);
    draft.assign_empty();
    if phase == LayoutPhase::Start {
        draft.improve();
        draft.sort_equal_domains();
    }
    draft.finish()
}

/// Targets of one domain by the model whose weights they hold, in the order of the engine's models.
pub(crate) type HolderCounts = Vec<usize>;

/// Layout of all domains under construction.
pub(crate) struct LayoutDraft<'a> {
    /// Models; all vectors by model use this order.
    pub(crate) models: Vec<&'a ModelSpec>,
    /// Number of groups that each model's callers fill.
    pub(crate) demand: Vec<f64>,
    /// Weight of each model's coverage.
    pub(crate) weights: Vec<f64>,
    /// Domains.
    pub(crate) domains: Vec<DomainDraft<'a>>,
    /// Groups of each model, as fractions, whose targets are loading their weights without that
    /// showing in the domains' holders.
    pub(crate) unreported_loads: Vec<f64>,
    /// Expected surviving groups by zone and model.
    surviving: Vec<Vec<f64>>,
    survival: SurvivalTable,
    phase: LayoutPhase,
}

/// Layout of one domain under construction.
pub(crate) struct DomainDraft<'a> {
    inventory: &'a DomainInventory,
    zone: usize,
    targets: usize,
    /// Number of targets that should hold each model's weights.
    pub(crate) holders: HolderCounts,
    empty: usize,
}

impl<'a> LayoutDraft<'a> {
    /// Creates a draft from the weights currently held, or an empty one before the first request.
    pub(crate) fn new(
        engine: &'a EngineSpec,
        demand: &IndexMap<ModelId, f64>,
        domains: &'a [DomainInventory],
        phase: LayoutPhase,
    ) -> Self {
        let sized = engine.models.values().filter(|model| model.group_size > 0);
        let models: Vec<&ModelSpec> = sized.collect();
        let mut zones: Vec<&ZoneId> = domains.iter().map(|inventory| &inventory.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        let drafts = domains.iter().map(|inventory| {
            let zone = zones.iter().position(|zone| **zone == inventory.zone);
            DomainDraft::new(inventory, zone.unwrap_or_default(), &models, phase)
        });
        let demand = demand_by_model(&models, demand);
        let weights = demand.iter().zip(&models);
        let mut draft = Self {
            weights: weights
                .map(|(demand, model)| model_weight(*demand, model.group_size))
                .collect(),
            demand,
            domains: drafts.collect(),
            surviving: vec![vec![0.0; models.len()]; zones.len()],
            unreported_loads: vec![0.0; models.len()],
            models,
            survival: SurvivalTable::default(),
            phase,
        };
        for index in 0..draft.domains.len() {
            draft.add_expected_groups(index, 1.0);
        }
        draft
    }

    /// Adds or subtracts the expected surviving groups of a domain.
    fn add_expected_groups(&mut self, index: usize, sign: f64) {
        let domain = &self.domains[index];
        for (model, spec) in self.models.iter().enumerate() {
            let expected = self.survival.expected_groups(LossParams {
                targets: domain.targets,
                holders: domain.holders[model],
                size: spec.group_size,
            });
            self.surviving[domain.zone][model] += sign * expected;
        }
    }

    /// Assigns to each target without weights those with the highest utility.
    ///
    /// Returns, by model, how many were assigned in domains that do not report their loads under
    /// way.
    pub(crate) fn assign_empty(&mut self) -> HolderCounts {
        let mut unreported = vec![0; self.models.len()];
        loop {
            let mut is_done = true;
            for index in 0..self.domains.len() {
                if self.domains[index].empty > 0 && !self.models.is_empty() {
                    let model = self.assign_one(index);
                    let is_unreported = !self.domains[index].inventory.reports_loads;
                    unreported[model] += usize::from(is_unreported);
                    is_done = false;
                }
            }
            if is_done {
                return unreported;
            }
        }
    }

    /// Assigns a model's weights to one empty target of a domain and returns the model.
    fn assign_one(&mut self, index: usize) -> usize {
        let holders = &self.domains[index].holders;
        // With equal gains, the model with the most holders in the domain is closest to completing
        // its next group.
        let mut models: Vec<usize> = (0..self.models.len()).collect();
        models.sort_by_key(|model| Reverse(holders[*model]));
        let before = self.utility();
        let mut best: Option<(f64, usize)> = None;
        for model in models {
            let gain = self.best_gain(index, model, before);
            if best.is_none_or(|(highest, _)| gain > highest) {
                best = Some((gain, model));
            }
        }
        let model = best.map_or(0, |(_, model)| model);
        self.update_domain(index, |domain| domain.holders[model] += 1);
        self.domains[index].empty -= 1;
        model
    }

    /// Returns the largest gain per target on the way to completing a model's current incomplete
    /// group.
    ///
    /// During service empty targets arrive one at a time. Judged only by what it completes itself,
    /// none would be assigned to a group that lacks two: domains kept 13 to 15 targets of a model
    /// with groups of sixteen for 20 s, while new targets loaded the other model.
    fn best_gain(&mut self, index: usize, model: usize, before: f64) -> f64 {
        let size = self.models[model].group_size;
        let filled = self.domains[index].holders[model] % size;
        let max = match self.phase {
            LayoutPhase::Serving if filled > 0 => size - filled,
            _ => 1,
        };
        let gains = (1..=max).map(|count| {
            let utility = self.utility_with(index, model, count);
            (utility - before) / count as f64
        });
        gains.fold(f64::NEG_INFINITY, f64::max)
    }

    /// Returns the utility if the empty target and `count - 1` that may follow it held a model's
    /// weights.
    fn utility_with(&mut self, index: usize, model: usize, count: usize) -> f64 {
        self.update_domain(index, |domain| {
            domain.holders[model] += count;
            domain.targets += count - 1;
        });
        let utility = self.utility();
        self.update_domain(index, |domain| {
            domain.holders[model] -= count;
            domain.targets -= count - 1;
        });
        utility
    }

    /// Modifies a domain and updates its expected surviving groups.
    pub(crate) fn update_domain(
        &mut self,
        index: usize,
        change: impl FnOnce(&mut DomainDraft<'_>),
    ) {
        self.add_expected_groups(index, -1.0);
        change(&mut self.domains[index]);
        self.add_expected_groups(index, 1.0);
    }

    /// Moves targets between models, one domain at a time, as long as that increases the utility.
    fn improve(&mut self) {
        for _ in 0..IMPROVEMENT_SWEEPS {
            for index in 0..self.domains.len() {
                let options = self.domains[index].neighbours();
                self.choose_best(index, options);
            }
        }
    }

    /// Sorts the layouts of domains with equal size in the same zone, the most holders of the first
    /// models first.
    ///
    /// Any permutation of them has the same utility. If the order depended on the search, a domain
    /// that registers slightly later would change what the others have been ordered to load.
    fn sort_equal_domains(&mut self) {
        let mut equal: IndexMap<(usize, usize), Vec<usize>> = IndexMap::new();
        for (index, domain) in self.domains.iter().enumerate() {
            let key = (domain.zone, domain.targets);
            equal.entry(key).or_default().push(index);
        }
        for indices in equal.into_values() {
            let counts = indices
                .iter()
                .map(|index| self.domains[*index].holders.clone());
            let mut counts: Vec<HolderCounts> = counts.collect();
            counts.sort_unstable_by(|left, right| right.cmp(left));
            for (index, holders) in indices.into_iter().zip(counts) {
                self.domains[index].holders = holders;
            }
        }
    }

    fn choose_best(&mut self, index: usize, options: Vec<HolderCounts>) {
        self.add_expected_groups(index, -1.0);
        let mut best: Option<(f64, HolderCounts)> = None;
        for holders in options {
            self.domains[index].holders = holders;
            self.add_expected_groups(index, 1.0);
            let utility = self.utility();
            self.add_expected_groups(index, -1.0);
            let holders = std::mem::take(&mut self.domains[index].holders);
            if best.as_ref().is_none_or(|(highest, _)| utility > *highest) {
                best = Some((utility, holders));
            }
        }
        if let Some((_, holders)) = best {
            self.domains[index].holders = holders;
        }
        self.add_expected_groups(index, 1.0);
    }

    /// Returns the expected number of surviving groups of a model over all domains.
    pub(crate) fn surviving_groups(&self, model: usize) -> f64 {
        self.surviving
            .iter()
            .map(|groups| groups[model])
            .sum::<f64>()
            + self.unreported_loads[model]
    }

    /// Returns the utility of the expected surviving groups over all models.
    pub(crate) fn utility(&self) -> f64 {
        let zones = self.surviving.len() as f64;
        let of_model = self.demand.iter().enumerate().map(|(model, demand)| {
            let all = self.surviving_groups(model);
            let of_zones = self.surviving.iter();
            let of_zones = of_zones.map(|groups| coverage_utility(groups[model] * zones, *demand));
            let mean = of_zones.sum::<f64>() / zones.max(1.0);
            let utility = (1.0 - ZONE_UTILITY_SHARE) * coverage_utility(all, *demand)
                + ZONE_UTILITY_SHARE * mean;
            utility * self.weights[model]
        });
        of_model.sum()
    }

    /// Returns the planned content of each domain.
    pub(crate) fn finish(self) -> IndexMap<DomainId, DomainLayout> {
        let mut order: Vec<usize> = (0..self.models.len()).collect();
        let coverage = |model: &usize| {
            let groups = self.domains.iter();
            let groups =
                groups.map(|domain| domain.holders[*model] / self.models[*model].group_size);
            groups.sum::<usize>() as f64 / self.demand[*model].max(f64::MIN_POSITIVE)
        };
        order.sort_by(|left, right| coverage(left).total_cmp(&coverage(right)));
        let layouts = self.domains.iter().map(|domain| {
            let holders = order.iter().map(|model| {
                let id = self.models[*model].id.clone();
                (id, domain.holders[*model])
            });
            let holders = holders.filter(|(_, count)| *count > 0).collect();
            (domain.inventory.domain.clone(), DomainLayout { holders })
        });
        layouts.collect()
    }
}

impl<'a> DomainDraft<'a> {
    fn new(
        inventory: &'a DomainInventory,
        zone: usize,
        models: &[&ModelSpec],
        phase: LayoutPhase,
    ) -> Self {
        let held = models.iter().map(|model| inventory.holders.get(&model.id));
        let held: HolderCounts = held.map(|count| count.copied().unwrap_or(0)).collect();
        let holders = match phase {
            LayoutPhase::Start => vec![0; models.len()],
            LayoutPhase::Serving => held,
        };
        let targets = inventory.targets();
        Self {
            inventory,
            zone,
            targets,
            empty: targets - holders.iter().sum::<usize>(),
            holders,
        }
    }

    /// Returns the holder counts reachable by moving any number of targets between two models.
    fn neighbours(&self) -> Vec<HolderCounts> {
        let mut options = vec![self.holders.clone()];
        for from in 0..self.holders.len() {
            for to in (0..self.holders.len()).filter(|to| *to != from) {
                for moved in 1..=self.holders[from] {
                    let mut holders = self.holders.clone();
                    holders[from] -= moved;
                    holders[to] += moved;
                    options.push(holders);
                }
            }
        }
        options
    }
}
