//! Which domains should hold fewer targets of one model and more of another while callers come.
//!
//! The load this answers: callers of one model fill more groups than it has, while another model has groups
//! that nobody fills, or a domain holds weights that make no whole group. Targets that come empty change
//! that too slowly, for as many are lost. A host loads other weights beside its work, so an exchange takes
//! no place from anybody until the new weights are there.

use indexmap::IndexMap;

use crate::engine::EngineSpec;
use crate::id::{DomainId, ModelId};
use crate::layout::{DomainLayout, DomainStock, HolderCounts, LayoutDraft, LayoutPhase};

/// Gain that an exchange has to bring, as a part of what all models weigh.
const MIN_GAIN: f64 = 0.02;
/// Gain that each target of an exchange has to bring beside.
///
/// It loads for many seconds, and its group serves nobody while it forms anew.
const MIN_GAIN_PER_TARGET: f64 = 0.002;
/// Cover that a model keeps when it gives to one whose callers fill no more than it has.
///
/// Groups of many targets are lost more often than the mean of losses tells, and take longest to come back.
const DONOR_MIN_COVERAGE: f64 = 2.0;
/// Cover from which on a model has enough, by the groups that are expected to be left.
///
/// Small groups that lose a member serve again within two seconds, sooner than the mean of losses tells.
const ENOUGH_COVERAGE: f64 = 0.85;
/// Groups that a model keeps, whatever its callers ask for.
const MIN_GROUPS: f64 = 1.0;
/// Least and most exchanges decided at a time; what is left is decided anew with what has become of them.
const STEPS_PER_DECISION: (usize, usize) = (8, 64);
/// Domains that are looked at for the exchanges of one decision, which takes time for each of them.
const MAX_DOMAIN_EVALUATIONS: usize = 400;

/// What an exchange is decided on.
#[derive(Clone, Copy, Debug)]
pub struct RebalanceParams<'a> {
    /// Models.
    pub engine: &'a EngineSpec,
    /// Groups that each model's callers fill, smoothed over about the time of a load.
    pub demand: &'a IndexMap<ModelId, f64>,
    /// What each domain holds.
    pub domains: &'a [DomainStock],
    /// Targets that are loading each model's weights where the stock does not show it.
    pub loading: &'a IndexMap<ModelId, usize>,
}

/// Returns what each domain should hold, once targets of models that have more than they need were moved.
///
/// Every controller computes the same from the same list and carries out its own domains' part.
///
/// ```
/// use briarswitch_core::engine::{EngineSpec, ModelSpec};
/// use briarswitch_core::rebalance::{plan_rebalance, RebalanceParams};
/// use briarswitch_core::layout::DomainStock;
/// use indexmap::IndexMap;
///
/// let model = |id: &str, size| {
///     let id = id.to_owned();
///     (id.clone(), ModelSpec { id, group_size: size, ..ModelSpec::default() })
/// };
/// let models = IndexMap::from([model("large", 4), model("small", 2)]);
/// let engine = EngineSpec { models, ..EngineSpec::default() };
/// let holders = IndexMap::from([("large".to_owned(), 24), ("small".to_owned(), 4)]);
/// let domain = DomainStock { holders, ..DomainStock::default() };
/// let demand = IndexMap::from([("large".to_owned(), 1.0), ("small".to_owned(), 3.0)]);
/// let layouts = plan_rebalance(RebalanceParams {
///     engine: &engine,
///     demand: &demand,
///     domains: &[domain],
///     loading: &IndexMap::new(),
/// });
/// assert!(layouts[""].holders["small"] > 4);
/// ```
pub fn plan_rebalance(terms: RebalanceParams<'_>) -> IndexMap<DomainId, DomainLayout> {
    let phase = LayoutPhase::Serving;
    let mut draft = LayoutDraft::open(terms.engine, terms.demand, terms.domains, phase);
    let unseen = draft.fill_empty();
    draft.count_loading(terms.loading, &unseen);
    draft.rebalance();
    draft.finish()
}

/// One domain's targets after some of them went from one model to another.
#[derive(Clone, Debug)]
struct RebalanceStep {
    domain: usize,
    holders: HolderCounts,
    /// Gain for each target that has to load; loads are what is short.
    gain_per_target: f64,
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
    fn count_loading(&mut self, coming: &IndexMap<ModelId, usize>, unseen: &[usize]) {
        for (model, unseen) in unseen.iter().enumerate() {
            let loading = coming.get(&self.models[model].id).copied().unwrap_or(0);
            let moving = loading.saturating_sub(*unseen) as f64;
            let others = (0..self.models.len()).filter(|other| *other != model);
            let giver =
                others.max_by(|left, right| self.coverage(*left).total_cmp(&self.coverage(*right)));
            if let Some(giver) = giver {
                self.coming[giver] -= moving / self.models[giver].group_size as f64;
            }
            self.coming[model] += moving / self.models[model].group_size as f64;
        }
    }

    /// Takes the best exchange, as long as there is one that gains enough.
    fn rebalance(&mut self) {
        let (least, most) = STEPS_PER_DECISION;
        let looks = MAX_DOMAIN_EVALUATIONS / self.domains.len().max(1);
        for _ in 0..looks.clamp(least, most) {
            let Some(step) = self.best_step() else {
                return;
            };
            self.change(step.domain, |domain| domain.holders = step.holders);
        }
    }

    fn best_step(&mut self) -> Option<RebalanceStep> {
        let before = self.worth();
        let mut best: Option<RebalanceStep> = None;
        for domain in 0..self.domains.len() {
            for step in self.steps_of(domain, before) {
                if best
                    .as_ref()
                    .is_none_or(|best| step.gain_per_target > best.gain_per_target)
                {
                    best = Some(step);
                }
            }
        }
        best
    }

    /// Returns the exchanges in one domain that gain enough.
    fn steps_of(&mut self, domain: usize, before: f64) -> Vec<RebalanceStep> {
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

    fn step(&mut self, tried: TargetMove, before: f64) -> Option<RebalanceStep> {
        let TargetMove {
            domain,
            from,
            to,
            count,
        } = tried;
        let cover_before = self.coverage(to);
        let held = self.domains[domain].holders.clone();
        let mut holders = held.clone();
        holders[from] -= count;
        holders[to] += count;
        let next = holders.clone();
        self.change(domain, |domain| domain.holders = next);
        let gain = (self.worth() - before) / self.weights.iter().sum::<f64>();
        // A model is never left with less than the one that it gave to had.
        // By the square, a model that lacks little takes little, and one that lacks half takes what there is.
        let has = (self.coverage(to) / ENOUGH_COVERAGE).min(1.0);
        let kept = cover_before.max(DONOR_MIN_COVERAGE * has.powi(2));
        let keeps_enough = self.coverage(from) >= kept && self.groups_left(from) >= MIN_GROUPS;
        self.change(domain, |domain| domain.holders = held);
        let is_worth_it = gain >= MIN_GAIN + MIN_GAIN_PER_TARGET * count as f64;
        (keeps_enough && is_worth_it).then_some(RebalanceStep {
            domain,
            holders,
            gain_per_target: gain / count as f64,
        })
    }

    /// Returns the groups that a model is expected to have left for each that its callers fill.
    fn coverage(&self, model: usize) -> f64 {
        self.groups_left(model) / self.demand[model].max(f64::MIN_POSITIVE)
    }
}
