//! How nodes leave a target alone that asked them to, and how they return.

use std::time::Duration;

use briarswitch_core::backoff::TargetBackoff;
use briarswitch_core::id::Moment;
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const ASKED: Duration = Duration::from_secs(3);
/// Moment of the refusal.
const REFUSED: Moment = Duration::from_secs(10);
/// Numbers of nodes, from the smallest fleet to the largest.
const FLEET_SIZES: [usize; 5] = [6, 58, 112, 295, 985];
/// Interval at which each node has a request for the target.
const TICK: Duration = Duration::from_millis(10);

fn backing_off(draw: f64) -> TargetBackoff {
    let mut backoff = TargetBackoff::default();
    backoff.begin(ASKED, draw, REFUSED);
    backoff
}

/// Returns when nodes that were refused at the same time send requests again, while the target accepts none.
fn sends(nodes: usize) -> Vec<Moment> {
    let mut random = StdRng::seed_from_u64(nodes as u64);
    let mut backoffs: Vec<TargetBackoff> =
        (0..nodes).map(|_| backing_off(random.random())).collect();
    let mut sends = Vec::new();
    for tick in 0..400 {
        let now = REFUSED + TICK * tick;
        let free = backoffs
            .iter_mut()
            .filter_map(|backoff| backoff.reserve(now).then_some(now));
        sends.extend(free);
    }
    sends
}

/// Guards against requests that reach a target before the time that it asked for is over.
#[gtest]
fn no_node_sends_before_the_backoff_is_over() {
    for nodes in FLEET_SIZES {
        let first = sends(nodes).into_iter().min();
        expect_that!(first, some(ge(REFUSED + ASKED)), "{nodes} nodes");
    }
}

/// Guards against nodes that return in the same moment and make the target refuse again.
#[gtest]
fn nodes_return_at_different_times() {
    for nodes in FLEET_SIZES {
        let end = REFUSED + ASKED;
        let sends = sends(nodes);
        let early = sends
            .iter()
            .filter(|at| **at < end + Duration::from_millis(100));
        // Evenly over three quarters of a second, with room for chance where nodes are few.
        expect_that!(early.count(), le(nodes / 4 + 3), "{nodes} nodes");
    }
}

/// Guards against the queue of a node that rushes at a target which may refuse everything still.
#[gtest]
fn requests_go_one_by_one_until_one_is_accepted() {
    let mut backoff = backing_off(0.0);
    let end = REFUSED + ASKED;
    let sent = (0..100).filter(|tick| backoff.reserve(end + TICK * *tick));
    expect_that!(sent.count(), eq(2));
    backoff.record_accepted(end);
    expect_true!((0..20).all(|_| backoff.reserve(end + Duration::from_secs(1))));
}

/// Guards against a response to a request from before the backoff that ends it.
#[gtest]
fn an_earlier_request_that_is_answered_does_not_end_the_backoff() {
    let mut backoff = backing_off(0.0);
    backoff.record_accepted(REFUSED - TICK);
    expect_false!(backoff.reserve(REFUSED + ASKED - TICK));
}

/// Guards against a shorter time in a later refusal that cuts the backoff short, and a longer one that is ignored.
#[gtest]
fn the_longest_backoff_counts() {
    let mut backoff = backing_off(0.0);
    backoff.begin(Duration::from_secs(1), 0.0, REFUSED + TICK);
    expect_that!(backoff.until(), eq(REFUSED + ASKED));
    backoff.begin(ASKED, 0.0, REFUSED + Duration::from_secs(1));
    expect_that!(backoff.until(), eq(REFUSED + Duration::from_secs(4)));
}

/// Guards against a target that is out of service for good because it asked for an absurd time.
#[gtest]
fn an_absurd_backoff_is_cut_to_minutes() {
    let mut backoff = TargetBackoff::default();
    backoff.begin(Duration::MAX, 1.0, REFUSED);
    expect_true!(backoff.reserve(REFUSED + Duration::from_secs(603)));
}
