//! Utility of a number of groups with respect to the demand for their model.
//!
//! The coverage of a model is the number of its groups relative to the number that its callers
//! fill.

use indexmap::IndexMap;

use crate::engine::ModelSpec;
use crate::id::ModelId;

/// Added to the coverage, so that the utility of no groups at all stays finite.
const COVERAGE_OFFSET: f64 = 0.05;

/// Returns the weight of a model's coverage relative to that of other models.
///
/// A group of many targets takes the place of several small ones. Weighted by callers alone, a
/// model with large groups would get the worst coverage; weighted by targets, the callers that need
/// the fewest targets would. The geometric mean is a compromise.
pub(crate) fn model_weight(demand: f64, size: usize) -> f64 {
    demand * (size as f64).sqrt()
}

/// Returns the utility of a number of groups; it grows more slowly the better the demand is
/// covered.
///
/// With the inverse square, a shortage of one model weighs more than a surplus of another: a model
/// with just enough groups loses callers with each lost group, one with twice as many loses none.
pub(crate) fn coverage_utility(groups: f64, demand: f64) -> f64 {
    let coverage = groups / demand.max(f64::MIN_POSITIVE);
    -1.0 / (coverage + COVERAGE_OFFSET).powi(2)
}

/// Returns the number of groups that each model's requests fill: as observed, or as declared while
/// nothing has been observed.
pub(crate) fn demand_by_model(models: &[&ModelSpec], demand: &IndexMap<ModelId, f64>) -> Vec<f64> {
    let observed = models.iter().map(|model| demand.get(&model.id).copied());
    let observed: Vec<f64> = observed.map(Option::unwrap_or_default).collect();
    if observed.iter().any(|rate| *rate > 0.0) {
        return observed;
    }
    // The declared share is that of the targets' work, so a model with large groups fills fewer.
    let declared = models
        .iter()
        .map(|model| model.expected_share / model.group_size as f64);
    declared.collect()
}
