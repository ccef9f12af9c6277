//! The retry budget of all nodes together, as the targets see it.

mod support;

use std::collections::HashSet;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use briarswitch_http::{full_body, TargetAddress, TargetClient, TargetLimits};
use bytes::Bytes;
use futures::future::{join, join_all};
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use support::path::{PathState, TargetPath};
use support::target::{RecordedArrival, TargetStub, CUT_INSIDE};
use support::{listings_of, Fleet, RetryLimits, TestRequest, GROUP_SERVICE};

/// Zones of the nodes.
const ZONES: [&str; 6] = ["z1", "z1", "z2", "z2", "z3", "z3"];
/// Number of targets.
const TARGETS: usize = 8;
const LIMITS: RetryLimits = RetryLimits {
    ratio: 0.2,
    burst: 12,
    window: Duration::from_secs(3),
};
/// Time between two requests of all callers together.
const CALL_INTERVAL: Duration = Duration::from_millis(16);
/// One in so many streams is cut off once, so that more repeats are due than the budget allows.
const CUT_CALLS: u32 = 3;
/// Time for which requests are sent.
const CALL_TIME: Duration = Duration::from_secs(22);
/// Time before the first disruption, more than a window.
const CALM_TIME: Duration = Duration::from_secs(4);
/// Shortest and longest time for which a target is cut off, in milliseconds.
const CUT_MILLIS: (u64, u64) = (1_500, 3_000);
/// Time for which a target refuses requests.
const REFUSAL_TIME: Duration = Duration::from_millis(1_500);
/// Number of times that targets are disrupted.
const DISRUPTIONS: usize = 40;

/// Sends requests to all nodes in turn; returns when each was sent.
async fn call(fleet: &Fleet) -> Vec<Instant> {
    let count = CALL_TIME.div_duration_f64(CALL_INTERVAL) as u32;
    let calls = (0..count).map(|index| async move {
        tokio::time::sleep(CALL_INTERVAL * index).await;
        let sent_at = Instant::now();
        let kind = if index % CUT_CALLS == 0 {
            CUT_INSIDE
        } else {
            "call"
        };
        let body = format!("{kind} {index}");
        let node = index as usize % ZONES.len();
        fleet.request(node, TestRequest::model(&body)).await;
        sent_at
    });
    join_all(calls).await
}

/// Cuts one target off from all nodes for a while.
async fn cut(fleet: &Fleet, target: &TargetStub, time: Duration) {
    fleet.set_paths_to(target, PathState::Silent);
    tokio::time::sleep(time).await;
    fleet.set_paths_to(target, PathState::Open);
}

async fn refuse(target: &TargetStub) {
    target.refuse(Some("0"));
    tokio::time::sleep(REFUSAL_TIME).await;
    target.refuse(None);
}

/// Disrupts one target after the other, some of them at the same time.
async fn disrupt(fleet: &Fleet, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let pause = (CALL_TIME - CALM_TIME * 2) / DISRUPTIONS as u32;
    let disruptions = (0..DISRUPTIONS).map(|index| {
        let target = &fleet.targets[rng.random_range(0..TARGETS)];
        let kind = rng.random_range(0..6);
        let millis = rng.random_range(CUT_MILLIS.0..CUT_MILLIS.1);
        async move {
            tokio::time::sleep(CALM_TIME + pause * index as u32).await;
            match kind {
                0 => target.crash(),
                1 => refuse(target).await,
                _ => cut(fleet, target, Duration::from_millis(millis)).await,
            }
        }
    });
    join_all(disruptions).await;
}

/// Returns when requests arrived that had arrived at a target before.
fn repeats(fleet: &Fleet) -> Vec<Instant> {
    let arrivals = fleet.targets.iter().flat_map(TargetStub::arrivals);
    let mut arrivals: Vec<RecordedArrival> = arrivals.collect();
    arrivals.sort_by_key(|arrival| arrival.at);
    let mut seen = HashSet::new();
    arrivals.retain(|arrival| !seen.insert(arrival.attempt.clone()));
    arrivals.into_iter().map(|arrival| arrival.at).collect()
}

fn count_within(times: &[Instant], start: Instant, length: Duration) -> usize {
    let is_within = |at: &&Instant| **at >= start && **at < start + length;
    times.iter().filter(is_within).count()
}

/// Returns the number of repeats that are allowed in the window that begins at `start`.
fn allowed_in(requests: &[Instant], start: Instant) -> f64 {
    let window = LIMITS.window;
    let starts = [start, start - window / 2, start - window];
    let most = starts.map(|start| count_within(requests, start, window));
    let most = most.into_iter().max().unwrap_or_default();
    LIMITS.ratio * most as f64 + f64::from(LIMITS.burst)
}

async fn check(seed: u64) {
    let listings = listings_of(GROUP_SERVICE, TARGETS);
    let fleet = Fleet::open_with_retry_limits(listings, &ZONES, LIMITS).await;
    let (requests, ()) = join(call(&fleet), disrupt(&fleet, seed)).await;
    let repeats = repeats(&fleet);
    let mut fullest = (0.0, 0, 0.0);
    for start in &repeats {
        let count = count_within(&repeats, *start, LIMITS.window);
        let allowed = allowed_in(&requests, *start);
        let part = count as f64 / allowed;
        if part > fullest.0 {
            fullest = (part, count, allowed);
        }
        expect_that!(
            count as f64,
            le(allowed),
            "seed {seed}, window at {start:?}"
        );
    }
    println!(
        "seed {seed}: {} repeats, fullest window {fullest:.2?}",
        repeats.len()
    );
}

/// Guards against more repeats in a window than the budget allows, while targets are cut off, refuse and crash.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn repeats_stay_within_the_budget_while_targets_are_cut_off() {
    for seed in 0..2 {
        check(seed).await;
    }
}

/// Time for which an attempt is awaited on a silent path.
const PATIENCE: Duration = Duration::from_millis(300);
/// Time within which the connection of an attempt that was given up is closed.
const CLOSE_TIME: Duration = Duration::from_millis(200);
/// Time within which bytes that were held back have arrived.
const ARRIVAL_TIME: Duration = Duration::from_millis(300);

/// Responds to each request on a connection that stays open, and counts the requests.
async fn serve_kept_connections(listener: TcpListener, count: Arc<AtomicU32>) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let count = Arc::clone(&count);
        tokio::spawn(async move {
            let mut buffer = [0; 4096];
            while stream
                .read(&mut buffer)
                .await
                .is_ok_and(|length| length > 0)
            {
                count.fetch_add(1, Ordering::SeqCst);
                let response = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
                if stream.write_all(response).await.is_err() {
                    return;
                }
            }
        });
    }
}

/// Guards against attempts that arrive after they were given up and repeated elsewhere, when a partition ends.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_attempt_that_was_given_up_does_not_arrive_later() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
    let address = listener.local_addr().expect("local address").to_string();
    let count = Arc::new(AtomicU32::new(0));
    let server = tokio::spawn(serve_kept_connections(listener, Arc::clone(&count)));
    let path = TargetPath::open(&address).await;
    let target = TargetAddress {
        address: path.address(),
        incarnation: 0,
    };
    let client = TargetClient::new(TargetLimits {
        connect_timeout: Duration::from_secs(1),
        max_idle: 1,
    });
    let send = || client.send(&target, http::Request::new(full_body(Bytes::new())), false);
    let response = send().await.expect("the path is open");
    response.body.read_all(0).await.expect("an empty body");
    while client.idle_connections(&target) == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    path.set(PathState::Silent);
    let given_up = tokio::time::timeout(PATIENCE, send()).await;
    expect_true!(given_up.is_err());
    tokio::time::sleep(CLOSE_TIME).await;
    path.set(PathState::Open);
    tokio::time::sleep(ARRIVAL_TIME).await;
    expect_that!(count.load(Ordering::SeqCst), eq(1));
    server.abort();
}
