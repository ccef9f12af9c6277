//! Requests that crash the targets that run them, on nodes whose settings list the peers and the
//! platform's endpoints.

mod support;

use std::time::{Duration, Instant};

use briarswitch_standins::EngineSettings;
use googletest::prelude::*;
use support::{Cluster, ClusterSpec, TestResponse, MODEL};

/// Crashes after which a request is quarantined, plus the runs possible until all nodes know of
/// them.
const MAX_RUNS: usize = 3 + 3;
/// Incarnations of the VM within which the request must be refused; nodes learn of a crash within a
/// few.
const MAX_INCARNATIONS: u64 = 40;
/// Crashes after which all nodes have to know of a message that crashes engines.
const KNOWN_CRASHES: usize = 5;
/// Time within which they have to know.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(3);
/// Maximum number of crashes after that time.
const MAX_LATE_CRASHES: usize = 3;
/// Number of times the caller sends the request.
const ATTEMPTS: usize = 9;

/// Guards against one request crashing targets again and again. The request crashes the VM that
/// runs it, the VM restarts as another incarnation, and the caller sends the same path and body to
/// each node in turn. The nodes must stop running it.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_crashes_targets_is_not_run_again() {
    let mut cluster = Cluster::start(ClusterSpec {
        engines_per_zone: 0,
        services_per_zone: 1,
        ..ClusterSpec::default()
    })
    .await;
    let name = cluster.services.keys().next().expect("a service").clone();
    let address = cluster.services[&name].address().to_string();
    let mut runs = 0;
    for attempt in 0..ATTEMPTS {
        let node = attempt % cluster.nodes.len();
        cluster
            .wait("the VM is in use", async |cluster| {
                let answer = cluster.call_service(node, "/look", &[]).await;
                answer.is_some_and(|answer| answer.outcome() == "answered")
            })
            .await;
        cluster.services[&name].update_faults(|faults| faults.breaks = 1);
        cluster.call_service(node, "/deadly", &[]).await;
        runs += cluster.calls("/deadly");
        cluster.services.get_mut(&name).expect("a service").kill();
        let incarnation = 2 + attempt as u64;
        cluster.add_service("kakkanad", &name, incarnation, &address);
    }
    assert_that!(runs, le(MAX_RUNS));
}

/// Guards against nodes that keep running a request that crashed targets at other nodes, and
/// against refusing other requests along with it.
#[tokio::test(flavor = "multi_thread")]
async fn all_nodes_refuse_only_the_request_that_crashes_targets() {
    let mut cluster = Cluster::start(ClusterSpec {
        nodes_per_zone: 3,
        engines_per_zone: 0,
        services_per_zone: 1,
        ..ClusterSpec::default()
    })
    .await;
    let name = cluster.services.keys().next().expect("a service").clone();
    let address = cluster.services[&name].address().to_string();
    let mut incarnation = 1;
    let mut refusal = None;
    while refusal.is_none() && incarnation <= MAX_INCARNATIONS {
        let node = incarnation as usize % cluster.nodes.len();
        cluster
            .wait("the VM is in use", async |cluster| {
                let answer = cluster.call_service(node, "/look", &[]).await;
                answer.is_some_and(|answer| answer.outcome() == "answered")
            })
            .await;
        cluster.services[&name].update_faults(|faults| faults.breaks = 1);
        let answer = cluster.call_service(node, "/deadly", &[]).await;
        refusal = answer.filter(|answer| answer.code() == "quarantined");
        cluster.services.get_mut(&name).expect("a service").kill();
        incarnation += 1;
        cluster.add_service("kakkanad", &name, incarnation, &address);
    }
    let refusal = refusal.expect("the call is refused in the end");
    assert_that!(refusal.status, eq(503));
    assert_that!(refusal.outcome(), eq("not_run"));
    assert_that!(refusal.headers.contains_key("retry-after"), eq(true));
    for node in 0..cluster.nodes.len() {
        cluster
            .wait(
                "the node serves others and refuses this one",
                async |cluster| {
                    let other = cluster.call_service(node, "/look", &[]).await;
                    cluster.services[&name].update_faults(|faults| faults.breaks = 1);
                    let same = cluster.call_service(node, "/deadly", &[]).await;
                    cluster.services[&name].update_faults(|faults| faults.breaks = 0);
                    other.is_some_and(|answer| answer.outcome() == "answered")
                        && same.is_some_and(|answer| answer.code() == "quarantined")
                },
            )
            .await;
    }
}

/// Returns a chat of a first message and one of its own.
fn chat_of(first: &str, own: usize) -> String {
    format!(
        r#"{{"model":"{MODEL}","stream":false,"max_tokens":2,"messages":[{{"role":"system","content":"{first}"}},{{"role":"user","content":"question {own}"}}]}}"#
    )
}

/// Sends a chat that runs at most once.
async fn send_chat(cluster: &Cluster, node: usize, body: &str) -> Option<TestResponse> {
    let headers = [
        ("authorization", "Bearer kayal-key"),
        ("x-repeatable", "false"),
    ];
    let path = "/v1/chat/completions";
    cluster
        .send(&cluster.callers(node), "POST", path, &headers, body)
        .await
}

/// Returns how often each engine has run a request.
fn executions(cluster: &Cluster) -> Vec<(String, usize)> {
    let engines = cluster.engines.iter();
    let counts = engines.map(|(name, engine)| (name.clone(), engine.record().executions.len()));
    counts.collect()
}

/// Guards against chats that crash one engine after the other because of a message that they have in common, and
/// against refusing chats without it.
#[tokio::test(flavor = "multi_thread")]
async fn chats_with_a_message_that_crashes_engines_are_not_run_again() {
    let mut cluster = Cluster::start(ClusterSpec {
        nodes_per_zone: 2,
        engines_per_zone: 6,
        vms_per_replica: 1,
        replicas_per_zone: 6,
        ..ClusterSpec::default()
    })
    .await;
    cluster.wait_routable(6).await;
    let sound = send_chat(&cluster, 0, &chat_of("sound", 0)).await;
    assert_that!(sound.expect("an answer").outcome(), eq("answered"));
    let (mut crashes, mut is_refused) = (Vec::new(), false);
    for attempt in 1..=MAX_INCARNATIONS {
        let before = executions(&cluster);
        let set_truncations = |count| {
            for engine in cluster.engines.values() {
                engine.update_faults(|faults| faults.truncations = count);
            }
        };
        set_truncations(1);
        let body = chat_of("deadly", attempt as usize);
        let answer = send_chat(&cluster, attempt as usize % 2, &body).await;
        set_truncations(0);
        let answer = answer.expect("an answer");
        is_refused = answer.code() == "quarantined";
        if is_refused {
            break;
        }
        let after = executions(&cluster);
        let mut ran = after
            .iter()
            .zip(&before)
            .filter(|(after, before)| after != before);
        if let Some(((name, _), _)) = ran.next() {
            crashes.push(Instant::now());
            cluster.engines.get_mut(name).expect("an engine").kill();
            let mut settings = EngineSettings::quick(name);
            settings.incarnation = 1 + attempt;
            cluster.add_engine("kakkanad", "kakkanad-fabric", settings);
        }
        cluster.wait_routable(6).await;
        let sound = send_chat(&cluster, 0, &chat_of("sound", attempt as usize)).await;
        assert_that!(sound.expect("an answer").outcome(), eq("answered"));
    }
    assert_that!(is_refused, eq(true));
    let known = crashes
        .get(KNOWN_CRASHES - 1)
        .map(|at| *at + PROPAGATION_LIMIT);
    let late = crashes
        .iter()
        .filter(|at| known.is_some_and(|known| **at > known));
    assert_that!(late.count(), le(MAX_LATE_CRASHES));
    for node in 0..2 {
        let sound = send_chat(&cluster, node, &chat_of("sound", 1_000)).await;
        assert_that!(sound.expect("an answer").outcome(), eq("answered"));
    }
}
