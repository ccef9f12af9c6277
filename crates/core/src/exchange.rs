//! Which domains should hold fewer targets of one model and more of another while callers come.
//!
//! The load this answers: callers of one model fill more groups than it has, while another model has groups
//! that nobody fills, or a domain holds weights that make no whole group. Targets that come empty change
//! that too slowly, for as many are lost. A host loads other weights beside its work, so an exchange takes
//! no place from anybody until the new weights are there.

use indexmap::IndexMap;

use crate::engine::EngineModel;
use crate::id::{DomainId, ModelId};
use crate::layout::{DomainInventory, DomainLayout, HolderCounts, LayoutDraft, LayoutPhase};

/// Gain that an exchange has to bring, as a part of what all models weigh.
const LEAST_GAIN: f64 = 0.02;
/// Gain that each target of an exchange has to bring beside.
///
/// It loads for many seconds, and its group serves nobody while it forms anew.
const TARGET_GAIN: f64 = 0.002;
/// Cover that a model keeps when it gives to one whose callers fill no more than it has.
///
/// Groups of many targets are lost more often than the mean of losses tells, and take longest to come back.
const GIVER_COVER: f64 = 2.0;
/// Cover from which on a model has enough, by the groups that are expected to be left.
///
/// Small groups that lose a member serve again within two seconds, sooner than the mean of losses tells.
const ENOUGH_COVER: f64 = 0.85;
/// Groups that a model keeps, whatever its callers ask for.
const LEAST_GROUPS: f64 = 1.0;
/// Least and most exchanges decided at a time; what is left is decided anew with what has become of them.
const EXCHANGES: (usize, usize) = (8, 64);
/// Domains that are looked at for the exchanges of one decision, which takes time for each of them.
const LOOKS: usize = 400;

/// What an exchange is decided on.
#[derive(Clone, Copy, Debug)]
pub struct ExchangeTerms<'a> {
    /// Models.
    pub engine: &'a EngineModel,
    /// Groups that each model's callers fill, smoothed over about the time of a load.
    pub demand: &'a IndexMap<ModelId, f64>,
    /// What each domain holds.
    pub domains: &'a [DomainInventory],
    /// Targets that are loading each model's weights where the stock does not show it.
    pub coming: &'a IndexMap<ModelId, usize>,
}

/// Returns what each domain should hold, once targets of models that have more than they need were moved.
///
/// Every controller computes the same from the same list and carries out its own domains' part.
///
/// ```
/// use briarswitch_core::engine::{EngineModel, ModelSpec};
/// use briarswitch_core::exchange::{plan_exchange, ExchangeTerms};
/// use briarswitch_core::layout::DomainInventory;
/// use indexmap::IndexMap;
///
/// let model = |id: &str, size| {
///     let id = id.to_owned();
///     (id.clone(), ModelSpec { id, size, ..ModelSpec::default() })
/// };
/// let models = IndexMap::from([model("large", 4), model("small", 2)]);
/// let engine = EngineModel { models, ..EngineModel::default() };
/// let holders = IndexMap::from([("large".to_owned(), 24), ("small".to_owned(), 4)]);
/// let domain = DomainInventory { holders, ..DomainInventory::default() };
/// let demand = IndexMap::from([("large".to_owned(), 1.0), ("small".to_owned(), 3.0)]);
/// let layouts = plan_exchange(ExchangeTerms {
///     engine: &engine,
///     demand: &demand,
///     domains: &[domain],
///     coming: &IndexMap::new(),
/// });
/// assert!(layouts[""].holders["small"] > 4);
/// ```
pub fn plan_exchange(terms: ExchangeTerms<'_>) -> IndexMap<DomainId, DomainLayout> {
    let phase = LayoutPhase::Serving;
    let mut draft = LayoutDraft::new(terms.engine, terms.demand, terms.domains, phase);
    let unseen = draft.assign_empty();
    draft.note_coming(terms.coming, &unseen);
    draft.exchange();
    draft.finish()
}

/// One domain's targets after some of them went from one model to another.
#[derive(Clone, Debug)]
struct ExchangeStep {
    domain: usize,
    holders: HolderCounts,
    /// Gain for each target that has to load; loads are what is short.
    rate: f64,
}

/// Targets of one domain that would go from one model to another.
#[derive(Clone, Copy, Debug)]
struct TargetMove {
    domain: usize,
    from: usize,
    to: usize,
    count: usize,
}

impl LayoutDraft<'_> {
    /// Counts the groups of targets that load weights unseen, less those taken for empty ones of other domains.
    ///
    /// Whose weights they leave is not told, so they are taken from the model that is covered best.
    fn note_coming(&mut self, coming: &IndexMap<ModelId, usize>, unseen: &[usize]) {
        for (model, unseen) in unseen.iter().enumerate() {
            let loading = coming.get(&self.models[model].id).copied().unwrap_or(0);
            let moving = loading.saturating_sub(*unseen) as f64;
            let others = (0..self.models.len()).filter(|other| *other != model);
            let giver =
                others.max_by(|left, right| self.cover(*left).total_cmp(&self.cover(*right)));
            if let Some(giver) = giver {
                self.unreported_loads[giver] -= moving / self.models[giver].size as f64;
            }
            self.unreported_loads[model] += moving / self.models[model].size as f64;
        }
    }

    /// Takes the best exchange, as long as there is one that gains enough.
    fn exchange(&mut self) {
        let (least, most) = EXCHANGES;
        let looks = LOOKS / self.domains.len().max(1);
        for _ in 0..looks.clamp(least, most) {
            let Some(step) = self.best_step() else {
                return;
            };
            self.update_domain(step.domain, |domain| domain.holders = step.holders);
        }
    }

    fn best_step(&mut self) -> Option<ExchangeStep> {
        let before = self.utility();
        let mut best: Option<ExchangeStep> = None;
        for domain in 0..self.domains.len() {
            for step in self.steps_of(domain, before) {
                if best.as_ref().is_none_or(|best| step.rate > best.rate) {
                    best = Some(step);
                }
            }
        }
        best
    }

    /// Returns the exchanges in one domain that gain enough.
    fn steps_of(&mut self, domain: usize, before: f64) -> Vec<ExchangeStep> {
        let mut steps = Vec::new();
        for from in 0..self.models.len() {
            for to in (0..self.models.len()).filter(|to| *to != from) {
                for count in 1..=self.domains[domain].holders[from] {
                    let tried = TargetMove {
                        domain,
                        from,
                        to,
                        count,
                    };
                    steps.extend(self.step(tried, before));
                }
            }
        }
        steps
    }

    fn step(&mut self, tried: TargetMove, before: f64) -> Option<ExchangeStep> {
        let TargetMove {
            domain,
            from,
            to,
            count,
        } = tried;
        let cover_before = self.cover(to);
        let held = self.domains[domain].holders.clone();
        let mut holders = held.clone();
        holders[from] -= count;
        holders[to] += count;
        let next = holders.clone();
        self.update_domain(domain, |domain| domain.holders = next);
        let gain = (self.utility() - before) / self.weights.iter().sum::<f64>();
        // A model is never left with less than the one that it gave to had.
        // By the square, a model that lacks little takes little, and one that lacks half takes what there is.
        let has = (self.cover(to) / ENOUGH_COVER).min(1.0);
        let kept = cover_before.max(GIVER_COVER * has.powi(2));
        let keeps_enough = self.cover(from) >= kept && self.surviving_groups(from) >= LEAST_GROUPS;
        self.update_domain(domain, |domain| domain.holders = held);
        let is_worth_it = gain >= LEAST_GAIN + TARGET_GAIN * count as f64;
        (keeps_enough && is_worth_it).then_some(ExchangeStep {
            domain,
            holders,
            rate: gain / count as f64,
        })
    }

    /// Returns the groups that a model is expected to have left for each that its callers fill.
    fn cover(&self, model: usize) -> f64 {
        self.surviving_groups(model) / self.demand[model].max(f64::MIN_POSITIVE)
    }
}
