//! Targets whose responses have a status that is not that of a final response.

mod support;

use googletest::prelude::*;
use http::Method;

use support::path::PathState;
use support::target::{RESUMED_WITH_STATUS, WITH_STATUS};
use support::{listings_of, Fleet, TestRequest, TestResponse, GROUP_SERVICE, SERVICE};

/// Statuses that no final response has.
const STATUSES: [&str; 13] = [
    "000", "007", "099", "100", "101", "199", "600", "700", "999", "1000", "-1", "200x", "",
];

fn request<'a>(path: &'a str, body: &'a str) -> TestRequest<'a> {
    TestRequest {
        path,
        ..TestRequest::chat(body)
    }
}

/// Checks that a response is the node's own, complete, and says that the request may have run.
fn expect_own_failure(response: &TestResponse, what: &str) {
    expect_that!(response.status, eq(502), "{what}: {response:?}");
    expect_that!(response.is_complete, eq(true), "{what}");
    expect_that!(response.headers.contains_key("signed"), eq(false), "{what}");
    expect_true!(
        ["invalid_head", "broken_before_head"].contains(&response.body.as_str()),
        "{what}: {}",
        response.body
    );
}

fn runs(fleet: &Fleet, body: &str) -> usize {
    let runs = fleet.targets.iter().flat_map(|target| target.runs());
    runs.filter(|run| run.body == body).count()
}

async fn check(fleet: &Fleet, node: usize, path: &str, attempts: usize) {
    for status in STATUSES {
        let body = format!("{WITH_STATUS}{status}");
        let before = runs(fleet, &body);
        let response = fleet.request(node, request(path, &body)).await;
        expect_own_failure(&response, &format!("{path} {status:?}"));
        let ran = runs(fleet, &body) - before;
        expect_that!(ran, eq(attempts), "{path} {status:?}");
    }
}

/// Guards against a status outside the protocol that reaches the caller as the answer of a service.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_response_whose_status_is_not_final_is_a_failure_of_its_target() {
    let fleet = Fleet::open(2, &["z1"]).await;
    check(&fleet, 0, "/look/x", 2).await;
    check(&fleet, 0, "/bill/x", 1).await;
}

/// Guards against a status outside the protocol that reaches the caller in place of a stream.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_status_is_not_final_is_a_failure_of_its_target() {
    for (service, path) in [(SERVICE, "/chat/x"), (GROUP_SERVICE, "/model/x")] {
        let fleet = Fleet::open_with(listings_of(service, 3), &["z1"]).await;
        for status in STATUSES {
            let body = format!("{WITH_STATUS}{status}");
            let response = fleet.request(0, request(path, &body)).await;
            expect_own_failure(&response, &format!("{path} {status:?}"));
        }
    }
}

/// Guards against a status outside the protocol that is taken for the rest of a stream.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_is_resumed_with_a_status_that_is_not_final_is_visibly_broken() {
    let fleet = Fleet::open(3, &["z1"]).await;
    for status in STATUSES {
        let body = format!("{RESUMED_WITH_STATUS}{status}");
        let response = fleet.request(0, request("/chat/x", &body)).await;
        expect_that!(response.is_complete, eq(false), "{status:?}: {response:?}");
        expect_that!(response.body, not(contains_substring("wrong")));
    }
}

/// Guards against a status outside the protocol that another node passes on.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_response_whose_status_is_not_final_is_not_passed_on_by_another_node() {
    let fleet = Fleet::open_with_first_paths(listings_of(SERVICE, 2), &["z1", "z1"]).await;
    fleet.set_paths(0, PathState::Silent);
    fleet
        .wait_until("the node knows that it is partitioned", || async {
            let sound = fleet.request(0, request("/look/x", "sound"));
            let _ = tokio::time::timeout(std::time::Duration::from_millis(600), sound).await;
            let state = fleet.operator_request(0, Method::GET, "/state").await;
            state.body.contains("Partitioned")
        })
        .await;
    check(&fleet, 0, "/bill/x", 1).await;
    for status in STATUSES {
        for path in ["/look/x", "/chat/x"] {
            let body = format!("{WITH_STATUS}{status}");
            let response = fleet.request(0, request(path, &body)).await;
            expect_own_failure(&response, &format!("{path} {status:?}"));
        }
    }
}
