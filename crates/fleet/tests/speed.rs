//! Slow targets and groups, which nodes recognise by their responses.

mod support;

use std::time::{Duration, Instant};

use briarswitch_fleet::LoadControl;
use googletest::prelude::*;
use http::Method;

use support::{Fleet, TestRequest, GROUP_SERVICE, SERVICE};

/// Callers that send requests at the same time.
const CALLERS: usize = 12;
/// Targets, of which one becomes slow.
const TARGETS: usize = 6;
/// How many times as long the slow target takes. Its events still arrive before its group counts as silent.
const SLOWNESS: u32 = 5;
/// Time for which requests to the slow target are counted.
const OBSERVATION_TIME: Duration = Duration::from_secs(2);
/// Interval of the probe requests of the whole fleet.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

async fn open(service: &'static str, observes_speed: bool) -> Fleet {
    let load_control = LoadControl {
        observes_speed,
        ..LoadControl::default()
    };
    Fleet::open_controlled(service, TARGETS, &["z1"], load_control).await
}

/// Sends requests of all callers to the first node while `play` runs; returns how many were not served.
async fn call_during(
    fleet: &Fleet,
    request: TestRequest<'_>,
    play: impl std::future::Future<Output = ()>,
) -> usize {
    let is_over = std::cell::Cell::new(false);
    let callers = (0..CALLERS).map(|_| async {
        let mut unserved = 0;
        while !is_over.get() {
            let response = fleet.request(0, request).await;
            unserved += usize::from(!response.is_served());
        }
        unserved
    });
    let calling = futures::future::join_all(callers);
    let playing = async {
        play.await;
        is_over.set(true);
    };
    let (unserved, ()) = futures::future::join(calling, playing).await;
    unserved.into_iter().sum()
}

/// Returns the node's count of slow targets.
async fn slow_targets(fleet: &Fleet) -> Option<usize> {
    let metrics = fleet.operator_request(0, Method::GET, "/metrics").await;
    let mut lines = metrics.body.lines();
    let line = lines.find(|line| line.starts_with("slow_targets"))?;
    line.rsplit(' ').next()?.parse().ok()
}

async fn wait_for_slow(fleet: &Fleet, count: usize) {
    fleet
        .wait_until("the count of slow targets is as expected", || async {
            slow_targets(fleet).await == Some(count)
        })
        .await;
}

/// Returns the requests that a target got from `begun` until now, and the time since then.
fn runs_since(fleet: &Fleet, target: usize, begun: Instant) -> (usize, Duration) {
    let runs = fleet.targets[target].runs();
    let count = runs.iter().filter(|run| run.at > begun).count();
    (count, begun.elapsed())
}

async fn check_slow_target(service: &'static str, request: TestRequest<'_>) {
    let fleet = open(service, true).await;
    let play = async {
        tokio::time::sleep(Duration::from_secs(1)).await;
        fleet.targets[0].slow_down(SLOWNESS);
        wait_for_slow(&fleet, 1).await;
        let begun = Instant::now();
        tokio::time::sleep(OBSERVATION_TIME).await;
        let (runs, time) = runs_since(&fleet, 0, begun);
        let probes = time.as_millis() / PROBE_INTERVAL.as_millis() + 1;
        expect_that!(runs, all![ge(1), le(probes as usize)]);
        fleet.targets[0].slow_down(1);
        wait_for_slow(&fleet, 0).await;
        let begun = Instant::now();
        fleet
            .wait_until("the target has its share of the requests", || async {
                let (runs, time) = runs_since(&fleet, 0, begun);
                let probes = time.as_millis() / PROBE_INTERVAL.as_millis() + 1;
                runs as u128 > probes * 2
            })
            .await;
    };
    expect_that!(call_during(&fleet, request, play).await, eq(0));
}

/// Guards against groups with a slow member that get work like any other.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_group_gets_probe_requests_until_it_recovers() {
    check_slow_target(GROUP_SERVICE, TestRequest::model("hello")).await;
}

/// Guards against slow targets of a plain service, whose engine declares no speeds, that get work like any other.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_plain_target_gets_probe_requests_until_it_recovers() {
    let request = TestRequest {
        path: "/look/x",
        ..TestRequest::chat("hello")
    };
    check_slow_target(SERVICE, request).await;
}

/// Guards against nodes that keep requests away from slow targets although that is not configured.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn without_the_setting_no_target_is_slow() {
    let fleet = open(GROUP_SERVICE, false).await;
    fleet.targets[0].slow_down(SLOWNESS);
    let play = tokio::time::sleep(Duration::from_secs(3));
    call_during(&fleet, TestRequest::model("hello"), play).await;
    expect_that!(slow_targets(&fleet).await, some(eq(0)));
    let (runs, time) = runs_since(&fleet, 0, Instant::now() - Duration::from_secs(3));
    expect_that!(
        runs as u128,
        gt(time.as_millis() / PROBE_INTERVAL.as_millis())
    );
}
