//! Moves targets from one model to another within domains while requests are being served.
//!
//! This corrects a mismatch between demand and capacity: requests for one model need more groups
//! than it has, while another model has unused groups, or a domain holds weights that do not form a
//! complete group. Loading other weights only on targets that restart corrects this too slowly,
//! since as many are lost. A host loads other weights while it keeps serving, so a move reduces no
//! capacity until the new weights are loaded.

use indexmap::IndexMap;

use crate::engine::EngineSpec;
use crate::id::{DomainId, ModelId};
use crate::layout::{DomainInventory, DomainLayout, HolderCounts, LayoutDraft, LayoutPhase};

/// Minimum gain of a move, as a share of the total weight of all models.
const MIN_GAIN: f64 = 0.02;
/// Minimum additional gain for each target that is moved.
///
/// A target loads for many seconds, and its group serves no requests while it forms again.
const MIN_GAIN_PER_TARGET: f64 = 0.002;
/// Coverage that a model keeps when it gives targets to one whose demand is already covered.
///
/// Groups of many targets are lost more often than the mean loss rate suggests and take longest to
/// recover.
const DONOR_MIN_COVERAGE: f64 = 2.0;
/// Coverage from which a model has enough groups, by the number expected to survive losses.
///
/// Small groups that lose a member serve again within two seconds, sooner than the mean loss rate
/// suggests.
const ENOUGH_COVERAGE: f64 = 0.85;
/// Minimum number of groups that a model keeps, whatever its demand.
const MIN_GROUPS: f64 = 1.0;
/// Minimum and maximum number of moves per decision; further moves are decided with the updated
/// state.
const STEPS_PER_DECISION: (usize, usize) = (8, 64);
/// Limit on the domains evaluated per decision, over all of its moves; each evaluation takes time.
const MAX_DOMAIN_EVALUATIONS: usize = 400;

/// Inputs of a rebalancing decision.
#[derive(Clone, Copy, Debug)]
pub struct RebalanceParams<'a> {
    /// Engine with its models.
    pub engine: &'a EngineSpec,
    /// Number of groups needed by each model's demand, smoothed over about the time of a load.
    pub demand: &'a IndexMap<ModelId, f64>,
    /// What each domain holds.
    pub domains: &'a [DomainInventory],
    /// Targets that are loading each model's weights and that `domains` does not show as such.
    pub loading: &'a IndexMap<ModelId, usize>,
}

/// Returns what each domain should hold after targets of models with excess capacity were moved.
///
/// Every controller computes the same plan from the same list and carries out the part of its own
/// domains.
///
/// ```
/// use briarswitch_core::engine::{EngineSpec, ModelSpec};
/// use briarswitch_core::rebalance::{plan_rebalance, RebalanceParams};
/// use briarswitch_core::layout::DomainInventory;
/// use indexmap::IndexMap;
///
/// let model = |id: &str, size| {
///     let id = id.to_owned();
///     (id.clone(), ModelSpec { id, group_size: size, ..ModelSpec::default() })
/// };
/// let models = IndexMap::from([model("large", 4), model("small", 2)]);
/// let engine = EngineSpec { models, ..EngineSpec::default() };
/// let holders = IndexMap::from([("large".to_owned(), 24), ("small".to_owned(), 4)]);
/// let domain = DomainInventory { holders, ..DomainInventory::default() };
/// let demand = IndexMap::from([("large".to_owned(), 1.0), ("small".to_owned(), 3.0)]);
/// let layouts = plan_rebalance(RebalanceParams {
///     engine: &engine,
///     demand: &demand,
///     domains: &[domain],
///     loading: &IndexMap::new(),
/// });
/// assert!(layouts[""].holders["small"] > 4);
/// ```
pub fn plan_rebalance(params: RebalanceParams<'_>) -> IndexMap<DomainId, DomainLayout> {
    let phase = LayoutPhase::Serving;
    let mut draft = LayoutDraft::new(params.engine, params.demand, params.domains, phase);
    let unreported = draft.assign_empty();
    draft.count_loading(params.loading, &unreported);
    draft.rebalance();
    draft.finish()
}

/// Holders in one domain after a move of targets from one model to another.
#[derive(Clone, Debug)]
struct RebalanceStep {
    domain: usize,
    holders: HolderCounts,
    /// Gain per target that has to load, since loads are the scarce resource.
    gain_per_target: f64,
}

/// A candidate move of targets in one domain from one model to another.
#[derive(Clone, Copy, Debug)]
struct TargetMove {
    domain: usize,
    from: usize,
    to: usize,
    count: usize,
}

impl LayoutDraft<'_> {
    /// Adds the groups formed by targets whose loads the domains do not report, less those already
    /// assigned to empty targets of other domains.
    ///
    /// The report does not say which weights these targets replace, so they are subtracted from the
    /// model with the highest coverage.
    fn count_loading(&mut self, loading: &IndexMap<ModelId, usize>, unreported: &[usize]) {
        for (model, unreported) in unreported.iter().enumerate() {
            let count = loading.get(&self.models[model].id).copied().unwrap_or(0);
            let moving = count.saturating_sub(*unreported) as f64;
            let others = (0..self.models.len()).filter(|other| *other != model);
            let donor =
                others.max_by(|left, right| self.coverage(*left).total_cmp(&self.coverage(*right)));
            if let Some(donor) = donor {
                self.unreported_loads[donor] -= moving / self.models[donor].group_size as f64;
            }
            self.unreported_loads[model] += moving / self.models[model].group_size as f64;
        }
    }

    /// Applies the best move repeatedly until none has a sufficient gain.
    fn rebalance(&mut self) {
        let (min, max) = STEPS_PER_DECISION;
        let limit = MAX_DOMAIN_EVALUATIONS / self.domains.len().max(1);
        for _ in 0..limit.clamp(min, max) {
            let Some(step) = self.best_step() else {
                return;
            };
            self.update_domain(step.domain, |domain| domain.holders = step.holders);
        }
    }

    fn best_step(&mut self) -> Option<RebalanceStep> {
        let before = self.utility();
        let mut best: Option<RebalanceStep> = None;
        for domain in 0..self.domains.len() {
            for step in self.candidate_steps(domain, before) {
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

    /// Returns the moves in one domain that have a sufficient gain.
    fn candidate_steps(&mut self, domain: usize, before: f64) -> Vec<RebalanceStep> {
        let mut steps = Vec::new();
        for from in 0..self.models.len() {
            for to in (0..self.models.len()).filter(|to| *to != from) {
                for count in 1..=self.domains[domain].holders[from] {
                    let candidate = TargetMove {
                        domain,
                        from,
                        to,
                        count,
                    };
                    steps.extend(self.step(candidate, before));
                }
            }
        }
        steps
    }

    fn step(&mut self, candidate: TargetMove, before: f64) -> Option<RebalanceStep> {
        let TargetMove {
            domain,
            from,
            to,
            count,
        } = candidate;
        let coverage_before = self.coverage(to);
        let current = self.domains[domain].holders.clone();
        let mut holders = current.clone();
        holders[from] -= count;
        holders[to] += count;
        let next = holders.clone();
        self.update_domain(domain, |domain| domain.holders = next);
        let gain = (self.utility() - before) / self.weights.iter().sum::<f64>();
        // The donor keeps at least the coverage that the recipient had before the move. With the
        // square, a recipient that lacks little receives little, and one that lacks half receives
        // whatever is available.
        let satisfaction = (self.coverage(to) / ENOUGH_COVERAGE).min(1.0);
        let kept = coverage_before.max(DONOR_MIN_COVERAGE * satisfaction.powi(2));
        let keeps_enough = self.coverage(from) >= kept && self.surviving_groups(from) >= MIN_GROUPS;
        self.update_domain(domain, |domain| domain.holders = current);
        let gains_enough = gain >= MIN_GAIN + MIN_GAIN_PER_TARGET * count as f64;
        (keeps_enough && gains_enough).then_some(RebalanceStep {
            domain,
            holders,
            gain_per_target: gain / count as f64,
        })
    }

    /// Returns the number of groups expected to survive for each group that the model's demand
    /// needs.
    fn coverage(&self, model: usize) -> f64 {
        self.surviving_groups(model) / self.demand[model].max(f64::MIN_POSITIVE)
    }
}
