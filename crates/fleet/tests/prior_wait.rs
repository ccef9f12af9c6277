//! Which callers are taken for retrying ones.

use std::time::Duration;

use briarswitch_fleet::prior_wait::PriorWaitEstimator;
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Number of requests to the rule.
const REQUESTS: usize = 2_000;

/// Returns the share of first attempts that are taken for retries; `draw` yields the stated time-outs in milliseconds.
fn misclassified(seed: u64, mut draw: impl FnMut(&mut StdRng) -> u64) -> f64 {
    let mut rng = StdRng::seed_from_u64(seed);
    let estimator = PriorWaitEstimator::default();
    let estimates = (0..REQUESTS).map(|_| {
        let timeout = Duration::from_millis(draw(&mut rng));
        estimator.estimate("chat", Some(timeout))
    });
    let late = estimates.filter(|wait| !wait.is_zero()).count();
    late as f64 / REQUESTS as f64
}

/// Guards against new callers being treated as late where each has a time-out of its own, here from 5.1 to 6 s.
///
/// With the difference to the longest time-out taken for a prior wait, 0.96 of the new callers counted as late. Late
/// callers get no slot while half of the slots are taken, so callers waited for more than a second while a third of
/// the slots was free.
#[gtest]
fn callers_with_time_outs_of_their_own_are_not_late() {
    for seed in 0..10 {
        let share = misclassified(seed, |rng| rng.random_range(5_100..6_000));
        expect_that!(share, eq(0.0), "seed {seed}");
    }
}

/// Guards against all callers of a rule being treated as late after a single one has stated a longer time-out.
#[gtest]
fn one_caller_with_a_longer_time_out_does_not_make_others_late() {
    for seed in 0..10 {
        let mut count = 0;
        let share = misclassified(seed, |_| {
            count += 1;
            if count == 500 {
                9_000
            } else {
                5_000
            }
        });
        expect_that!(share, eq(0.0), "seed {seed}");
    }
}

/// All callers start with the same time-out; a third of the requests are retries that state what remains of it.
#[gtest]
fn retries_are_recognised_where_callers_start_with_the_same_time_out() {
    let mut rng = StdRng::seed_from_u64(1);
    let estimator = PriorWaitEstimator::default();
    let mut found = 0;
    for index in 0..REQUESTS {
        let is_retry = index % 3 == 2;
        let waited = if is_retry {
            rng.random_range(200..900)
        } else {
            0
        };
        let timeout = Duration::from_millis(5_000 - waited);
        let estimate = estimator.estimate("chat", Some(timeout));
        if is_retry {
            found += usize::from(estimate.as_millis() as u64 == waited);
        } else {
            expect_that!(estimate, eq(Duration::ZERO));
        }
    }
    expect_that!(found, ge(REQUESTS / 3 - 20));
}

/// Guards against callers that retry after a power failure being treated as new ones and taking the slots of these.
#[gtest]
fn callers_with_much_shorter_time_outs_than_others_have_waited() {
    let mut rng = StdRng::seed_from_u64(2);
    let estimator = PriorWaitEstimator::default();
    let mut found = 0;
    for index in 0..REQUESTS {
        let own = rng.random_range(5_000..6_000);
        let is_retry = index % 5 == 4;
        let waited = if is_retry { 1_500 } else { 0 };
        let timeout = Duration::from_millis(own - waited);
        let estimate = estimator.estimate("chat", Some(timeout));
        if is_retry {
            found += usize::from(!estimate.is_zero());
            expect_that!(estimate, le(Duration::from_millis(waited)));
        } else {
            expect_that!(estimate, eq(Duration::ZERO), "{own}");
        }
    }
    expect_that!(found, ge(REQUESTS / 5 * 9 / 10));
}

/// Guards against callers being treated as late where short time-outs are common.
#[gtest]
fn callers_are_not_late_where_short_time_outs_are_common() {
    let share = misclassified(3, |rng| rng.random_range(2_000..6_000));
    expect_that!(share, lt(0.05));
}
