//! How many groups a domain is expected to have left after losses.

use indexmap::IndexMap;

/// Targets of a domain that may be lost before loads have replaced them, for each root of its targets.
///
/// What is missing at a time is the rate of losses in the fleet times the seconds until another target has come
/// and loaded, shared by the domains. Two of 54 lost each 3 s leave a domain of nine three short in the mean,
/// and of 222 a domain of 37 as many. A part of the domain is too little for the small one, where a model
/// then gets a place beside another without a spare, and too much for the large one.
const LOSS_ROOT: f64 = 1.25;

/// What the groups that are left depend on.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) struct LossCase {
    /// Targets of the domain.
    pub(crate) targets: usize,
    /// Those of them that hold the model's weights.
    pub(crate) holders: usize,
    /// Targets in one group.
    pub(crate) size: usize,
}

/// Groups that are expected to be left after losses, computed once for each case.
#[derive(Default)]
pub(crate) struct GroupTable {
    left: IndexMap<LossCase, f64>,
}

impl GroupTable {
    /// Returns the groups that are expected to be left.
    pub(crate) fn left(&mut self, case: LossCase) -> f64 {
        let left = self.left.entry(case);
        *left.or_insert_with(|| expected_left(case))
    }
}

/// Returns the mean of the groups that are left while up to some of the targets are lost at random.
fn expected_left(case: LossCase) -> f64 {
    let most = ((case.targets as f64).sqrt() * LOSS_ROOT).round() as usize;
    let cases = (0..=most).map(|losses| left_after(losses, case));
    cases.sum::<f64>() / (most + 1) as f64
}

/// Returns the mean of the groups that are left after a number of losses.
///
/// Losses are drawn without replacement, so the lost holders follow a hypergeometric distribution.
fn left_after(losses: usize, case: LossCase) -> f64 {
    let LossCase {
        targets,
        holders,
        size,
    } = case;
    let most = losses.min(holders);
    let cases = (0..=most).map(|lost| {
        let ways = choose(holders, lost) * choose(targets - holders, losses - lost);
        ways * ((holders - lost) / size) as f64
    });
    cases.sum::<f64>() / choose(targets, losses).max(f64::MIN_POSITIVE)
}

/// Returns the ways to draw `count` of `from`.
fn choose(from: usize, count: usize) -> f64 {
    if count > from {
        return 0.0;
    }
    let factors = (0..count).map(|index| (from - index) as f64 / (index + 1) as f64);
    factors.product()
}
