//! Zones under evacuation, targets that warm up, and rules that allow only some regions.

mod support;

use std::time::{Duration, Instant};

use googletest::prelude::*;

use support::platform::TargetListing;
use support::target::TargetStub;
use support::{Fleet, TestRequest, WARMUP};

/// Number of requests that each node gets; many more than a target that warms up may take.
const REQUESTS: usize = 24;

/// Time in which a change of the list of targets reaches the node.
const DIRECTORY_TIME: Duration = Duration::from_millis(150);

fn listing(zone: &str) -> TargetListing {
    TargetListing {
        zone: zone.to_owned(),
        ..TargetListing::default()
    }
}

fn look(path: &str) -> TestRequest<'_> {
    TestRequest {
        path,
        ..TestRequest::chat("hello")
    }
}

/// Returns the time over which nodes count their requests to a target that warms up.
fn counting_time() -> Duration {
    let limit = WARMUP.limit().expect("a limit");
    limit.counting_time()
}

/// Sends requests to all nodes at the same time, and returns how many were served.
async fn send_to_all(fleet: &Fleet) -> usize {
    let nodes = 0..fleet.nodes.len();
    let requests = nodes.flat_map(|node| (0..REQUESTS).map(move |_| node));
    let responses = requests.map(|node| fleet.request(node, look("/look/x")));
    let responses = futures::future::join_all(responses).await;
    responses.iter().filter(|reply| reply.is_served()).count()
}

/// Returns the largest number of runs of a target in one second after `since`.
fn most_runs_in_a_second(target: &TargetStub, since: Instant) -> usize {
    let runs = target.runs();
    let starts: Vec<Instant> = runs.iter().map(|run| run.at).collect();
    let later = starts.iter().filter(|start| **start >= since);
    let counts = later.map(|start| {
        let end = *start + Duration::from_secs(1);
        starts
            .iter()
            .filter(|at| **at >= *start && **at < end)
            .count()
    });
    counts.max().unwrap_or(0)
}

async fn runs_after(fleet: &Fleet, target: usize) -> usize {
    let before = fleet.targets[target].runs().len();
    for _ in 0..REQUESTS {
        fleet.request(0, look("/look/x")).await;
    }
    fleet.targets[target].runs().len() - before
}

async fn wait_until_evacuated(fleet: &Fleet, is_evacuated: bool) {
    fleet
        .wait_until("the node knows of the evacuation", || async {
            let state = fleet.operator_request(0, http::Method::GET, "/state").await;
            state.body.contains("\"evacuated_zones\":[\"z1\"]") == is_evacuated
        })
        .await;
}

/// Guards against requests that reach a zone under evacuation, and against a rush on its targets when it returns,
/// although the directory lists them as warm.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_evacuated_zone_gets_no_requests_and_returns_slowly() {
    let fleet = Fleet::open_with(vec![listing("z1"), listing("z2")], &["z1"]).await;
    fleet.platform.set_evacuated("z1", true);
    wait_until_evacuated(&fleet, true).await;
    expect_that!(runs_after(&fleet, 0).await, eq(0));

    tokio::time::sleep(counting_time()).await;
    fleet.platform.set_evacuated("z1", false);
    wait_until_evacuated(&fleet, false).await;
    let returned = Instant::now();
    expect_that!(send_to_all(&fleet).await, eq(REQUESTS));
    let most = most_runs_in_a_second(&fleet.targets[0], returned);
    expect_that!(most, all!(ge(1), le(WARMUP.requests_per_second as usize)));
}

/// Guards against requests that wait for a zone under evacuation as if its targets were merely full.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_refused_as_not_run_while_the_only_zone_is_evacuated() {
    let fleet = Fleet::open_with(vec![listing("z1")], &["z1"]).await;
    fleet.platform.set_evacuated("z1", true);
    wait_until_evacuated(&fleet, true).await;
    let before = fleet.targets[0].runs().len();
    let response = fleet.request(0, look("/look/x")).await;
    expect_that!(response.status, eq(503));
    expect_that!(response.retry_after(), some(gt(0.0)));
    expect_that!(fleet.targets[0].runs().len(), eq(before));
}

/// Guards against a node that starts during an evacuation and does not know of it.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_starts_during_an_evacuation_knows_of_it() {
    let fleet = Fleet::open_with(vec![listing("z1"), listing("z2")], &["z1"]).await;
    fleet.platform.set_evacuated("z1", true);
    wait_until_evacuated(&fleet, true).await;
    fleet.start(0).await;
    fleet.wait_until_serving().await;
    expect_that!(runs_after(&fleet, 0).await, eq(0));
}

/// Guards against each node sending as much to a target that warms up as all of them may send together.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn all_nodes_together_keep_to_the_limit_of_a_target_that_warms_up() {
    let cold = TargetListing {
        warmup_left: Duration::from_secs(60),
        ..listing("z1")
    };
    let fleet = Fleet::open_with(vec![listing("z1"), cold], &["z1", "z1", "z2"]).await;
    fleet
        .wait_until("every node knows the others", || async {
            let state = fleet.operator_request(0, http::Method::GET, "/state").await;
            ["n1", "n2"].iter().all(|node| state.body.contains(node))
        })
        .await;
    tokio::time::sleep(counting_time()).await;
    let started = Instant::now();
    send_to_all(&fleet).await;
    let most = most_runs_in_a_second(&fleet.targets[1], started);
    expect_that!(most, all!(ge(1), le(WARMUP.requests_per_second as usize)));
}

/// Guards against requests that are processed outside the regions that their rule allows.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_rule_with_allowed_regions_uses_only_targets_there() {
    let fleet = Fleet::open_with(vec![listing("z1"), listing("z3")], &["z1"]).await;
    let before = fleet.targets[0].runs().len();
    for _ in 0..REQUESTS {
        expect_true!(fleet.request(0, look("/local/x")).await.is_served());
    }
    expect_that!(fleet.targets[0].runs().len(), eq(before));

    let without = Fleet::open_with(vec![listing("z1")], &["z1"]).await;
    let response = without.request(0, look("/local/x")).await;
    expect_that!(response.status, eq(503));
}

/// Guards against requests that are refused at once although their only target is warm before their time is up.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn requests_wait_for_a_target_that_is_warm_soon() {
    let fleet = Fleet::open_with(vec![listing("z1")], &["z1"]).await;
    tokio::time::sleep(counting_time()).await;
    fleet.targets[0].list_as(1, Duration::from_millis(700));
    tokio::time::sleep(DIRECTORY_TIME).await;
    expect_that!(send_to_all(&fleet).await, eq(REQUESTS));
}
