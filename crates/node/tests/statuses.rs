//! Answers of services whose status is not that of a final response.

mod support;

use googletest::prelude::*;
use support::service::{open, CallEnd};

/// Statuses that no final response has.
const STATUSES: [&str; 13] = [
    "000", "007", "099", "100", "101", "199", "600", "700", "999", "1000", "-1", "200x", "",
];

/// Guards against a status outside the protocol that reaches the caller as the answer of a service.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_whose_status_is_not_final_is_a_failure_of_its_target() {
    for status in STATUSES {
        let cluster = open(CallEnd::Status(status)).await;
        let answer = cluster.call_service(0, "/bill", &[]).await;
        let answer = answer.expect("an answer");
        expect_that!(answer.status, eq(502), "{status:?}: {}", answer.body);
        expect_that!(answer.outcome(), eq("unknown"), "{status:?}");
        let codes = ["invalid_head", "broken_before_head"];
        expect_true!(
            codes.contains(&answer.code().as_str()),
            "{status:?}: {}",
            answer.code()
        );
    }
}
