//! How nodes leave a target alone that asked them to, and how they return.

use std::time::Duration;

use briarswitch_core::id::Moment;
use briarswitch_core::rest::TargetRest;
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

fn resting(draw: f64) -> TargetRest {
    let mut rest = TargetRest::default();
    rest.begin(ASKED, draw, REFUSED);
    rest
}

/// Returns when nodes that were refused at the same time send requests again, while the target accepts none.
fn sends(nodes: usize) -> Vec<Moment> {
    let mut random = StdRng::seed_from_u64(nodes as u64);
    let mut rests: Vec<TargetRest> = (0..nodes).map(|_| resting(random.random())).collect();
    let mut sends = Vec::new();
    for tick in 0..400 {
        let now = REFUSED + TICK * tick;
        let free = rests
            .iter_mut()
            .filter_map(|rest| rest.reserve(now).then_some(now));
        sends.extend(free);
    }
    sends
}

/// Guards against requests that reach a target before the time that it asked for is over.
#[gtest]
fn no_node_sends_before_the_rest_is_over() {
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
    let mut rest = resting(0.0);
    let end = REFUSED + ASKED;
    let sent = (0..100).filter(|tick| rest.reserve(end + TICK * *tick));
    expect_that!(sent.count(), eq(2));
    rest.record_accepted(end);
    expect_true!((0..20).all(|_| rest.reserve(end + Duration::from_secs(1))));
}

/// Guards against a response to a request from before the rest that ends it.
#[gtest]
fn an_earlier_request_that_is_answered_does_not_end_the_rest() {
    let mut rest = resting(0.0);
    rest.record_accepted(REFUSED - TICK);
    expect_false!(rest.reserve(REFUSED + ASKED - TICK));
}

/// Guards against a shorter time in a later refusal that cuts the rest short, and a longer one that is ignored.
#[gtest]
fn the_longest_rest_counts() {
    let mut rest = resting(0.0);
    rest.begin(Duration::from_secs(1), 0.0, REFUSED + TICK);
    expect_that!(rest.until(), eq(REFUSED + ASKED));
    rest.begin(ASKED, 0.0, REFUSED + Duration::from_secs(1));
    expect_that!(rest.until(), eq(REFUSED + Duration::from_secs(4)));
}

/// Guards against a target that is out of service for good because it asked for an absurd time.
#[gtest]
fn an_absurd_rest_is_cut_to_minutes() {
    let mut rest = TargetRest::default();
    rest.begin(Duration::MAX, 1.0, REFUSED);
    expect_true!(rest.reserve(REFUSED + Duration::from_secs(603)));
}
