//! Targets that refuse requests and want no further ones from the node for a while.

mod support;

use std::time::{Duration, Instant};

use googletest::prelude::*;

use support::{Fleet, TestRequest};

/// Time in which a change of the list of targets reaches the node.
const DIRECTORY_TIME: Duration = Duration::from_secs(1);

/// Time for which targets want no requests, in the header.
const RETRY_AFTER: &str = "3";
/// The same time.
const BACKOFF_TIME: Duration = Duration::from_secs(3);
/// Time after a refusal in which requests that were on their way may still arrive.
const TRANSIT_TIME: Duration = Duration::from_millis(500);
/// Requests that may reach a target later in that time.
const MAX_LATE: usize = 2;
/// Callers that send requests at the same time.
const CALLERS: usize = 8;

/// Sends requests of all callers to the first node, one after the other each; returns how many were not served.
async fn call_all(fleet: &Fleet, time: Duration) -> usize {
    let end = Instant::now() + time;
    let callers = (0..CALLERS).map(|_| async {
        let mut unserved = 0;
        while Instant::now() < end {
            let response = fleet.request(0, TestRequest::model("hello")).await;
            unserved += usize::from(!response.is_served());
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        unserved
    });
    futures::future::join_all(callers).await.into_iter().sum()
}

/// Returns the largest number of requests that reached a target between [`TRANSIT_TIME`] after a refusal and the end of
/// the time that it asked for.
fn most_while_backing_off(refusals: &[Instant]) -> usize {
    let counts = refusals.iter().map(|refused| {
        let (start, end) = (*refused + TRANSIT_TIME, *refused + BACKOFF_TIME);
        refusals
            .iter()
            .filter(|at| **at > start && **at < end)
            .count()
    });
    counts.max().unwrap_or(0)
}

/// Guards against a node that sends on to a target that has asked it for a time without requests.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_said_when_to_retry_gets_nothing_earlier_from_that_node() {
    let fleet = Fleet::open_groups(3, &["z1"]).await;
    fleet.targets[0].refuse(Some(RETRY_AFTER));
    expect_that!(call_all(&fleet, BACKOFF_TIME * 2).await, eq(0));
    let refusals = fleet.targets[0].refusals();
    expect_that!(refusals.len(), ge(1));
    expect_that!(most_while_backing_off(&refusals), le(MAX_LATE));
}

/// Guards against callers that wait for targets of which none wants requests, and are refused with a time that is
/// too short.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn callers_are_refused_until_the_first_target_is_back() {
    let fleet = Fleet::open_groups(2, &["z1"]).await;
    for target in &fleet.targets {
        target.refuse(Some(RETRY_AFTER));
    }
    let begun = Instant::now();
    fleet.request(0, TestRequest::model("hello")).await;
    let refused = fleet.request(0, TestRequest::model("hello")).await;
    expect_that!(refused.status, eq(503));
    let left = BACKOFF_TIME.saturating_sub(begun.elapsed()).as_secs_f64();
    expect_that!(refused.retry_after(), some(ge(left)));
    let refusals = fleet.targets.iter().map(|target| target.refusals().len());
    expect_that!(refusals.sum::<usize>(), eq(2));
}

/// Guards against a backoff that is forgotten with the target's entry in the directory.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_backoff_outlasts_a_change_of_the_targets_entry() {
    let fleet = Fleet::open_groups(1, &["z1"]).await;
    fleet.targets[0].refuse(Some("30"));
    fleet.request(0, TestRequest::model("hello")).await;
    fleet.targets[0].unlist();
    tokio::time::sleep(DIRECTORY_TIME).await;
    fleet.targets[0].list();
    tokio::time::sleep(DIRECTORY_TIME).await;
    fleet.request(0, TestRequest::model("hello")).await;
    expect_that!(fleet.targets[0].refusals().len(), eq(1));
}

/// Guards against a backoff that one node was asked for and others keep, and against one that outlasts its incarnation.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_backoff_binds_one_node_and_ends_with_the_incarnation() {
    let fleet = Fleet::open_groups(1, &["z1", "z1"]).await;
    fleet.targets[0].refuse(Some("30"));
    fleet.request(0, TestRequest::model("hello")).await;
    fleet.targets[0].refuse(None);
    expect_true!(fleet
        .request(1, TestRequest::model("hello"))
        .await
        .is_served());
    fleet.targets[0].crash();
    fleet
        .wait_until_served(0, TestRequest::model("hello"))
        .await;
}
