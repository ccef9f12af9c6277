//! Expected number of groups that remain in a domain after losing some of its targets.

use indexmap::IndexMap;

/// Maximum number of targets of a domain assumed to be missing at a time, per square root of its
/// size.
///
/// The number missing at a time is the fleet's loss rate times the seconds until a replacement has
/// arrived and loaded, divided among the domains. If two of 54 targets are lost every 3 s, a domain
/// of nine is three short on average; in a fleet of 222 targets, so is a domain of 37. A fixed
/// fraction would be too little for the small domain, where a second model would be added without
/// a spare, and too much for the large one.
const MAX_LOSSES_PER_SQRT_TARGETS: f64 = 1.25;

/// Parameters of the expected number of surviving groups.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) struct LossParams {
    /// Targets in the domain.
    pub(crate) targets: usize,
    /// Targets that hold the model's weights.
    pub(crate) holders: usize,
    /// Targets per group.
    pub(crate) size: usize,
}

/// Memoised expected numbers of surviving groups.
#[derive(Default)]
pub(crate) struct SurvivalTable {
    expected: IndexMap<LossParams, f64>,
}

impl SurvivalTable {
    /// Returns the expected number of surviving groups.
    pub(crate) fn expected_groups(&mut self, params: LossParams) -> f64 {
        let expected = self.expected.entry(params);
        *expected.or_insert_with(|| mean_surviving_groups(params))
    }
}

/// Returns the mean number of surviving groups over all loss counts up to the assumed maximum.
fn mean_surviving_groups(params: LossParams) -> f64 {
    let max = ((params.targets as f64).sqrt() * MAX_LOSSES_PER_SQRT_TARGETS).round() as usize;
    let means = (0..=max).map(|losses| surviving_groups_after(losses, params));
    means.sum::<f64>() / (max + 1) as f64
}

/// Returns the mean number of surviving groups after a given number of losses.
///
/// Losses are drawn without replacement, so the number of lost holders follows a hypergeometric
/// distribution.
fn surviving_groups_after(losses: usize, params: LossParams) -> f64 {
    let LossParams {
        targets,
        holders,
        size,
    } = params;
    let max = losses.min(holders);
    let weighted = (0..=max).map(|lost| {
        let ways = binomial(holders, lost) * binomial(targets - holders, losses - lost);
        ways * ((holders - lost) / size) as f64
    });
    weighted.sum::<f64>() / binomial(targets, losses).max(f64::MIN_POSITIVE)
}

/// Returns the number of ways to choose `count` out of `from` items.
fn binomial(from: usize, count: usize) -> f64 {
    if count > from {
        return 0.0;
    }
    let factors = (0..count).map(|index| (from - index) as f64 / (index + 1) as f64);
    factors.product()
}
