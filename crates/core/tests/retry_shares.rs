//! Retries of many nodes that each get few requests.

use std::time::Duration;

use briarswitch_core::id::Moment;
use briarswitch_core::limit::ranked_share;
use briarswitch_core::retry::RetryWindow;
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const RATIO: f64 = 0.2;
const WINDOW: Duration = Duration::from_secs(10);
/// Retries that all nodes together may send in a window beyond those earned.
const BURST: usize = 1_040;
/// Part of the burst that is divided among known nodes.
const DIVIDED_BURST: usize = 728;
const REQUESTS_PER_SECOND: f64 = 72.0;
/// Share of the requests that fail at their first target.
const FAILURE_SHARE: f64 = 0.04;
/// Numbers of nodes; in the largest fleet, not every node has a part of the burst.
const FLEET_SIZES: [usize; 4] = [6, 80, 295, 985];

/// Counts of failed requests and of those that could be retried.
#[derive(Debug, Default)]
struct RetryCounts {
    failed: u32,
    retried: u32,
}

fn play(nodes: usize, failure_share: f64) -> RetryCounts {
    let mut random = StdRng::seed_from_u64(nodes as u64);
    let mut windows: Vec<RetryWindow> = (0..nodes)
        .map(|_| RetryWindow::new(RATIO, WINDOW, Moment::ZERO))
        .collect();
    let mut counts = RetryCounts::default();
    let mut now = WINDOW;
    while now < WINDOW * 2 {
        let rank = random.random_range(0..nodes);
        windows[rank].deposit(now);
        if random.random::<f64>() < failure_share {
            counts.failed += 1;
            let burst = ranked_share(DIVIDED_BURST, nodes, rank) as u32;
            counts.retried += u32::from(windows[rank].withdraw(burst, now));
        }
        now += Duration::from_secs_f64(1.0 / REQUESTS_PER_SECOND);
    }
    counts
}

/// Guards against a fleet whose nodes each have less than one retry, so that hardly any failed request is retried
/// although few fail and the fleet's budget is nearly untouched.
#[gtest]
fn failed_requests_are_retried_at_any_fleet_size() {
    for nodes in FLEET_SIZES {
        let counts = play(nodes, FAILURE_SHARE);
        expect_that!(counts.retried * 10, ge(counts.failed * 5), "{nodes} nodes");
    }
}

/// Guards against a fleet that retries more than its budget when everything fails.
#[gtest]
fn all_nodes_together_keep_to_the_budget_when_everything_fails() {
    for nodes in [6, 80, 295, 985, 2_000, 4_000] {
        let counts = play(nodes, 1.0);
        let budget = f64::from(counts.failed) * RATIO + BURST as f64;
        expect_that!(f64::from(counts.retried), le(budget), "{nodes} nodes");
    }
}
