//! How many targets of each fabric domain should hold which model's weights.
//!
//! Targets that hold a model's weights form as many whole groups of it as their number allows, at once,
//! and the rest stand by as spares. What counts is therefore not how many groups a domain holds now, but
//! how many it still holds after it has lost some of its targets: eight targets that make two groups of
//! four make one after the first loss, and no other model can use the three that are over until they
//! have loaded its weights. Loads are what is short once callers come: at sixteen seconds each and six at
//! a time the store ends about as many as targets are lost. Before the first caller they are cheap.
//!
//! So weights are shared out by the groups that are expected to be left, each group being worth more the
//! less of its model's demand is covered. Every controller computes the same from the same list.

use std::cmp::Reverse;

use indexmap::IndexMap;

use crate::cover::{cover_worth, demand_of, model_weight};
use crate::engine::{EngineSpec, ModelSpec};
use crate::id::{DomainId, ModelId, ZoneId};
use crate::losses::{GroupTable, LossCase};

/// Part of the worth of weights that counts within each zone for itself.
///
/// A zone that is cut off has to serve its callers alone.
const ZONE_SHARE: f64 = 0.1;
/// Sweeps over all domains before the first caller; the second and third change little.
const SWEEPS: usize = 4;

/// What is known of one domain.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DomainStock {
    /// Domain.
    pub domain: DomainId,
    /// Zone of most of its targets.
    pub zone: ZoneId,
    /// Targets that live and hold each model's weights, or are loading them.
    pub holders: IndexMap<ModelId, usize>,
    /// Targets that live and hold none.
    pub empty: usize,
    /// Whether targets that are loading weights count among the holders; else they count as empty.
    pub shows_loads: bool,
}

impl DomainStock {
    /// Returns the targets that live.
    ///
    /// ```
    /// use briarswitch_core::layout::DomainStock;
    /// use indexmap::IndexMap;
    ///
    /// let holders = IndexMap::from([("large".to_owned(), 5)]);
    /// let stock = DomainStock { holders, empty: 1, ..DomainStock::default() };
    /// assert_eq!(stock.targets(), 6);
    /// ```
    pub fn targets(&self) -> usize {
        self.empty + self.holders.values().sum::<usize>()
    }
}

/// What one domain should hold.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DomainLayout {
    /// Targets that should hold each model's weights, the model that is covered least first.
    pub holders: IndexMap<ModelId, usize>,
}

/// When weights are shared out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LayoutPhase {
    /// Before the first caller: every target may load what it is best to hold.
    Start,
    /// While callers come: only targets that hold nothing load.
    Serving,
}

/// Shares weights out over all domains.
///
/// ```
/// use briarswitch_core::engine::{EngineSpec, ModelSpec};
/// use briarswitch_core::layout::{plan_layout, DomainStock, LayoutPhase};
/// use indexmap::IndexMap;
///
/// let model = |id: &str, size, share| {
///     let id = id.to_owned();
///     (id.clone(), ModelSpec { id, group_size: size, expected_share: share, ..ModelSpec::default() })
/// };
/// let models = IndexMap::from([model("large", 4, 0.67), model("small", 2, 0.33)]);
/// let engine = EngineSpec { models, ..EngineSpec::default() };
/// let domain = DomainStock { empty: 8, ..DomainStock::default() };
/// let layouts = plan_layout(&engine, &IndexMap::new(), &[domain], LayoutPhase::Start);
/// assert_eq!(layouts[""].holders.values().sum::<usize>(), 8);
/// assert!(layouts[""].holders["large"] >= 4);
/// ```
pub fn plan_layout(
    engine: &EngineSpec,
    demand: &IndexMap<ModelId, f64>,
    domains: &[DomainStock],
    phase: LayoutPhase,
) -> IndexMap<DomainId, DomainLayout> {
    let mut draft = LayoutDraft::open(engine, demand, domains, phase);
    draft.fill_empty();
    if phase == LayoutPhase::Start {
        draft.improve();
        draft.order_alike();
    }
    draft.finish()
}

/// Targets of one domain by the model whose weights they hold, in the order of the engine's models.
pub(crate) type HolderCounts = Vec<usize>;

/// What all domains should hold, while it is worked out.
pub(crate) struct LayoutDraft<'a> {
    /// Models; all lists by model are in their order.
    pub(crate) models: Vec<&'a ModelSpec>,
    /// Groups that each model's callers fill.
    pub(crate) demand: Vec<f64>,
    /// What each model's cover weighs.
    pub(crate) weights: Vec<f64>,
    /// Domains.
    pub(crate) domains: Vec<DomainDraft<'a>>,
    /// Groups of each model whose targets load their weights unseen.
    pub(crate) coming: Vec<f64>,
    /// Groups expected to be left of each model, by zone.
    left: Vec<Vec<f64>>,
    table: GroupTable,
    phase: LayoutPhase,
}

/// What one domain should hold, while it is worked out.
pub(crate) struct DomainDraft<'a> {
    stock: &'a DomainStock,
    zone: usize,
    targets: usize,
    /// Targets by the model whose weights they should hold.
    pub(crate) holders: HolderCounts,
    empty: usize,
}

impl<'a> LayoutDraft<'a> {
    /// Opens a draft of what domains hold now, or of nothing before the first caller.
    pub(crate) fn open(
        engine: &'a EngineSpec,
        demand: &IndexMap<ModelId, f64>,
        domains: &'a [DomainStock],
        phase: LayoutPhase,
    ) -> Self {
        let sized = engine.models.values().filter(|model| model.group_size > 0);
        let models: Vec<&ModelSpec> = sized.collect();
        let mut zones: Vec<&ZoneId> = domains.iter().map(|stock| &stock.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        let drafts = domains.iter().map(|stock| {
            let zone = zones.iter().position(|zone| **zone == stock.zone);
            DomainDraft::open(stock, zone.unwrap_or_default(), &models, phase)
        });
        let demand = demand_of(&models, demand);
        let weights = demand.iter().zip(&models);
        let mut draft = Self {
            weights: weights
                .map(|(demand, model)| model_weight(*demand, model.group_size))
                .collect(),
            demand,
            domains: drafts.collect(),
            left: vec![vec![0.0; models.len()]; zones.len()],
            coming: vec![0.0; models.len()],
            models,
            table: GroupTable::default(),
            phase,
        };
        for index in 0..draft.domains.len() {
            draft.count(index, 1.0);
        }
        draft
    }

    /// Adds or takes away the groups that a domain is expected to have left.
    fn count(&mut self, index: usize, sign: f64) {
        let domain = &self.domains[index];
        for (model, spec) in self.models.iter().enumerate() {
            let left = self.table.left(LossCase {
                targets: domain.targets,
                holders: domain.holders[model],
                size: spec.group_size,
            });
            self.left[domain.zone][model] += sign * left;
        }
    }

    /// Gives each target that holds nothing the weights that are worth most there.
    ///
    /// Returns how many got each model's in domains whose loads under way can not be seen.
    pub(crate) fn fill_empty(&mut self) -> HolderCounts {
        let mut unseen = vec![0; self.models.len()];
        loop {
            let mut is_done = true;
            for index in 0..self.domains.len() {
                if self.domains[index].empty > 0 && !self.models.is_empty() {
                    let model = self.fill_one(index);
                    let is_unseen = !self.domains[index].stock.shows_loads;
                    unseen[model] += usize::from(is_unseen);
                    is_done = false;
                }
            }
            if is_done {
                return unseen;
            }
        }
    }

    /// Gives one empty target of a domain a model's weights, and returns the model.
    fn fill_one(&mut self, index: usize) -> usize {
        let holders = &self.domains[index].holders;
        // Of what is worth the same, what the domain holds most of brings its next group nearer.
        let mut models: Vec<usize> = (0..self.models.len()).collect();
        models.sort_by_key(|model| Reverse(holders[*model]));
        let before = self.worth();
        let mut best: Option<(f64, usize)> = None;
        for model in models {
            let gain = self.best_gain(index, model, before);
            if best.is_none_or(|(most, _)| gain > most) {
                best = Some((gain, model));
            }
        }
        let model = best.map_or(0, |(_, model)| model);
        self.change(index, |domain| domain.holders[model] += 1);
        self.domains[index].empty -= 1;
        model
    }

    /// Returns the most that one more target brings a model in a domain, on the way to the end of a begun group.
    ///
    /// Targets come one at a time while callers come. Judged by what it completes itself, none would go to a
    /// group that lacks two: domains held 13 to 15 targets of a model whose groups take sixteen for 20 s,
    /// and what came loaded the other model.
    fn best_gain(&mut self, index: usize, model: usize, before: f64) -> f64 {
        let size = self.models[model].group_size;
        let begun = self.domains[index].holders[model] % size;
        let most = match self.phase {
            LayoutPhase::Serving if begun > 0 => size - begun,
            _ => 1,
        };
        let gains = (1..=most).map(|count| {
            let worth = self.worth_with(index, model, count);
            (worth - before) / count as f64
        });
        gains.fold(f64::NEG_INFINITY, f64::max)
    }

    /// Returns the worth if the one empty target and others that may follow it held a model's weights.
    fn worth_with(&mut self, index: usize, model: usize, count: usize) -> f64 {
        self.change(index, |domain| {
            domain.holders[model] += count;
            domain.targets += count - 1;
        });
        let worth = self.worth();
        self.change(index, |domain| {
            domain.holders[model] -= count;
            domain.targets -= count - 1;
        });
        worth
    }

    /// Changes what a domain holds, and counts its groups anew.
    pub(crate) fn change(&mut self, index: usize, change: impl FnOnce(&mut DomainDraft<'_>)) {
        self.count(index, -1.0);
        change(&mut self.domains[index]);
        self.count(index, 1.0);
    }

    /// Moves targets of one domain at a time from one model to another, as long as that gains.
    fn improve(&mut self) {
        for _ in 0..SWEEPS {
            for index in 0..self.domains.len() {
                let options = self.domains[index].neighbours();
                self.take_best(index, options);
            }
        }
    }

    /// Orders what equal domains of a zone hold, the first models in the first domains.
    ///
    /// Which of them holds what is worth the same. Were it left to the way the search went, a domain
    /// that registers a little later would change what the others were told to load.
    fn order_alike(&mut self) {
        let mut alike: IndexMap<(usize, usize), Vec<usize>> = IndexMap::new();
        for (index, domain) in self.domains.iter().enumerate() {
            let key = (domain.zone, domain.targets);
            alike.entry(key).or_default().push(index);
        }
        for indices in alike.into_values() {
            let held = indices
                .iter()
                .map(|index| self.domains[*index].holders.clone());
            let mut held: Vec<HolderCounts> = held.collect();
            held.sort_unstable_by(|left, right| right.cmp(left));
            for (index, holders) in indices.into_iter().zip(held) {
                self.domains[index].holders = holders;
            }
        }
    }

    fn take_best(&mut self, index: usize, options: Vec<HolderCounts>) {
        self.count(index, -1.0);
        let mut best: Option<(f64, HolderCounts)> = None;
        for holders in options {
            self.domains[index].holders = holders;
            self.count(index, 1.0);
            let worth = self.worth();
            self.count(index, -1.0);
            let holders = std::mem::take(&mut self.domains[index].holders);
            if best.as_ref().is_none_or(|(most, _)| worth > *most) {
                best = Some((worth, holders));
            }
        }
        if let Some((_, holders)) = best {
            self.domains[index].holders = holders;
        }
        self.count(index, 1.0);
    }

    /// Returns the groups that a model is expected to have left in all domains.
    pub(crate) fn groups_left(&self, model: usize) -> f64 {
        self.left.iter().map(|left| left[model]).sum::<f64>() + self.coming[model]
    }

    /// Returns what the groups left are worth: each more, the less of its model's demand is covered.
    pub(crate) fn worth(&self) -> f64 {
        let zones = self.left.len() as f64;
        let of_model = self.demand.iter().enumerate().map(|(model, demand)| {
            let all = self.groups_left(model);
            let of_zones = self.left.iter();
            let of_zones = of_zones.map(|left| cover_worth(left[model] * zones, *demand));
            let mean = of_zones.sum::<f64>() / zones.max(1.0);
            let worth = (1.0 - ZONE_SHARE) * cover_worth(all, *demand) + ZONE_SHARE * mean;
            worth * self.weights[model]
        });
        of_model.sum()
    }

    /// Returns what each domain should hold.
    pub(crate) fn finish(self) -> IndexMap<DomainId, DomainLayout> {
        let mut order: Vec<usize> = (0..self.models.len()).collect();
        let cover = |model: &usize| {
            let groups = self.domains.iter();
            let groups =
                groups.map(|domain| domain.holders[*model] / self.models[*model].group_size);
            groups.sum::<usize>() as f64 / self.demand[*model].max(f64::MIN_POSITIVE)
        };
        order.sort_by(|left, right| cover(left).total_cmp(&cover(right)));
        let layouts = self.domains.iter().map(|domain| {
            let holders = order.iter().map(|model| {
                let id = self.models[*model].id.clone();
                (id, domain.holders[*model])
            });
            let holders = holders.filter(|(_, count)| *count > 0).collect();
            (domain.stock.domain.clone(), DomainLayout { holders })
        });
        layouts.collect()
    }
}

impl<'a> DomainDraft<'a> {
    fn open(
        stock: &'a DomainStock,
        zone: usize,
        models: &[&ModelSpec],
        phase: LayoutPhase,
    ) -> Self {
        let held = models.iter().map(|model| stock.holders.get(&model.id));
        let held: HolderCounts = held.map(|count| count.copied().unwrap_or(0)).collect();
        let holders = match phase {
            LayoutPhase::Start => vec![0; models.len()],
            LayoutPhase::Serving => held,
        };
        let targets = stock.targets();
        Self {
            stock,
            zone,
            targets,
            empty: targets - holders.iter().sum::<usize>(),
            holders,
        }
    }

    /// Returns the counts after any number of targets went from one model to another.
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
