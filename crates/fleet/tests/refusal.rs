//! When callers are told to come back.

use std::time::Duration;

use briarswitch_fleet::refusal::OwnAnswer;
use googletest::prelude::*;
use http::StatusCode;

/// Callers of a play.
const CALLERS: usize = 1_000;

fn returns(left: Duration) -> Vec<Duration> {
    let answers = (0..CALLERS).map(|_| OwnAnswer::full(left));
    answers.filter_map(|answer| answer.retry_after).collect()
}

/// Guards against callers that found every place taken coming back together, before any place is free.
#[gtest]
fn those_that_find_every_place_taken_come_back_over_the_time_of_a_stream() {
    let times = returns(Duration::from_secs(6));
    expect_that!(times.len(), eq(CALLERS));
    for quarter in 0..4 {
        let begin = Duration::from_millis(300 + 425 * quarter);
        let end = begin + Duration::from_millis(425);
        let within = times.iter().filter(|time| (begin..=end).contains(time));
        expect_that!(within.count(), gt(CALLERS / 6), "{begin:?}");
    }
}

/// Guards against callers told to come back when no time is left for their answer.
#[gtest]
fn who_has_little_time_left_is_told_to_come_back_soon() {
    for left in [0, 200, 1_000, 2_500] {
        let left = Duration::from_millis(left);
        let limit = left.mul_f64(0.4).max(Duration::from_millis(300));
        let latest = returns(left).into_iter().max();
        expect_that!(latest, some(le(limit)), "{left:?}");
    }
    let answer = OwnAnswer::full(Duration::from_secs(1));
    expect_that!(answer.status, eq(StatusCode::SERVICE_UNAVAILABLE));
}
