//! Retries after failures of whole groups, and the limit that all nodes together must keep.

use std::time::Duration;

use briarswitch_core::id::Moment;
use briarswitch_core::retry::RetryWindow;
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const NODES: usize = 6;
const RATIO: f64 = 0.2;
const WINDOW_LENGTH: Duration = Duration::from_secs(10);
/// Retries beyond the earned ones that all nodes together may send in a window.
const TOTAL_BURST: u32 = 130;
/// Burst allowed to each node.
const BURST: u32 = 15;
const STEP: Duration = Duration::from_millis(50);
/// Steps per window.
const WINDOW_STEPS: usize = 200;

fn step_time(step: usize) -> Moment {
    Duration::from_secs(100) + STEP * step as u32
}

/// Guards against streams that are not retried when a group fails after seconds without failures,
/// although the window has budget left.
#[gtest]
fn retries_earned_in_quiet_seconds_are_available_when_a_group_fails() {
    let mut budget = RetryWindow::new(RATIO, WINDOW_LENGTH, step_time(0));
    // Thirty requests per second for twelve seconds.
    for step in 0..240 {
        let requests = if step % 2 == 0 { 2 } else { 1 };
        (0..requests).for_each(|_| budget.deposit(step_time(step)));
    }
    let now = step_time(240);
    let sent = (0..100).filter(|_| budget.withdraw(BURST, now)).count();
    expect_that!(sent, ge(60));
}

/// Guards against a node gaining a new burst with each restart.
#[gtest]
fn a_node_that_has_just_started_has_no_burst() {
    let mut budget = RetryWindow::new(RATIO, WINDOW_LENGTH, step_time(0));
    expect_false!(budget.withdraw(BURST, step_time(1)));
    expect_true!(budget.withdraw(BURST, step_time(WINDOW_STEPS)));
}

/// Guards against counting a retry that was not sent.
#[gtest]
fn a_retry_that_was_not_sent_is_refunded() {
    let mut budget = RetryWindow::new(RATIO, WINDOW_LENGTH, step_time(0));
    let now = step_time(WINDOW_STEPS);
    expect_true!(budget.withdraw(1, now));
    expect_false!(budget.can_withdraw(1, now));
    budget.refund(now);
    expect_true!(budget.can_withdraw(1, now));
}

/// Requests and retries of all nodes in each step.
struct Traffic {
    requests: Vec<u32>,
    retries: Vec<u32>,
}

/// Simulates nodes that send every allowed retry, while the request rates of single nodes and of
/// all nodes change.
fn simulate(seed: u64) -> Traffic {
    let mut rng = StdRng::seed_from_u64(seed);
    let new_budget = || RetryWindow::new(RATIO, WINDOW_LENGTH, step_time(0));
    let mut budgets: Vec<RetryWindow> = (0..NODES).map(|_| new_budget()).collect();
    let mut rates = [1.5; NODES];
    let mut traffic = Traffic {
        requests: Vec::new(),
        retries: Vec::new(),
    };
    for step in 0..WINDOW_STEPS * 8 {
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
            let arrivals = (rate + rng.random::<f64>()) as u32;
            (0..arrivals).for_each(|_| budget.deposit(now));
            requests += arrivals;
            while is_failing && budget.withdraw(BURST, now) {
                retries += 1;
            }
        }
        traffic.requests.push(requests);
        traffic.retries.push(retries);
    }
    traffic
}

/// Guards against all nodes together sending more retries in a window than its requests allow.
#[gtest]
fn all_nodes_together_keep_the_limit_in_every_window() {
    for seed in 0..200 {
        let traffic = simulate(seed);
        let sum = |list: &[u32], from: usize| list[from..from + WINDOW_STEPS].iter().sum::<u32>();
        for start in WINDOW_STEPS..traffic.requests.len() - WINDOW_STEPS {
            let windows = [start, start - WINDOW_STEPS / 2, start - WINDOW_STEPS];
            let requests = windows.map(|from| sum(&traffic.requests, from));
            let max_requests = requests.into_iter().max().unwrap_or_default();
            let allowed = RATIO * f64::from(max_requests) + f64::from(TOTAL_BURST);
            let retries = f64::from(sum(&traffic.retries, start));
            assert_that!(retries, le(allowed), "seed {seed}, step {start}");
        }
    }
}

/// Time for which retries wait for a target in the first part of each period.
const WAIT_TIME: Duration = Duration::from_secs(3);
/// Time from one such wait to the next.
const WAIT_INTERVAL: Duration = Duration::from_secs(13);

/// Returns when a retry that is taken at a moment is sent: waits end together.
fn send_time(taken_at: Moment) -> Moment {
    let phase = Duration::from_nanos((taken_at.as_nanos() % WAIT_INTERVAL.as_nanos()) as u64);
    taken_at + WAIT_TIME.saturating_sub(phase)
}

/// Guards against retries that are taken in one window and sent in a later one, in addition to its own.
#[gtest]
fn retries_that_wait_for_their_targets_stay_within_the_limit() {
    let mut budget = RetryWindow::new(RATIO, WINDOW_LENGTH, step_time(0));
    let mut sent = vec![0; WINDOW_STEPS * 8];
    let mut waiting: Vec<(Moment, Moment)> = Vec::new();
    for (step, sent) in sent.iter_mut().enumerate() {
        let now = step_time(step);
        (0..8).for_each(|_| budget.deposit(now));
        while budget.withdraw(BURST, now) {
            waiting.push((now, send_time(now)));
        }
        waiting.retain(|(taken_at, send_at)| {
            if *send_at <= now {
                budget.postpone(*taken_at, now);
                *sent += 1;
            }
            *send_at > now
        });
    }
    let requests = 8 * WINDOW_STEPS;
    let allowed = RATIO * requests as f64 + f64::from(BURST);
    for window in sent.windows(WINDOW_STEPS) {
        let count: u32 = window.iter().sum();
        expect_that!(f64::from(count), le(allowed));
    }
}
