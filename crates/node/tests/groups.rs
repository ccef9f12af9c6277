//! Groups and leases under kills, freezes, pauses and platform outages, with real processes.

mod support;

use briarswitch_standins::EngineSettings;
use briarswitch_wire::engine::{OrderAction, StateDoc};
use googletest::prelude::*;
use nix::sys::signal::Signal;
use support::{check_history, Cluster, ClusterSpec, ZONES};

/// Number of low bits of a fencing number that count orders; the bits above hold the epoch.
const ORDER_BITS: u32 = 32;

/// Guards against sending requests to a group that has lost a member. A member other than the
/// leader dies and the leader still accepts requests, so checking only the leader is not enough.
#[tokio::test(flavor = "multi_thread")]
async fn group_stops_serving_when_a_member_dies() {
    let mut cluster = Cluster::start(ClusterSpec::default()).await;
    let answer = cluster.chat(0, 2, false).await.expect("an answer");
    assert_that!(answer.outcome(), eq("answered"));

    let leader = leader(&cluster, 0).await;
    let other = other_member(&cluster, &leader);
    cluster.engines.get_mut(&other).expect("a member").kill();
    cluster
        .wait("the group is not routable", async |cluster| {
            cluster.routable(0).await == 0
        })
        .await;
    let before = cluster.executions();
    let refused = cluster.chat(0, 2, false).await.expect("an answer");

    assert_that!(refused.outcome(), eq("not_run"));
    assert_that!(cluster.executions(), eq(before));
    check_history(&cluster.platform);
}

/// Guards against serving from a group with a frozen member. The member stops responding without
/// closing connections and later continues. Evidence must expire without responses, not only on
/// refused connections.
#[tokio::test(flavor = "multi_thread")]
async fn group_stops_serving_while_a_member_is_frozen() {
    let cluster = Cluster::start(ClusterSpec::default()).await;
    let leader = leader(&cluster, 0).await;
    let other = other_member(&cluster, &leader);

    cluster.engines[&other].freeze();
    cluster
        .wait("the group is not routable", async |cluster| {
            cluster.routable(0).await == 0
        })
        .await;
    let refused = cluster.chat(0, 2, false).await.expect("an answer");
    assert_that!(refused.outcome(), eq("not_run"));

    cluster.engines[&other].thaw();
    cluster.wait_routable(1).await;
    let answer = cluster.chat(0, 2, false).await.expect("an answer");
    assert_that!(answer.outcome(), eq("answered"));
    check_history(&cluster.platform);
}

/// Guards against a node that trusts its evidence from before a freeze. The node is stopped, a
/// member dies, a request arrives, and the node continues; it must not send the request to the
/// group.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_node_does_not_trust_old_evidence() {
    let mut cluster = Cluster::start(ClusterSpec {
        settings: vec!["gate.probe_interval_ms=300".to_owned()],
        ..ClusterSpec::default()
    })
    .await;
    let leader = leader(&cluster, 0).await;
    let other = other_member(&cluster, &leader);
    let before = cluster.executions();

    cluster.nodes[0].signal(Signal::SIGSTOP);
    cluster.engines.get_mut(&other).expect("a member").kill();
    let waiting = tokio::spawn(send_chat(cluster.callers(0)));
    // The evidence is good for 0.7 s; the freeze lasts longer.
    tokio::time::sleep(std::time::Duration::from_millis(1500)).await;
    cluster.nodes[0].signal(Signal::SIGCONT);
    let outcome = waiting.await.expect("the request ends");

    assert_that!(outcome, eq("not_run"));
    assert_that!(cluster.executions(), eq(before));
}

/// Guards against a lost member not being replaced by an available spare of the same fabric domain.
/// The planner must repair the group, which increases its generation.
#[tokio::test(flavor = "multi_thread")]
async fn group_is_repaired_from_a_spare() {
    let mut cluster = Cluster::start(ClusterSpec {
        engines_per_zone: 3,
        ..ClusterSpec::default()
    })
    .await;
    let leader = leader(&cluster, 0).await;
    cluster.engines.get_mut(&leader).expect("the leader").kill();

    cluster
        .wait("a second generation serves", async |cluster| {
            let status = cluster.status(0).await;
            status.is_some_and(|status| {
                let mut groups = status.groups.iter();
                groups.any(|group| group.generation == 2 && group.is_routable)
            })
        })
        .await;
    let answer = cluster.chat(0, 2, false).await.expect("an answer");
    assert_that!(answer.outcome(), eq("answered"));
    check_history(&cluster.platform);
}

/// Guards against a zone left without a replica while a second fabric domain is idle. All VMs of
/// the first domain fail at once, so the group cannot be repaired there; it must not count as a
/// replica.
#[tokio::test(flavor = "multi_thread")]
async fn group_moves_when_its_fabric_domain_fails() {
    let mut cluster = Cluster::start(ClusterSpec::default()).await;
    let first: Vec<String> = cluster.engines.keys().cloned().collect();
    for name in ["second-0", "second-1"] {
        cluster.add_engine(ZONES[0], "second-fabric", EngineSettings::quick(name));
    }
    for name in first {
        cluster.engines.get_mut(&name).expect("an engine").kill();
    }

    cluster
        .wait("a group of the second domain serves", async |cluster| {
            let status = cluster.status(0).await;
            status.is_some_and(|status| {
                let mut groups = status.groups.iter();
                groups.any(|group| group.is_routable && group.members[0].starts_with("second"))
            })
        })
        .await;
    check_history(&cluster.platform);
}

/// Guards against conflicting orders from a controller that resumes after its lease was taken over.
/// The controller is paused, another node takes over and repairs a group, and the first continues.
/// It must check the lease on the boot-time clock before each order, and engines refuse late orders
/// by their lower fencing number.
#[tokio::test(flavor = "multi_thread")]
async fn paused_controller_orders_nothing_after_it_wakes() {
    pause_and_wake_controller(true).await;
}

/// As above, with engines that accept orders with any fencing number.
#[tokio::test(flavor = "multi_thread")]
async fn paused_controller_orders_nothing_even_where_engines_ignore_fencing() {
    pause_and_wake_controller(false).await;
}

async fn pause_and_wake_controller(checks_fencing: bool) {
    let mut cluster = Cluster::start(ClusterSpec {
        nodes_per_zone: 2,
        engines_per_zone: 3,
        checks_fencing,
        ..ClusterSpec::default()
    })
    .await;
    let holder = controller(&cluster, 0).await.0;
    let paused = cluster.nodes.iter().position(|node| node.name == holder);
    let paused = paused.expect("the controller is a node");
    let successor = 1 - paused;

    cluster.nodes[paused].signal(Signal::SIGSTOP);
    let leader = leader(&cluster, successor).await;
    cluster.engines.get_mut(&leader).expect("the leader").kill();
    cluster
        .wait("the successor repairs the group", async |cluster| {
            let status = cluster.status(successor).await;
            status.is_some_and(|status| {
                let mut groups = status.groups.iter();
                groups.any(|group| group.generation == 2 && group.is_routable)
            })
        })
        .await;
    cluster.nodes[paused].signal(Signal::SIGCONT);
    cluster.wait_routable(1).await;

    for engine in cluster.engines.values() {
        let orders = engine.record().orders;
        let epochs: Vec<u64> = orders
            .iter()
            .map(|(_, order)| order.fence >> ORDER_BITS)
            .collect();
        assert_that!(epochs.is_sorted(), eq(true));
    }
    let (_, epoch) = controller(&cluster, successor).await;
    assert_that!(epoch, ge(2));
    check_history(&cluster.platform);
}

/// Guards against two groups claiming the same VM after a lost reply. While groups form, several
/// writes take effect but their replies are lost. The result must be read back before writing
/// again.
#[tokio::test(flavor = "multi_thread")]
async fn lost_replies_claim_no_vm_twice() {
    let plan = ClusterSpec {
        engines_per_zone: 4,
        replicas_per_zone: 2,
        ..ClusterSpec::default()
    };
    let cluster = Cluster::start_unconfigured(&plan).await;
    cluster
        .platform
        .update_faults(|faults| faults.lose_answers = 4);
    let cluster = cluster.configured(&plan).await;

    cluster.wait_routable(2).await;
    assert_that!(cluster.platform.rows("vm/"), len(eq(4)));
    check_history(&cluster.platform);
}

/// Guards against complete groups that stop serving during a platform outage. The platform is down
/// for longer than a lease, and a member dies meanwhile. Serving depends on evidence; only changes
/// of membership need the lease.
#[tokio::test(flavor = "multi_thread")]
async fn complete_groups_serve_through_a_platform_outage() {
    let mut cluster = Cluster::start(ClusterSpec {
        engines_per_zone: 5,
        replicas_per_zone: 2,
        ..ClusterSpec::default()
    })
    .await;
    cluster
        .platform
        .update_faults(|faults| faults.is_down = true);
    let writes = cluster.platform.history().len();
    cluster
        .wait("the lease is over", async |cluster| {
            cluster.dump(0, "controller").await["held_epoch"].is_null()
        })
        .await;
    let answer = cluster.chat(0, 2, false).await.expect("an answer");
    assert_that!(answer.outcome(), eq("answered"));

    let leader = leader(&cluster, 0).await;
    cluster.engines.get_mut(&leader).expect("the leader").kill();
    cluster
        .wait("the broken group is not routable", async |cluster| {
            cluster.routable(0).await == 1
        })
        .await;
    let answer = cluster.chat(0, 2, false).await.expect("an answer");
    assert_that!(answer.outcome(), eq("answered"));
    assert_that!(cluster.platform.history(), len(eq(writes)));

    cluster
        .platform
        .update_faults(|faults| faults.is_down = false);
    cluster.wait_routable(2).await;
    check_history(&cluster.platform);
}

/// Guards against a replaced member that returns and still serves its old group. A member freezes,
/// a spare replaces it, and it continues with its old membership. The table and the generation
/// decide, so it must be ordered to leave.
#[tokio::test(flavor = "multi_thread")]
async fn returned_member_is_told_what_the_table_says() {
    let cluster = Cluster::start(ClusterSpec {
        engines_per_zone: 3,
        ..ClusterSpec::default()
    })
    .await;
    let leader = leader(&cluster, 0).await;
    cluster.engines[&leader].freeze();
    cluster
        .wait("the group is repaired", async |cluster| {
            let status = cluster.status(0).await;
            status.is_some_and(|status| {
                let mut groups = status.groups.iter();
                groups.any(|group| group.is_routable && !group.members.contains(&leader))
            })
        })
        .await;
    cluster.engines[&leader].thaw();
    cluster
        .wait("the returned VM is idle", async |cluster| {
            cluster.engines[&leader].status() == (StateDoc::Idle, None)
        })
        .await;

    let orders = cluster.engines[&leader].record().orders;
    let last = orders.last().map(|(_, order)| order.action.clone());
    assert_that!(last, some(eq(&OrderAction::Leave)));
    check_history(&cluster.platform);
}

async fn controller(cluster: &Cluster, node: usize) -> (String, u64) {
    let status = cluster.status(node).await.expect("a status");
    let controller = status.controller.expect("a controller");
    (controller.holder, controller.epoch)
}

async fn leader(cluster: &Cluster, node: usize) -> String {
    let status = cluster.status(node).await.expect("a status");
    let group = status.groups.first().expect("a group");
    group.members.first().expect("a leader").clone()
}

fn other_member(cluster: &Cluster, leader: &str) -> String {
    let mut names = cluster.engines.keys();
    names.find(|name| *name != leader).expect("another").clone()
}

async fn send_chat(address: String) -> String {
    let client = briarswitch_http::TargetClient::new(briarswitch_http::TargetLimits {
        connect_timeout: support::WAIT_TIMEOUT,
        max_idle: 0,
    });
    let body = briarswitch_http::full_body(support::chat_body(2, false).into());
    let request = http::Request::post("/v1/chat/completions")
        .header("host", &address)
        .header("authorization", "Bearer kayal-key")
        .body(body)
        .expect("a request");
    let target = briarswitch_http::TargetAddress {
        address,
        incarnation: 0,
    };
    let reply = client
        .send(&target, request, true)
        .await
        .expect("an answer");
    support::read_response(reply.head, reply.body)
        .await
        .outcome()
}

/// Guards against a group that is down for as long as weights take to load although a spare is
/// idle. The spare must preload the weights before a member dies.
#[tokio::test(flavor = "multi_thread")]
async fn spare_holds_the_weights_before_it_is_needed() {
    let mut cluster = Cluster::start(ClusterSpec {
        engines_per_zone: 3,
        ..ClusterSpec::default()
    })
    .await;
    let leader = leader(&cluster, 0).await;
    cluster
        .wait("the spare holds the weights", async |cluster| {
            let orders = cluster
                .engines
                .values()
                .map(|engine| engine.record().orders);
            let mut orders = orders.flatten();
            orders.any(|(_, order)| matches!(order.action, OrderAction::Preload(_)))
        })
        .await;
    cluster.engines.get_mut(&leader).expect("the leader").kill();
    cluster
        .wait("the group is repaired", async |cluster| {
            let status = cluster.status(0).await;
            status.is_some_and(|status| {
                let mut groups = status.groups.iter();
                groups.any(|group| group.generation == 2 && group.is_routable)
            })
        })
        .await;
    check_history(&cluster.platform);
}
