//! Requests that a node forwards to another one because it reaches no target.

mod support;

use std::time::Duration;

use briarswitch_fleet::forward::ForwardRequest;
use bytes::Bytes;
use googletest::prelude::*;
use http::{HeaderMap, HeaderValue, Method};
use serde_json::Value;

use support::path::PathState;
use support::peer::QueueResponse;
use support::platform::TargetListing;
use support::target::{HANGING, PAUSING};
use support::{Fleet, TestRequest, GRACE, HOST, KEYS, SERVICE};

/// Time for which a caller listens before it leaves.
const LISTENING_TIME: Duration = Duration::from_millis(600);
/// Requests in a series.
const SERIES: usize = 20;

fn look() -> TestRequest<'static> {
    TestRequest {
        path: "/look/x",
        ..TestRequest::chat("hello")
    }
}

/// Starts four single targets in two zones, and nodes whose paths to them can be cut.
async fn open(zones: &[&str]) -> Fleet {
    let listings = (0..4).map(|index| TargetListing {
        service: SERVICE,
        zone: if index % 2 == 0 { "z1" } else { "z3" }.to_owned(),
        ..TargetListing::default()
    });
    let fleet = Fleet::open_with_paths(listings.collect(), zones).await;
    for node in 0..zones.len() {
        fleet
            .wait_until("the node hears all others", || async {
                hears_all(&fleet, node).await
            })
            .await;
    }
    fleet
}

async fn hears_all(fleet: &Fleet, node: usize) -> bool {
    let peers = state(fleet, node, "peers").await;
    let peers = peers["peers"].as_array().cloned().unwrap_or_default();
    let heard = peers.iter().filter(|peer| peer["silence_ms"].is_u64());
    heard.count() + 1 == fleet.nodes.len()
}

/// Returns a part of a node's state.
async fn state(fleet: &Fleet, node: usize, service: &str) -> Value {
    let state = fleet.operator_request(node, Method::GET, "/state").await;
    let state: Value = serde_json::from_str(&state.body).unwrap_or_default();
    state[service].clone()
}

/// Returns how often a node has counted a cost.
async fn cost(fleet: &Fleet, node: usize, name: &str) -> u64 {
    let costs = fleet.operator_request(node, Method::GET, "/costs").await;
    let costs: Value = serde_json::from_str(&costs.body).unwrap_or_default();
    let lines = costs.as_array().cloned().unwrap_or_default();
    let line = lines.iter().find(|line| line["name"] == name);
    line.and_then(|line| line["count"].as_u64()).unwrap_or(0)
}

/// Partitions a node and waits until it knows.
async fn partition(fleet: &Fleet, node: usize) {
    fleet.set_paths(node, PathState::Silent);
    fleet
        .wait_until("the node knows that it is partitioned", || async {
            let calls = (0..3).map(|_| fleet.request(node, look()));
            let calls = futures::future::join_all(calls);
            let _ = tokio::time::timeout(LISTENING_TIME, calls).await;
            state(fleet, node, "reach").await["state"] == "Partitioned"
        })
        .await;
}

/// Returns a forwarded at-most-once request with a key, under a version of the configuration.
fn bill(key: &str, config_version: u64) -> ForwardRequest {
    let mut headers = HeaderMap::new();
    for (name, value) in [("key", key), ("attempt", "b1"), ("host", HOST)] {
        let value = HeaderValue::from_str(value).expect("valid header value");
        headers.insert(name, value);
    }
    ForwardRequest {
        sender: "n9".to_owned(),
        config_version,
        method: Method::POST,
        path: "/bill/x".to_owned(),
        host: HOST.to_owned(),
        headers,
        body: Bytes::from_static(b"forwarded"),
        elapsed: Duration::from_millis(100),
        remaining: Duration::from_secs(2),
        waited_before: Duration::ZERO,
        attempts_sent: 0,
        last_event: None,
        is_resumption: false,
        may_retry: false,
    }
}

fn runs_of(fleet: &Fleet, body: &str) -> usize {
    let runs = fleet.targets.iter().flat_map(|target| target.runs());
    runs.filter(|run| run.body == body).count()
}

/// Guards against work that goes on at a target after a caller two hops away has left.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_ends_the_run_behind_another_node() {
    let fleet = open(&["z1", "z1"]).await;
    partition(&fleet, 0).await;
    let calling = fleet.request(0, TestRequest::chat(HANGING));
    let left = tokio::time::timeout(LISTENING_TIME, calling).await;
    expect_true!(left.is_err());
    fleet
        .wait_until("a target sees that the caller left", || async {
            let mut targets = fleet.targets.iter();
            targets.any(|target| target.is_abandoned(HANGING))
        })
        .await;
    expect_that!(runs_of(&fleet, HANGING), eq(1));
}

/// Guards against a stream that ends with the node that relays it, or is resumed twice.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_goes_on_when_the_node_that_relays_it_is_killed() {
    let fleet = open(&["z1", "z1", "z1"]).await;
    partition(&fleet, 0).await;
    let before = [
        cost(&fleet, 1, "forward_received").await,
        cost(&fleet, 2, "forward_received").await,
    ];
    let killing = async {
        tokio::time::sleep(LISTENING_TIME).await;
        let is_first = cost(&fleet, 1, "forward_received").await > before[0];
        fleet.kill(if is_first { 1 } else { 2 });
    };
    let (response, ()) =
        futures::future::join(fleet.request(0, TestRequest::chat(HANGING)), killing).await;
    expect_true!(response.is_served(), "{response:?}");
    for event in 1..=3 {
        let events = response.body.matches(&format!("id: {event}\n")).count();
        expect_that!(events, eq(1), "event {event}");
    }
    expect_that!(runs_of(&fleet, HANGING), eq(2));
}

/// Guards against a forwarded request that ends without an answer, or runs twice though it may not, because the node
/// that took it is shut down.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_forwarded_request_is_answered_before_the_node_that_runs_it_has_ended() {
    let fleet = open(&["z1", "z1"]).await;
    partition(&fleet, 0).await;
    let request = TestRequest {
        path: "/bill/x",
        ..TestRequest::chat(HANGING)
    };
    let shutting_down = async {
        tokio::time::sleep(LISTENING_TIME).await;
        fleet.shut_down(1).await
    };
    let calling = tokio::time::timeout(LISTENING_TIME + GRACE, fleet.request(0, request));
    let (response, ended) = futures::future::join(calling, shutting_down).await;
    expect_true!(ended.is_ok());
    let response = response.expect("an answer within the grace period");
    expect_true!(response.is_complete, "{response:?}");
    expect_that!(response.status, eq(502));
    expect_that!(runs_of(&fleet, HANGING), eq(1));
}

/// Guards against a stream that ends with a node that relays it to another one and is shut down.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_goes_on_when_the_node_that_relays_it_is_shut_down() {
    let fleet = open(&["z1", "z1", "z1"]).await;
    partition(&fleet, 0).await;
    let before = cost(&fleet, 1, "forward_received").await;
    let shutting_down = async {
        tokio::time::sleep(LISTENING_TIME).await;
        let is_first = cost(&fleet, 1, "forward_received").await > before;
        fleet.shut_down(if is_first { 1 } else { 2 }).await
    };
    let calling = fleet.request(0, TestRequest::chat(HANGING));
    let (response, ended) = futures::future::join(calling, shutting_down).await;
    expect_true!(ended.is_ok());
    expect_true!(response.is_served(), "{response:?}");
    expect_that!(runs_of(&fleet, HANGING), eq(2));
}

/// Guards against requests that go round between nodes of which none reaches a target, and against a partition of all
/// that is remembered.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn no_request_goes_round_while_no_node_reaches_targets() {
    let fleet = open(&["z1", "z1", "z3"]).await;
    for node in 0..3 {
        partition(&fleet, node).await;
    }
    let bill = TestRequest {
        path: "/bill/x",
        body: "once",
        ..look()
    };
    for node in 0..3 {
        let response = fleet.request(node, bill).await;
        expect_that!(response.status, eq(503));
    }
    expect_that!(runs_of(&fleet, "once"), eq(0));
    for node in 0..3 {
        fleet.set_paths(node, PathState::Open);
    }
    for node in 0..3 {
        fleet.wait_until_served(node, bill).await;
    }
    expect_that!(runs_of(&fleet, "once"), eq(3));
}

/// Guards against a request that runs though another node, which may have run it before it panicked, had taken it.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_handling_panics_at_another_node_is_not_forwarded_again() {
    let fleet = open(&["z1", "z1"]).await;
    let peer = fleet.add_peer(|_| QueueResponse::Misdirected).await;
    partition(&fleet, 0).await;
    let bill = TestRequest {
        path: "/bill/x",
        body: "once",
        ..look()
    };
    let (mut served, mut lost) = (0, 0);
    for _ in 0..SERIES {
        let response = fleet.request(0, bill).await;
        expect_that!(response.status, any![eq(200), eq(502)]);
        if response.is_served() {
            served += 1;
        } else {
            lost += 1;
        }
    }
    expect_that!(lost, gt(0));
    expect_that!(peer.forwards_of("once"), eq(lost));
    expect_that!(runs_of(&fleet, "once"), eq(served));
}

/// Guards against requests that leave the regions in which they may be processed.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_forwarded_to_nodes_of_its_regions_alone() {
    // z2 lies in region r1, z3 in region r2, and the rule allows r2.
    let fleet = open(&["z1", "z2", "z3"]).await;
    partition(&fleet, 0).await;
    let before = cost(&fleet, 1, "forward_received").await;
    let local = TestRequest {
        path: "/local/x",
        ..look()
    };
    for _ in 0..SERIES {
        expect_true!(fleet.request(0, local).await.is_served());
    }
    expect_that!(cost(&fleet, 1, "forward_received").await, eq(before));
}

/// Guards against a listener for nodes through which anybody gets requests run, or under a configuration that is
/// no longer in force.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_node_admits_forwarded_requests_like_its_own_callers() {
    let fleet = open(&["z1"]).await;
    let unknown = fleet.forward(0, bill("no-such-key", 1)).await;
    expect_that!(unknown.body, contains_substring("the key is not known"));
    let newer = fleet.forward(0, bill(KEYS[0].0, 99)).await;
    expect_that!(newer.body, contains_substring("older configuration"));
    expect_that!(runs_of(&fleet, "forwarded"), eq(0));
    let admitted = fleet.forward(0, bill(KEYS[0].0, 1)).await;
    expect_true!(admitted.is_served());
    expect_that!(runs_of(&fleet, "forwarded"), eq(1));
}

/// Guards against a node that takes a second's silence of sound targets for their end or its own partition.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn targets_may_be_silent_for_a_second() {
    let fleet = open(&["z1", "z1"]).await;
    let calls = (0..6).map(|index| {
        let fleet = &fleet;
        async move {
            let body = format!("{PAUSING}-{index}");
            let request = TestRequest {
                path: "/bill/x",
                body: &body,
                ..look()
            };
            let response = fleet.request(0, request).await;
            expect_true!(response.is_served(), "{response:?}");
            expect_that!(runs_of(fleet, &body), eq(1));
        }
    });
    futures::future::join_all(calls).await;
    expect_that!(cost(&fleet, 0, "request_forwarded").await, eq(0));
}
