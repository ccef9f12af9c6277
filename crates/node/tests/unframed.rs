//! Answers of services that have neither a length nor chunks and end with their connection.

mod support;

use googletest::prelude::*;
use support::service::{open, CallEnd, ANSWER};

/// Guards against part of an answer that is passed on as all of it when its service crashes.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_ends_with_a_crash_of_its_service_is_not_passed_on() {
    let cluster = open(CallEnd::Crash).await;
    let answer = cluster.call_service(0, "/bill", &[]).await;
    let answer = answer.expect("an answer");
    expect_that!(answer.outcome(), eq("unknown"), "{}", answer.body);
    expect_that!(answer.code(), eq("truncated"));
}

/// Guards against a sound answer that is refused because its end has no mark.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_ends_with_its_connection_at_a_live_service_is_passed_on() {
    let cluster = open(CallEnd::Complete).await;
    let answer = cluster.call_service(0, "/bill", &[]).await;
    let answer = answer.expect("an answer");
    expect_that!(answer.outcome(), eq("answered"));
    expect_that!(answer.body, eq(ANSWER));
}
