//! Limits that targets state in their responses, kept by all nodes together.

mod support;

use std::time::{Duration, Instant};

use googletest::prelude::*;

use support::target::TargetStub;
use support::{Fleet, TestRequest};

/// Zones of the nodes.
const NODES: [&str; 6] = ["z1", "z1", "z2", "z2", "z3", "z3"];
/// Callers that send requests to each node.
const CALLERS_PER_NODE: usize = 3;
/// Pause of a caller between a response and the next request.
const CALL_INTERVAL: Duration = Duration::from_millis(40);
/// Time in which every node has to know of a limit.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// Time in which a change of the list of targets reaches the node.
const DIRECTORY_TIME: Duration = Duration::from_secs(1);
/// Time over which requests are counted.
const COUNTED_TIME: Duration = Duration::from_secs(4);

/// Returns the requests that a target may get in [`COUNTED_TIME`]: half more than the limit, and five.
fn allowed(per_second: f64) -> usize {
    (per_second * COUNTED_TIME.as_secs_f64() * 1.5 + 5.0) as usize
}

fn look() -> TestRequest<'static> {
    TestRequest {
        path: "/look/x",
        ..TestRequest::chat("hello")
    }
}

/// Sends requests to a node one after the other; returns how many were not served.
async fn call(fleet: &Fleet, node: usize, time: Duration) -> usize {
    let end = Instant::now() + time;
    let mut unserved = 0;
    while Instant::now() < end {
        let response = fleet.request(node, look()).await;
        unserved += usize::from(!response.is_served());
        tokio::time::sleep(CALL_INTERVAL).await;
    }
    unserved
}

/// Sends requests of several callers to each node; returns how many were not served.
async fn call_all(fleet: &Fleet, time: Duration) -> usize {
    let nodes = (0..fleet.nodes.len()).flat_map(|node| [node; CALLERS_PER_NODE]);
    let callers = nodes.map(|node| call(fleet, node, time));
    futures::future::join_all(callers).await.into_iter().sum()
}

/// Returns the largest number of requests that reach a target within [`COUNTED_TIME`], after `since`.
fn most_arrivals(target: &TargetStub, since: Instant) -> usize {
    let runs = target.runs().into_iter().map(|run| run.at);
    let starts: Vec<Instant> = runs.filter(|at| *at >= since).collect();
    let counts = starts.iter().map(|start| {
        let end = *start + COUNTED_TIME;
        starts
            .iter()
            .filter(|at| *at >= start && **at < end)
            .count()
    });
    counts.max().unwrap_or(0)
}

/// Guards against nodes that read a target's limit and send as much as before, or each as much as all of them may.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn all_nodes_together_keep_to_the_limit_that_a_target_states() {
    let fleet = Fleet::open(3, &NODES).await;
    fleet.targets[0].state_limit(Some("2.4"));
    expect_that!(call_all(&fleet, PROPAGATION_TIME).await, eq(0));
    let told = Instant::now();
    expect_that!(call_all(&fleet, COUNTED_TIME * 2).await, eq(0));
    let most = most_arrivals(&fleet.targets[0], told);
    expect_that!(most, all!(ge(4), le(allowed(2.4))));
}

/// Guards against a limit that a node overruns after each restart because it has forgotten both the limit and what it sent.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_starts_again_keeps_a_limit_of_which_the_others_know() {
    let fleet = Fleet::open(3, &["z1", "z1", "z2"]).await;
    fleet.targets[0].state_limit(Some("1"));
    call_all(&fleet, PROPAGATION_TIME).await;
    let told = Instant::now();
    for _ in 0..4 {
        fleet.start(0).await;
        call_all(&fleet, COUNTED_TIME / 4).await;
    }
    let most = most_arrivals(&fleet.targets[0], told);
    expect_that!(most, le(allowed(1.0)));
}

/// Guards against callers that wait for their whole time where the only target limits itself to less than they ask.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn callers_beyond_the_limit_of_the_only_target_are_refused_as_not_run() {
    let fleet = Fleet::open(1, &["z1", "z1"]).await;
    fleet.targets[0].state_limit(Some("0.1"));
    for node in 0..2 {
        fleet.request(node, look()).await;
    }
    let before = fleet.targets[0].runs().len();
    for node in 0..2 {
        fleet.request(node, look()).await;
        let refused = fleet.request(node, look()).await;
        expect_that!(refused.status, eq(503));
        expect_that!(refused.body, eq("no_target"));
        expect_that!(refused.retry_after(), some(gt(0.0)));
    }
    expect_that!(fleet.targets[0].runs().len(), le(before + 1));
}

/// Guards against nodes that each overrun a limit once because no other node tells them of it.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn nodes_that_a_target_has_not_told_keep_its_limit() {
    let fleet = Fleet::open(1, &NODES).await;
    fleet.targets[0].state_limit(Some("0.1"));
    fleet.request(0, look()).await;
    tokio::time::sleep(PROPAGATION_TIME).await;
    let before = fleet.targets[0].runs().len();
    for node in 0..NODES.len() {
        fleet.request(node, look()).await;
    }
    expect_that!(fleet.targets[0].runs().len(), le(before + 1));
}

/// Guards against nodes without a share that keep a limit which the target has ended towards another node.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn all_nodes_learn_that_a_limit_has_ended() {
    let fleet = Fleet::open(1, &NODES).await;
    fleet.targets[0].state_limit(Some("1"));
    call_all(&fleet, PROPAGATION_TIME).await;
    fleet.targets[0].state_limit(None);
    call_all(&fleet, PROPAGATION_TIME).await;
    for node in 0..NODES.len() {
        expect_true!(fleet.request(node, look()).await.is_served(), "node {node}");
    }
}

/// Guards against statements of one incarnation that bind another one under the same id.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn another_incarnation_under_the_same_id_has_stated_nothing() {
    let fleet = Fleet::open(1, &["z1"]).await;
    fleet.targets[0].state_limit(Some("0.1"));
    fleet.request(0, look()).await;
    fleet.request(0, look()).await;
    expect_false!(fleet.request(0, look()).await.is_served());
    fleet.targets[0].state_limit(None);
    fleet.targets[0].unlist();
    tokio::time::sleep(DIRECTORY_TIME).await;
    fleet.targets[0].list_as(1, Duration::ZERO);
    tokio::time::sleep(DIRECTORY_TIME).await;
    for _ in 0..3 {
        expect_true!(fleet.request(0, look()).await.is_served());
    }
}
