//! Requests that crash targets by one part of their prompts, no two of them alike.

mod support;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use googletest::prelude::*;
use http::Method;
use serde_json::Value;

use support::target::CRASHING_PART;
use support::{Fleet, TestRequest, KEYS};

/// Path of streams from single targets.
const CHAT_PATH: &str = "/chat/x";
/// Path of streams from groups.
const MODEL_PATH: &str = "/model/x";
/// Crashes after which every node has to know of the part.
const KNOWN_CRASHES: usize = 5;
/// Time after the last of these crashes within which every node has to know.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(3);
/// Maximum number of runs of requests with the part after that time, at all nodes together.
const MAX_LATE_RUNS: usize = 3;
/// Time from the crash that must be known until sound requests are served as before.
const RECOVERY_LIMIT: Duration = Duration::from_secs(6);
/// Share of sound requests served at the first attempt, of the share before, that is aimed for.
const MIN_SERVED_SHARE: f64 = 0.9;
/// Time between two sound requests.
const SOUND_INTERVAL: Duration = Duration::from_millis(25);
/// Time between two requests with the part.
const CRASHING_INTERVAL: Duration = Duration::from_millis(80);
/// Time for which sound requests are sent alone.
const WARM_UP: Duration = Duration::from_secs(2);
/// Time for which requests with the part are sent.
const CRASHING_TIME: Duration = Duration::from_secs(12);
/// Parts that are second in sound prompts.
const SUBJECTS: usize = 12;

/// A sound request, and whether it was served.
type SentRequest = (Instant, bool);

/// Sends a request of which no two are alike; the first part is the same in all.
async fn send(fleet: &Fleet, path: &str, subject: &str, number: usize) -> bool {
    let (body, parts) = (
        format!("body {number}"),
        format!("shared,{subject},own-{number}"),
    );
    let request = TestRequest {
        path,
        parts: &parts,
        ..TestRequest::chat(&body)
    };
    fleet
        .request(number % fleet.nodes.len(), request)
        .await
        .is_served()
}

/// Sends sound requests for a time, each beside the others, and returns them in order.
async fn send_sound(fleet: &Fleet, path: &str, time: Duration) -> Vec<SentRequest> {
    let numbers = AtomicUsize::new(0);
    let start = Instant::now();
    let count = time.div_duration_f64(SOUND_INTERVAL) as u32;
    let calls = (0..count).map(|index| {
        let number = numbers.fetch_add(1, Ordering::Relaxed);
        async move {
            tokio::time::sleep(SOUND_INTERVAL * index).await;
            let at = Instant::now();
            let subject = format!("subject-{}", number % SUBJECTS);
            (at, send(fleet, path, &subject, number).await)
        }
    });
    let sent = futures::future::join_all(calls).await;
    assert!(start.elapsed() >= time - SOUND_INTERVAL);
    sent
}

/// Sends requests with the part after a delay, for a time.
async fn send_crashing(fleet: &Fleet, path: &str, delay: Duration, time: Duration) {
    tokio::time::sleep(delay).await;
    let count = time.div_duration_f64(CRASHING_INTERVAL) as u32;
    let calls = (0..count).map(|index| async move {
        tokio::time::sleep(CRASHING_INTERVAL * index).await;
        send(fleet, path, CRASHING_PART, 1_000_000 + index as usize).await
    });
    futures::future::join_all(calls).await;
}

/// Returns the start times of all runs with the part, in order.
fn crashing_runs(fleet: &Fleet) -> Vec<Instant> {
    let runs = fleet.targets.iter().flat_map(|target| target.runs());
    let runs = runs.filter(|run| run.parts.contains(CRASHING_PART));
    let mut starts: Vec<Instant> = runs.map(|run| run.at).collect();
    starts.sort();
    starts
}

/// Returns the share of requests that were served, of those sent from a moment on.
fn served_share(sent: &[SentRequest], from: Instant, until: Instant) -> f64 {
    let sent = sent.iter().filter(|(at, _)| (from..until).contains(at));
    let served: Vec<f64> = sent
        .map(|(_, is_served)| f64::from(u8::from(*is_served)))
        .collect();
    served.iter().sum::<f64>() / served.len().max(1) as f64
}

/// Plays sound and crashing requests at once, and checks what every node has to keep.
async fn play(fleet: &Fleet, path: &str) {
    let start = Instant::now();
    let (sent, ()) = futures::future::join(
        send_sound(fleet, path, WARM_UP + CRASHING_TIME),
        send_crashing(fleet, path, WARM_UP, CRASHING_TIME),
    )
    .await;
    let runs = crashing_runs(fleet);
    let known = *runs.get(KNOWN_CRASHES - 1).expect("crashes");
    let late = runs
        .iter()
        .filter(|at| **at > known + PROPAGATION_LIMIT)
        .count();
    expect_that!(late, le(MAX_LATE_RUNS), "of {} runs", runs.len());
    let before = served_share(&sent, start, start + WARM_UP - PROPAGATION_LIMIT / 6);
    let after = served_share(
        &sent,
        known + RECOVERY_LIMIT,
        start + WARM_UP + CRASHING_TIME,
    );
    expect_that!(after, ge(MIN_SERVED_SHARE * before), "{before} before");
}

/// Guards against targets that crash one after the other under requests which have only a part of their prompts in
/// common, and against sound requests of the same caller that are refused for it.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn requests_with_a_part_that_crashes_targets_are_no_longer_run_and_sound_ones_are() {
    let fleet = Fleet::open(14, &["z1", "z1", "z2"]).await;
    play(&fleet, CHAT_PATH).await;
}

/// Guards against the same where targets form groups.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn requests_with_a_part_that_crashes_groups_are_no_longer_run_and_sound_ones_are() {
    let fleet = Fleet::open_groups(14, &["z1", "z1", "z2"]).await;
    play(&fleet, MODEL_PATH).await;
}

/// Guards against a refusal that calls for another try, names nothing to release, or also meets the last part, which
/// belongs to one request.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_barred_part_is_refused_as_not_run_and_can_be_released() {
    let fleet = Fleet::open(8, &["z1", "z1"]).await;
    let is_sound =
        send(&fleet, CHAT_PATH, "subject", 1).await && send(&fleet, CHAT_PATH, "subject", 2).await;
    expect_that!(is_sound, eq(true));
    let (body, parts) = ("other body", format!("shared,{CRASHING_PART},own"));
    let crashing = TestRequest {
        parts: &parts,
        ..TestRequest::chat(body)
    };
    send_crashing(&fleet, CHAT_PATH, Duration::ZERO, Duration::from_secs(2)).await;
    fleet
        .wait_until("the part is barred", || async {
            fleet.request(0, crashing).await.body == "quarantined"
        })
        .await;
    let refused = fleet.request(0, crashing).await;
    expect_that!(refused.status, eq(503));
    expect_that!(refused.retry_after(), some(gt(60.0)));
    let of_another = TestRequest {
        key: KEYS[1].0,
        ..crashing
    };
    expect_that!(fleet.request(0, of_another).await.body, eq("quarantined"));
    let print = barred_print(&fleet).await;
    let released = fleet
        .operator_request(0, Method::POST, &format!("/release/{print}"))
        .await;
    expect_that!(released.status, eq(200));
    let before = crashing_runs(&fleet).len();
    fleet
        .wait_until("it runs again", || async {
            fleet.request(0, crashing).await;
            crashing_runs(&fleet).len() > before
        })
        .await;
}

/// Returns the fingerprint of what a node has quarantined.
async fn barred_print(fleet: &Fleet) -> String {
    let state = fleet.operator_request(0, Method::GET, "/state").await;
    let state: Value = serde_json::from_str(&state.body).unwrap_or_default();
    let held = state["suspects"]["held"].as_array().cloned();
    let held = held.unwrap_or_default().into_iter();
    let mut barred = held.filter(|held| held["quarantine_ms"].is_u64() && held["kind"] == "part");
    let barred = barred.next().expect("a quarantined part");
    barred["print"].as_str().unwrap_or_default().to_owned()
}
