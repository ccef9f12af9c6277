//! Requests that end the targets that run them, with settings that name everything.

mod support;

use googletest::prelude::*;
use support::{Cluster, Plan};

/// Runs after which a request is not to run any more, and those that may follow until all nodes know.
const MOST_RUNS: usize = 3 + 3;
/// Times the caller comes again.
const REPEATS: usize = 9;

/// Symptom: targets end one after the other, each with the same call under way.
/// Events: a call ends the machine that runs it; the machine is back in another life; the caller comes again at each node
/// in turn, with the same path and body.
/// Cause: nothing remembers what a call did to a target. Mended where nodes find their targets through the platform;
/// open here.
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
        cluster.services[&name].fault(|faults| faults.breaks = 1);
        cluster.call(node, "/deadly", &[]).await;
        runs += cluster.calls("/deadly");
        cluster.services.get_mut(&name).expect("a service").kill();
        let life = 2 + repeat as u64;
        cluster.add_service("kakkanad", &name, life, &address);
    }
    assert_that!(runs, le(MOST_RUNS));
}
