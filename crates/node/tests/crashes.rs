//! Requests that crash the targets that run them, on nodes whose settings list the peers and the
//! platform's endpoints.

mod support;

use googletest::prelude::*;
use support::{Cluster, ClusterSpec};

/// Crashes after which a request is quarantined, plus the runs possible until all nodes know of
/// them.
const MAX_RUNS: usize = 3 + 3;
/// Incarnations of the VM within which the request must be refused; nodes learn of a crash within a
/// few.
const MAX_INCARNATIONS: u64 = 40;
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
