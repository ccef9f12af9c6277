//! Requests that end the targets that run them, with settings that name everything.

mod support;

use googletest::prelude::*;
use support::{Cluster, Plan};

/// Runs after which a request is not to run any more, and those that may follow until all nodes know.
const MOST_RUNS: usize = 3 + 3;
/// Lives of a machine after which nobody waits for a refusal any more; nodes learn of an end within a few of them.
const MOST_LIVES: u64 = 40;
/// Times the caller comes again.
const REPEATS: usize = 9;

/// Symptom: targets end one after the other, each with the same call under way.
/// Events: a call ends the machine that runs it; the machine is back in another life; the caller comes again at each node
/// in turn, with the same path and body.
/// Cause: nothing remembered what a call did to a target.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_ends_targets_is_run_no_more() {
    let mut cluster = Cluster::start(Plan {
        engines_per_zone: 0,
        services_per_zone: 1,
        ..Plan::default()
    })
    .await;
    let name = cluster.services.keys().next().expect("a service").clone();
    let address = cluster.services[&name].address().to_string();
    let mut runs = 0;
    for repeat in 0..REPEATS {
        let node = repeat % cluster.nodes.len();
        cluster
            .wait("the machine is in use", async |cluster| {
                let answer = cluster.call(node, "/look", &[]).await;
                answer.is_some_and(|answer| answer.outcome() == "answered")
            })
            .await;
        cluster.services[&name].update_faults(|faults| faults.breaks = 1);
        cluster.call(node, "/deadly", &[]).await;
        runs += cluster.calls("/deadly");
        cluster.services.get_mut(&name).expect("a service").kill();
        let life = 2 + repeat as u64;
        cluster.add_service("kakkanad", &name, life, &address);
    }
    assert_that!(runs, le(MOST_RUNS));
}

/// Guards against nodes that go on running what another one has seen end targets, and against other calls refused with it.
#[tokio::test(flavor = "multi_thread")]
async fn all_nodes_refuse_a_call_that_ends_targets_and_no_other() {
    let mut cluster = Cluster::start(Plan {
        nodes_per_zone: 3,
        engines_per_zone: 0,
        services_per_zone: 1,
        ..Plan::default()
    })
    .await;
    let name = cluster.services.keys().next().expect("a service").clone();
    let address = cluster.services[&name].address().to_string();
    let mut life = 1;
    let mut refusal = None;
    while refusal.is_none() && life <= MOST_LIVES {
        let node = life as usize % cluster.nodes.len();
        cluster
            .wait("the machine is in use", async |cluster| {
                let answer = cluster.call(node, "/look", &[]).await;
                answer.is_some_and(|answer| answer.outcome() == "answered")
            })
            .await;
        cluster.services[&name].update_faults(|faults| faults.breaks = 1);
        let answer = cluster.call(node, "/deadly", &[]).await;
        refusal = answer.filter(|answer| answer.code() == "quarantined");
        cluster.services.get_mut(&name).expect("a service").kill();
        life += 1;
        cluster.add_service("kakkanad", &name, life, &address);
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
                    let other = cluster.call(node, "/look", &[]).await;
                    cluster.services[&name].update_faults(|faults| faults.breaks = 1);
                    let same = cluster.call(node, "/deadly", &[]).await;
                    cluster.services[&name].update_faults(|faults| faults.breaks = 0);
                    other.is_some_and(|answer| answer.outcome() == "answered")
                        && same.is_some_and(|answer| answer.code() == "quarantined")
                },
            )
            .await;
    }
}
