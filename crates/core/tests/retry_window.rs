//! Retries after whole groups have ended, and the bound that all nodes together keep.

use std::time::Duration;

use briarswitch_core::id::Moment;
use briarswitch_core::retry::RetryWindow;
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const NODES: usize = 6;
const RATIO: f64 = 0.2;
const LENGTH: Duration = Duration::from_secs(10);
/// Retries beyond those earned that all nodes may send in a window.
const SLACK: u32 = 130;
/// Part of them that each node may send.
const BURST: u32 = 15;
const STEP: Duration = Duration::from_millis(50);
/// Steps in a window.
const WINDOW: usize = 200;

fn step_time(step: usize) -> Moment {
    Duration::from_secs(100) + STEP * step as u32
}

/// Guards against streams that are broken off, with budget left in the window, when a group ends after quiet seconds.
#[gtest]
fn what_quiet_seconds_have_earned_is_there_when_a_group_ends() {
    let mut budget = RetryWindow::new(RATIO, LENGTH, step_time(0));
    // Thirty requests a second for twelve seconds.
    for step in 0..240 {
        let requests = if step % 2 == 0 { 2 } else { 1 };
        (0..requests).for_each(|_| budget.deposit(step_time(step)));
    }
    let now = step_time(240);
    let sent = (0..100).filter(|_| budget.withdraw(BURST, now)).count();
    expect_that!(sent, ge(60));
}

/// Guards against a burst that a node finds anew each time it is started.
#[gtest]
fn a_node_that_has_just_started_has_no_burst() {
    let mut budget = RetryWindow::new(RATIO, LENGTH, step_time(0));
    expect_false!(budget.withdraw(BURST, step_time(1)));
    expect_true!(budget.withdraw(BURST, step_time(WINDOW)));
}

/// Guards against a retry that is counted although it was not sent.
#[gtest]
fn a_retry_that_was_not_sent_is_given_back() {
    let mut budget = RetryWindow::new(RATIO, LENGTH, step_time(0));
    let now = step_time(WINDOW);
    expect_true!(budget.withdraw(1, now));
    expect_false!(budget.can_withdraw(1, now));
    budget.refund(now);
    expect_true!(budget.can_withdraw(1, now));
}

/// Requests and retries of all nodes, step by step.
struct PlayedTraffic {
    requests: Vec<u32>,
    retries: Vec<u32>,
}

/// Plays nodes that send every retry they may, while callers come, go and crowd in.
fn play(seed: u64) -> PlayedTraffic {
    let mut rng = StdRng::seed_from_u64(seed);
    let open = || RetryWindow::new(RATIO, LENGTH, step_time(0));
    let mut budgets: Vec<RetryWindow> = (0..NODES).map(|_| open()).collect();
    let mut rates = [1.5; NODES];
    let mut played = PlayedTraffic {
        requests: Vec::new(),
        retries: Vec::new(),
    };
    for step in 0..WINDOW * 8 {
        let now = step_time(step);
        if rng.random_bool(0.02) {
            rates[rng.random_range(0..NODES)] = rng.random_range(0.0..6.0);
        }
        if rng.random_bool(0.002) {
            rates = [rng.random_range(0.0..6.0); NODES];
        }
        let is_failing = rng.random_bool(0.5);
        let (mut requests, mut retries) = (0, 0);
        for (budget, rate) in budgets.iter_mut().zip(rates) {
            let come = (rate + rng.random::<f64>()) as u32;
            (0..come).for_each(|_| budget.deposit(now));
            requests += come;
            while is_failing && budget.withdraw(BURST, now) {
                retries += 1;
            }
        }
        played.requests.push(requests);
        played.retries.push(retries);
    }
    played
}

/// Guards against more retries in some window than the requests around it allow, over all nodes.
#[gtest]
fn all_nodes_together_keep_the_bound_in_every_window() {
    for seed in 0..200 {
        let played = play(seed);
        let sum = |list: &[u32], from: usize| list[from..from + WINDOW].iter().sum::<u32>();
        for start in WINDOW..played.requests.len() - WINDOW {
            let windows = [start, start - WINDOW / 2, start - WINDOW];
            let requests = windows.map(|from| sum(&played.requests, from));
            let most = requests.into_iter().max().unwrap_or_default();
            let allowed = RATIO * f64::from(most) + f64::from(SLACK);
            let retries = f64::from(sum(&played.retries, start));
            assert_that!(retries, le(allowed), "seed {seed}, step {start}");
        }
    }
}
