//! Expected number of groups that remain in a domain after losing some of its targets.

use indexmap::IndexMap;

/// Maximum number of targets of a domain assumed to be missing at a time, per square root of its
/// size.
///
/// The number missing at a time is the fleet's loss rate times the seconds until a replacement has
/// arrived and loaded, divided among the domains. Losing two of 54 targets every 3 s leaves a
/// domain of nine three short on average; of 222 targets, a domain of 37 as many. A fixed fraction
/// would be too little for the small domain, where a model would get a group next to another
/// without a spare, and too much for the large one.
const LOSS_ROOT: f64 = 1.25;

/// Parameters of the expected number of surviving groups.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) struct LossCase {
    /// Targets in the domain.
    pub(crate) targets: usize,
    /// Targets that hold the model's weights.
    pub(crate) holders: usize,
    /// Targets per group.
    pub(crate) size: usize,
}

/// Memoised expected numbers of surviving groups.
#[derive(Default)]
pub(crate) struct GroupTable {
    left: IndexMap<LossCase, f64>,
}

impl GroupTable {
    /// Returns the expected number of surviving groups.
    pub(crate) fn left(&mut self, case: LossCase) -> f64 {
        let left = self.left.entry(case);
        *left.or_insert_with(|| expected_left(case))
    }
}

/// Returns the mean number of surviving groups over all loss counts up to the assumed maximum.
fn expected_left(case: LossCase) -> f64 {
    let most = ((case.targets as f64).sqrt() * LOSS_ROOT).round() as usize;
    let cases = (0..=most).map(|losses| left_after(losses, case));
    cases.sum::<f64>() / (most + 1) as f64
}

/// Returns the mean number of surviving groups after a given number of losses.
///
/// Losses are drawn without replacement, so the number of lost holders follows a hypergeometric
/// distribution.
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

/// Returns the binomial coefficient of `from` over `count`.
fn choose(from: usize, count: usize) -> f64 {
    if count > from {
        return 0.0;
    }
    let factors = (0..count).map(|index| (from - index) as f64 / (index + 1) as f64);
    factors.product()
}
