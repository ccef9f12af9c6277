//! What a number of groups is worth to the callers of their model.

use indexmap::IndexMap;

use crate::engine::ModelSpec;
use crate::id::ModelId;

/// Cover that stands for none at all, in groups for each that the demand fills.
const LEAST_COVER: f64 = 0.05;

/// Returns what a model's cover weighs against another's: between its callers and the targets they fill.
///
/// A group of many targets takes the place of several small ones. Weighed by callers alone, a model whose groups
/// take many targets is covered worst; weighed by targets, the callers who need least are. The geometric mean
/// stands between both.
pub(crate) fn model_weight(demand: f64, size: usize) -> f64 {
    demand * (size as f64).sqrt()
}

/// Returns the worth of a number of groups, which are worth less the more of a model's demand is covered.
///
/// With the square, what a model lacks weighs more than what another has over: a model whose groups are
/// just filled loses callers with each loss, one that has twice its need loses none.
pub(crate) fn cover_worth(groups: f64, demand: f64) -> f64 {
    let cover = groups / demand.max(f64::MIN_POSITIVE);
    -1.0 / (cover + LEAST_COVER).powi(2)
}

/// Returns how many groups each model's requests fill, by what was seen or, before that, declared.
pub(crate) fn demand_of(models: &[&ModelSpec], demand: &IndexMap<ModelId, f64>) -> Vec<f64> {
    let seen = models.iter().map(|model| demand.get(&model.id).copied());
    let seen: Vec<f64> = seen.map(Option::unwrap_or_default).collect();
    if seen.iter().any(|rate| *rate > 0.0) {
        return seen;
    }
    // The declared share is of the targets' work, so a model of large groups fills fewer of them.
    let declared = models
        .iter()
        .map(|model| model.expected_share / model.group_size as f64);
    declared.collect()
}
