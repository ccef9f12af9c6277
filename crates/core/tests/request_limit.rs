//! Limits of targets, in whole requests and in fractions, kept by many nodes without talking to each other.

mod support;

use std::time::Duration;

use briarswitch_core::id::Moment;
use briarswitch_core::request_limit::{RequestLimit, RequestWindow};
use googletest::prelude::*;

use support::{arrivals, most_within};

/// Numbers of nodes, from the smallest fleet to twice the largest.
const FLEET_SIZES: [usize; 7] = [1, 6, 58, 112, 295, 985, 2_000];
/// Limits in requests per second.
const RATES: [f64; 8] = [0.1, 0.3, 1.0, 1.9, 2.0, 2.4, 14.0, 40.5];
/// Time that a play lasts.
const PLAY_TIME: Duration = Duration::from_secs(60);
/// Pace of a play in which a target is silent.
const TICK: Duration = Duration::from_millis(50);

/// Guards against nodes that together send more than a limit, whole or not, at any fleet size.
#[gtest]
fn no_window_has_more_requests_than_the_limit() {
    for nodes in FLEET_SIZES {
        for rate in RATES {
            let limit = RequestLimit::per_second(rate);
            let most = most_within(&arrivals(&limit, nodes, PLAY_TIME, 1), limit.window());
            expect_that!(most, le(limit.requests()), "{nodes} nodes, {rate}/s");
        }
    }
}

/// Guards against fractions that are cut off, and against shares of less than one request that nobody sends.
#[gtest]
fn a_limited_target_gets_most_of_its_limit_where_callers_want_it() {
    for nodes in FLEET_SIZES {
        for rate in RATES {
            let limit = RequestLimit::per_second(rate);
            let got = arrivals(&limit, nodes, PLAY_TIME, 2).len() as f64 / PLAY_TIME.as_secs_f64();
            // A sender in 2,000 has a caller only each few seconds.
            let floor = if nodes <= 112 { 0.6 } else { 0.1 };
            expect_that!(got, ge(rate * floor), "{nodes} nodes, {rate}/s");
        }
    }
}

/// Returns when nodes send to a target that never responds, if those with a share are gone.
fn sends_while_silent(limit: &RequestLimit, nodes: usize) -> Vec<Moment> {
    let mut windows = vec![RequestWindow::default(); nodes];
    let mut sends = Vec::new();
    let mut now = Moment::ZERO;
    while now < PLAY_TIME {
        for (rank, window) in windows.iter_mut().enumerate() {
            let is_gone = limit.share(nodes, rank) > 0;
            if !is_gone && window.reserve(limit, limit.share_after(now, nodes, rank), now) {
                sends.push(now);
            }
        }
        now += TICK;
    }
    sends
}

/// Guards against a target that stays limited for good since the nodes with a share are gone and no response says
/// that the limit has ended.
#[gtest]
fn other_nodes_get_turns_when_those_with_a_share_are_gone() {
    for nodes in [6, 58, 112, 295, 985] {
        let sends = sends_while_silent(&RequestLimit::per_second(2.0), nodes);
        let first = sends.first().copied().unwrap_or(PLAY_TIME);
        expect_that!(first, le(Duration::from_secs(8)), "{nodes} nodes");
    }
}

/// Guards against turns that nodes take all at once after a target's silence.
#[gtest]
fn turns_begin_at_the_pace_of_the_limit() {
    let limit = RequestLimit::per_second(2.0);
    for nodes in [6, 58, 112, 295, 985] {
        let turn = |rank| {
            let shares = (0..600u32).map(|tick| limit.share_after(TICK * tick, nodes, rank));
            shares.take_while(|share| *share == 0).count()
        };
        let ranks = (0..nodes).filter(|rank| limit.share(nodes, *rank) == 0);
        let mut turns: Vec<Moment> = ranks.map(|rank| TICK * turn(rank) as u32).collect();
        turns.retain(|turn| *turn < TICK * 600);
        turns.sort_unstable();
        expect_that!(
            most_within(&turns, Duration::from_secs(4)),
            le(8),
            "{nodes} nodes"
        );
    }
}
