//! Requests that are refused because no slot can be expected for them in time.

mod support;

use std::time::{Duration, Instant};

use briarswitch_fleet::LoadControl;
use googletest::prelude::*;

use support::{Fleet, TestRequest, TestResponse};

/// Time between two requests, with which three times as many arrive as one group serves.
const CALL_INTERVAL: Duration = Duration::from_millis(5);
/// Time for which they arrive.
const OVERLOAD_TIME: Duration = Duration::from_secs(4);
/// Requests before the overload from which the node learns for how long they hold a slot.
const CALM_REQUESTS: usize = 12;
/// Longest `Retry-After` without a forecast, in seconds.
const MAX_UNKNOWN_RETRY_AFTER: f64 = 0.6;
/// Part of its time, five seconds, that a caller is asked to wait at most, in seconds.
const MAX_RETRY_AFTER: f64 = 5.0 / 3.0;

/// Sends more requests than one group serves; returns their responses.
async fn overload(load_control: LoadControl) -> (Fleet, Vec<TestResponse>) {
    let fleet = Fleet::open_groups(1, &["z1"]).await;
    fleet.start_with(0, load_control).await;
    fleet.wait_until_serving().await;
    for _ in 0..CALM_REQUESTS {
        fleet.request(0, TestRequest::model("calm")).await;
    }
    let responses = send(&fleet).await;
    (fleet, responses)
}

async fn send(fleet: &Fleet) -> Vec<TestResponse> {
    let start = Instant::now();
    let count = OVERLOAD_TIME.div_duration_f64(CALL_INTERVAL) as u32;
    let calls = (0..count).map(|index| async move {
        tokio::time::sleep_until((start + CALL_INTERVAL * index).into()).await;
        fleet.request(0, TestRequest::model("busy")).await
    });
    futures::future::join_all(calls).await
}

/// Returns how many requests the node has refused by forecast.
async fn forecast_refusals(fleet: &Fleet) -> usize {
    fleet.metric(0, "forecast_refusals", "").await as usize
}

fn retry_delays(responses: &[TestResponse]) -> Vec<f64> {
    let refused = responses.iter().filter(|response| response.status == 503);
    refused.filter_map(TestResponse::retry_after).collect()
}

fn longest(delays: &[f64]) -> f64 {
    delays.iter().copied().fold(0.0, f64::max)
}

/// Guards against callers that are held until a constant time is over although no slot comes in time, and that are
/// asked to return while the overload lasts.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_node_under_overload_refuses_by_forecast() {
    let (fleet, responses) = overload(LoadControl {
        forecasts: true,
        ..LoadControl::default()
    })
    .await;
    let delays = retry_delays(&responses);
    expect_that!(delays.len(), gt(0));
    // The others are refused before the node has seen the overload, or when it is over.
    expect_that!(forecast_refusals(&fleet).await * 10, ge(delays.len() * 9));
    expect_that!(
        longest(&delays),
        all!(gt(MAX_UNKNOWN_RETRY_AFTER), le(MAX_RETRY_AFTER))
    );
    let served = responses.iter().filter(|response| response.is_served());
    // Nothing is refused but what the group cannot serve.
    expect_that!(served.count() + delays.len(), eq(responses.len()));
}

/// Guards against forecasts in a fleet whose settings do not ask for them.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn without_the_setting_callers_are_refused_as_before() {
    let (fleet, responses) = overload(LoadControl::default()).await;
    let delays = retry_delays(&responses);
    expect_that!(delays.len(), gt(0));
    expect_that!(forecast_refusals(&fleet).await, eq(0));
    expect_that!(longest(&delays), le(MAX_UNKNOWN_RETRY_AFTER));
}

/// Guards against forecasts that refuse requests where there are slots for all.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn nobody_is_refused_where_slots_suffice() {
    let fleet = Fleet::open_groups(6, &["z1"]).await;
    fleet
        .start_with(
            0,
            LoadControl {
                forecasts: true,
                ..LoadControl::default()
            },
        )
        .await;
    fleet.wait_until_serving().await;
    let responses = send(&fleet).await;
    expect_that!(retry_delays(&responses), is_empty());
}
