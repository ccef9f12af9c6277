//! Measurements on real processes. They are run by hand, as their results depend on the machine:
//! `cargo test --release -p briarswitch-node --test measure -- --ignored --nocapture --test-threads 1`

mod support;

use std::time::{Duration, Instant};

use briarswitch_standins::{EngineSettings, LinkRelay};
use briarswitch_wire::config::KindDoc;
use briarswitch_wire::platform::VmDoc;
use googletest::prelude::*;
use support::{organisation, Cluster, ClusterSpec, MODEL_POOL, ZONES};

/// Returns the default timing, in place of the short times of the tests.
fn default_timing() -> Vec<String> {
    [
        "lease.duration_ms=6000",
        "lease.margin_ms=1000",
        "lease.renew_ms=1500",
        "gate.evidence_ttl_ms=1500",
        "gate.probe_interval_ms=400",
        "gate.probe_timeout_ms=400",
        "gate.exchange_interval_ms=250",
        "gate.remote_exchange_interval_ms=1000",
        "gate.peer_timeout_ms=2000",
        "control.plan_interval_ms=300",
        "control.config_poll_ms=1000",
        "control.list_poll_ms=1000",
        "control.platform_timeout_ms=1000",
    ]
    .map(str::to_owned)
    .to_vec()
}

fn print_times(what: &str, mut times: Vec<Duration>) {
    times.sort_unstable();
    let median = times[times.len() / 2];
    println!(
        "{what}: {} trials, min {:?}, median {median:?}, max {:?}",
        times.len(),
        times[0],
        times[times.len() - 1]
    );
}

/// Measures the time from the loss of a member to the last request that its group accepted.
#[tokio::test(flavor = "multi_thread")]
#[ignore = "a measurement"]
async fn time_to_stop_serving() {
    for is_freeze in [false, true] {
        let mut times = Vec::new();
        for _ in 0..30 {
            let mut cluster = Cluster::start(ClusterSpec {
                settings: default_timing(),
                ..ClusterSpec::default()
            })
            .await;
            times.push(lose_member(&mut cluster, is_freeze).await);
        }
        let what = if is_freeze { "freeze" } else { "death" };
        print_times(&format!("member's {what} to last accepted request"), times);
    }
}

async fn lose_member(cluster: &mut Cluster, is_freeze: bool) -> Duration {
    let status = cluster.status(0).await.expect("a status");
    let members = status.groups[0].members.clone();
    let lost = Instant::now();
    if is_freeze {
        cluster.engines[&members[1]].freeze();
    } else {
        cluster
            .engines
            .get_mut(&members[1])
            .expect("a member")
            .kill();
    }
    loop {
        let answer = cluster.chat(0, 1, false).await.expect("an answer");
        if answer.outcome() == "not_run" {
            break;
        }
    }
    let record = cluster.engines[&members[0]].record();
    let last = record.executions.last().map(|execution| execution.at);
    last.map_or(Duration::ZERO, |last| last.saturating_duration_since(lost))
}

/// Measures the time from the death of a zone's controller until another node controls the zone.
#[tokio::test(flavor = "multi_thread")]
#[ignore = "a measurement"]
async fn time_to_take_over() {
    let mut times = Vec::new();
    for _ in 0..10 {
        let mut cluster = Cluster::start(ClusterSpec {
            nodes_per_zone: 2,
            settings: default_timing(),
            ..ClusterSpec::default()
        })
        .await;
        let status = cluster.status(0).await.expect("a status");
        let holder = status.controller.expect("a controller").holder;
        let index = cluster.nodes.iter().position(|node| node.name == holder);
        let index = index.expect("a node");
        let start = Instant::now();
        cluster.nodes[index].kill();
        cluster
            .wait("another node controls the zone", async |cluster| {
                let dump = cluster.dump(1 - index, "controller").await;
                dump["held_epoch"].as_u64().is_some_and(|epoch| epoch > 1)
            })
            .await;
        times.push(start.elapsed());
    }
    print_times("death of a controller to its successor's lease", times);
}

/// Measures the time from an accepted edit until it is in force on six nodes.
#[tokio::test(flavor = "multi_thread")]
#[ignore = "a measurement"]
async fn time_to_be_in_force() {
    for is_down in [false, true] {
        let cluster = Cluster::start(ClusterSpec {
            zones: 3,
            nodes_per_zone: 2,
            engines_per_zone: 0,
            settings: default_timing(),
            ..ClusterSpec::default()
        })
        .await;
        let mut times = Vec::new();
        for round in 0..20 {
            let name = format!("shop-{round}");
            cluster
                .platform
                .update_faults(|faults| faults.is_down = false);
            let value = organisation(&name);
            let version = cluster.must_edit(KindDoc::Organisation, &name, value).await;
            cluster
                .platform
                .update_faults(|faults| faults.is_down = is_down);
            let start = Instant::now();
            for node in 0..6 {
                cluster
                    .wait("the edit is in force", async |cluster| {
                        cluster.version(node).await >= Some(version)
                    })
                    .await;
            }
            times.push(start.elapsed());
        }
        let how = if is_down {
            "platform down after the edit"
        } else {
            "platform up"
        };
        print_times(
            &format!("accepted edit to in force on six nodes, {how}"),
            times,
        );
    }
}

/// Measures processor time, memory and bytes on the network for different numbers of machines.
#[tokio::test(flavor = "multi_thread")]
#[ignore = "a measurement"]
async fn cost_of_control() {
    let window = Duration::from_secs(6);
    for engines in [4, 40, 120] {
        let spec = ClusterSpec {
            nodes_per_zone: 2,
            engines_per_zone: 0,
            replicas_per_zone: engines as u32 / 2,
            settings: default_timing(),
            ..ClusterSpec::default()
        };
        let mut cluster = Cluster::start_unconfigured(&spec).await;
        let mut probed = None;
        for index in 0..engines {
            let name = format!("kakkanad-gpu-{index}");
            cluster.add_engine(ZONES[0], "fabric", EngineSettings::quick(&name));
            if index == 0 {
                probed = Some(relay_vm(&cluster, &name));
            }
        }
        let cluster = cluster.configured(&spec).await;
        cluster.wait_routable(engines / 2).await;
        let link = probed.expect("a relayed machine");
        tokio::time::sleep(Duration::from_secs(2)).await;
        let (before, bytes) = (cluster.process_usage(0), link.byte_count());
        let peer = cluster.peer_bytes(0).await;
        let calls = cluster.platform.calls();
        tokio::time::sleep(window).await;
        let (after, probes) = (cluster.process_usage(0), link.byte_count() - bytes);
        let peer = cluster.peer_bytes(0).await - peer;
        let later = cluster.platform.calls();
        let seconds = window.as_secs_f64();
        println!(
            "{engines:>4} machines: {:.2} % of a core, {} kB resident, {:.0} bytes/s to and from one \
             machine by both watchers, {:.0} bytes/s of exchange requests from one peer, table {:.1} reads/s \
             {:.1} writes/s by both nodes",
            (after.0 - before.0) / seconds * 100.0,
            after.1,
            probes as f64 / seconds,
            peer as f64 / seconds,
            (later.0 - calls.0) as f64 / seconds,
            (later.1 - calls.1) as f64 / seconds,
        );
    }
}

/// Routes the connections to a machine through a link that counts bytes.
fn relay_vm(cluster: &Cluster, name: &str) -> LinkRelay {
    let engine = cluster.engines[name].address().to_string();
    let link = LinkRelay::spawn(&engine).expect("a link");
    cluster.platform.list_vm(VmDoc {
        id: name.to_owned(),
        zone: ZONES[0].to_owned(),
        domain: "fabric".to_owned(),
        pool: MODEL_POOL.to_owned(),
        address: link.address().to_string(),
        incarnation: 1,
        accelerators: 2,
        leaving: false,
    });
    link
}

/// Checks that a cluster with the default timing, which the measurements start from, serves.
#[tokio::test(flavor = "multi_thread")]
async fn measured_cluster_serves() {
    let cluster = Cluster::start(ClusterSpec {
        settings: default_timing(),
        ..ClusterSpec::default()
    })
    .await;
    let answer = cluster.chat(0, 1, false).await.expect("an answer");
    assert_that!(answer.outcome(), eq("answered"));
}
