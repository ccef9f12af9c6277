//! Targets that say in their responses that they leave.

mod support;

use std::time::{Duration, Instant};

use googletest::prelude::*;

use support::{Fleet, TestRequest};

/// Time for which targets run requests after they have said that they leave.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Sends requests to a node one after the other; returns how many were not served.
async fn call(fleet: &Fleet, time: Duration) -> usize {
    let end = Instant::now() + time;
    let mut unserved = 0;
    while Instant::now() < end {
        let response = fleet.request(0, TestRequest::model("hello")).await;
        unserved += usize::from(!response.is_served());
    }
    unserved
}

/// Guards against requests that reach a target long after it said that it leaves, while the directory does not say so.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_says_it_leaves_gets_nothing_new() {
    let fleet = Fleet::open_groups(2, &["z1"]).await;
    // Idle groups are chosen in the order in which they registered, which differs between runs.
    let used = fleet
        .targets
        .iter()
        .max_by_key(|target| target.runs().len());
    let used = used.expect("a target");
    let untold = used.runs().len();
    used.leave(true);
    expect_that!(call(&fleet, DRAIN_TIME).await, eq(0));
    let before = used.runs().len();
    expect_that!(before, gt(untold));
    expect_that!(call(&fleet, DRAIN_TIME).await, eq(0));
    expect_that!(used.runs().len(), eq(before));
}

/// Guards against a target that is left alone for good after another incarnation has begun at its address.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn the_next_incarnation_of_a_target_that_left_is_used() {
    let fleet = Fleet::open_groups(1, &["z1"]).await;
    fleet.targets[0].leave(true);
    fleet.request(0, TestRequest::model("hello")).await;
    let before = fleet.targets[0].runs().len();
    let refused = fleet.request(0, TestRequest::model("hello")).await;
    expect_that!(refused.status, eq(503));
    expect_that!(fleet.targets[0].runs().len(), eq(before));
    fleet.targets[0].leave(false);
    fleet.targets[0].crash();
    fleet
        .wait_until_served(0, TestRequest::model("hello"))
        .await;
}
