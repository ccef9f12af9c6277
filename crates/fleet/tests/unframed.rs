//! Responses of targets that have neither a length nor chunks and end with their connection.

mod support;

use googletest::prelude::*;
use http::Method;
use serde_json::Value;

use support::path::PathState;
use support::platform::TargetListing;
use support::target::{CRASHING, CRASHING_BETWEEN, CRASHING_INSIDE, CUT_INSIDE, DISCONNECTING};
use support::{Fleet, TestRequest, TestResponse, GROUP_SERVICE, SERVICE};

/// Events of a complete response.
const COMPLETE: &str = "id: 1\ndata: token\n\nid: 2\ndata: token\n\nid: 3\ndata: token\n\n";
/// Requests in a series.
const SERIES: usize = 8;

/// Starts a node and targets whose responses end with their connection.
async fn open(service: &'static str, targets: usize) -> Fleet {
    open_nodes(service, targets, &["z1"], false).await
}

async fn open_nodes(
    service: &'static str,
    targets: usize,
    zones: &[&str],
    has_paths: bool,
) -> Fleet {
    let listings = (0..targets).map(|index| TargetListing {
        service,
        domain: format!("d{}", index % 3),
        ..TargetListing::default()
    });
    let fleet = if has_paths {
        Fleet::open_with_first_paths(listings.collect(), zones).await
    } else {
        Fleet::open_with(listings.collect(), zones).await
    };
    for target in &fleet.targets {
        target.end_with_connection();
    }
    fleet
}

fn runs(fleet: &Fleet, body: &str) -> usize {
    let runs = fleet.targets.iter().flat_map(|target| target.runs());
    runs.filter(|run| run.body == body).count()
}

/// Returns a part of a node's state.
async fn state(fleet: &Fleet, node: usize, service: &str) -> Value {
    let state = fleet.operator_request(node, Method::GET, "/state").await;
    let state: Value = serde_json::from_str(&state.body).unwrap_or_default();
    state[service].clone()
}

fn whole(path: &'static str, body: &'static str) -> TestRequest<'static> {
    TestRequest {
        path,
        ..TestRequest::chat(body)
    }
}

/// Returns a request for a stream of a service.
fn stream(service: &str, body: &'static str) -> TestRequest<'static> {
    match service {
        GROUP_SERVICE => TestRequest::model(body),
        _ => TestRequest::chat(body),
    }
}

/// Checks that a stream which its first target does not end is resumed, from single targets and from groups.
async fn check_resumed(body: &'static str) {
    for service in [SERVICE, GROUP_SERVICE] {
        let fleet = open(service, 3).await;
        let response = fleet.request(0, stream(service, body)).await;
        expect_resumed(&response, service);
    }
}

fn expect_resumed(response: &TestResponse, what: &str) {
    expect_that!(response.is_served(), eq(true), "{what}: {response:?}");
    expect_that!(response.body, eq(COMPLETE), "{what}");
}

/// Guards against half an event that reaches the caller as the end of a complete stream after a crash.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_unframed_stream_that_a_crash_cuts_inside_an_event_is_resumed() {
    check_resumed(CRASHING_INSIDE).await;
}

/// Guards against a crash between two events that is taken for the end of the stream.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_unframed_stream_that_a_crash_cuts_between_events_is_resumed() {
    check_resumed(CRASHING_BETWEEN).await;
}

/// Guards against half an event that is passed on as the end although its target still runs.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_unframed_stream_that_a_live_target_cuts_inside_an_event_is_resumed() {
    let fleet = open(SERVICE, 3).await;
    expect_resumed(
        &fleet.request(0, TestRequest::chat(CUT_INSIDE)).await,
        SERVICE,
    );
}

/// Guards against a crash before the first event that reaches the caller as a complete, empty stream.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_unframed_stream_without_an_event_is_not_complete() {
    let fleet = open(SERVICE, 3).await;
    let response = fleet.request(0, TestRequest::chat(CRASHING)).await;
    expect_that!(response.is_served(), eq(false), "{response:?}");
    expect_that!(runs(&fleet, CRASHING), eq(2), "the stream is resumed once");
}

/// Guards against sound responses that are run again or broken because their end has no mark.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn sound_unframed_responses_are_complete_and_run_once() {
    for service in [SERVICE, GROUP_SERVICE] {
        let fleet = open(service, 3).await;
        let request = stream(service, "sound");
        for _ in 0..SERIES {
            expect_resumed(&fleet.request(0, request).await, service);
        }
        expect_that!(runs(&fleet, "sound"), eq(SERIES), "{service}");
    }
    let fleet = open(SERVICE, 3).await;
    for request in [whole("/look/x", "sound"), whole("/bill/x", "sound")] {
        let response = fleet.request(0, request).await;
        expect_that!(response.is_served(), eq(true), "{response:?}");
        expect_that!(response.body, eq(COMPLETE));
    }
    expect_that!(runs(&fleet, "sound"), eq(2));
}

/// Guards against part of an answer that is passed on as all of it, whether or not it may be repeated.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_unframed_answer_that_a_crash_cuts_is_not_passed_on() {
    for body in [CRASHING, CRASHING_INSIDE, CRASHING_BETWEEN] {
        for path in ["/look/x", "/bill/x"] {
            let fleet = open(SERVICE, 4).await;
            let response = fleet.request(0, whole(path, body)).await;
            expect_that!(response.status, eq(502), "{path} {body}: {response:?}");
            let expected = if path == "/look/x" { 2 } else { 1 };
            expect_that!(runs(&fleet, body), eq(expected), "{path} {body}");
        }
    }
}

/// Guards against crashes that do not count against their request because the end was taken for complete.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_unframed_responses_end_in_crashes_is_quarantined() {
    let fleet = open(SERVICE, 8).await;
    for _ in 0..3 {
        fleet.request(0, TestRequest::chat(CRASHING)).await;
    }
    fleet
        .wait_until("the request is refused", || async {
            let response = fleet.request(0, TestRequest::chat(CRASHING)).await;
            response.body == "quarantined"
        })
        .await;
}

/// Guards against half a stream that is passed on as complete by the node that forwarded the request.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_forwarded_unframed_stream_that_a_crash_cuts_is_resumed() {
    let fleet = open_nodes(SERVICE, 4, &["z1", "z1"], true).await;
    fleet.set_paths(0, PathState::Silent);
    fleet
        .wait_until("the node knows that it is partitioned", || async {
            let sound = fleet.request(0, whole("/look/x", "sound"));
            let _ = tokio::time::timeout(std::time::Duration::from_millis(600), sound).await;
            state(&fleet, 0, "reach").await["state"] == "Partitioned"
        })
        .await;
    for body in [CRASHING_INSIDE, CRASHING_BETWEEN] {
        expect_resumed(&fleet.request(0, TestRequest::chat(body)).await, body);
    }
}

/// Guards against a broken stream that looks complete to a caller which reads until the connection is closed.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_broken_stream_is_visibly_broken_to_an_http_1_0_caller() {
    let fleet = Fleet::open(3, &["z1"]).await;
    let (result, text) = fleet.request_1_0(0, TestRequest::chat(DISCONNECTING)).await;
    let is_visible = result.is_err() || !text.ends_with("\n\n");
    expect_that!(is_visible, eq(true), "{result:?} {text:?}");
    let (result, text) = fleet.request_1_0(0, TestRequest::chat("sound")).await;
    expect_that!(result, ok(anything()));
    expect_that!(
        text,
        contains_substring(format!("content-length: {}", COMPLETE.len()))
    );
    expect_that!(text, ends_with(COMPLETE));
}
