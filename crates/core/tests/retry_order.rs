//! The place of retries, and when requests count as late, where requests are refused by forecast.

use std::time::Duration;

use briarswitch_core::id::Moment;
use briarswitch_core::waiting::{next_waiting, WaitParams, WaitingRequest};
use googletest::prelude::*;

/// Latency objective for the first event.
const OBJECTIVE: Duration = Duration::from_millis(300);

fn at(millis: u64) -> Moment {
    Duration::from_millis(millis)
}

fn params(arrived: Moment, waited_before: Duration) -> WaitParams {
    WaitParams {
        arrived,
        waited_before,
        objective: OBJECTIVE,
        first_event_time: at(150),
        deadline: arrived + at(8_000),
        forecasts: true,
        ..WaitParams::default()
    }
}

fn request(arrived: u64, waited_before: u64) -> WaitingRequest {
    WaitingRequest::new(params(at(arrived), at(waited_before)))
}

/// Guards against callers that lose their place because they were refused and retried as asked.
#[gtest]
fn a_retry_keeps_the_place_of_its_first_attempt() {
    let (retried, late) = (request(3_000, 900), request(2_400, 0));
    expect_that!(next_waiting(&[late, retried], at(3_001)), some(eq(1)));
    let without = |arrived, waited| {
        WaitingRequest::new(WaitParams {
            forecasts: false,
            ..params(at(arrived), at(waited))
        })
    };
    let (retried, late) = (without(3_000, 900), without(2_400, 0));
    expect_that!(next_waiting(&[late, retried], at(3_001)), some(eq(0)));
}

/// Guards against callers that gain a place by retrying at once: they would be the newest on time.
#[gtest]
fn a_retry_that_came_too_early_goes_last() {
    let early = request(2_000, 60);
    expect_true!(early.is_late(at(2_000)));
    for other in [request(2_050, 0), request(2_500, 500), request(1_700, 0)] {
        expect_that!(next_waiting(&[early, other], at(2_500)), some(eq(1)));
    }
    // It still goes before less urgent requests that are late.
    let less_urgent = WaitingRequest::new(WaitParams {
        priority: 2,
        ..params(at(1_000), Duration::ZERO)
    });
    expect_that!(next_waiting(&[less_urgent, early], at(2_500)), some(eq(1)));
}

/// Guards against a fleet that serves oldest first because the first event takes longer than the objective allows.
#[gtest]
fn a_first_attempt_is_on_time_on_arrival_whatever_the_estimate() {
    for first_event_time in [at(150), at(300), at(2_000)] {
        let request = WaitingRequest::new(WaitParams {
            first_event_time,
            ..params(at(1_000), Duration::ZERO)
        });
        expect_false!(request.is_late(at(1_000) + OBJECTIVE / 5));
        expect_true!(request.is_late(at(1_000) + OBJECTIVE));
    }
    // A retry has used up its time.
    expect_true!(request(1_000, 700).is_late(at(1_001)));
}
