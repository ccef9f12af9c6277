//! Groups and leases under kills, freezes, pauses and platform outages, on real processes.

mod support;

use briarswitch_standins::EngineSettings;
use briarswitch_wire::engine::{OrderAction, StateDoc};
use googletest::prelude::*;
use nix::sys::signal::Signal;
use support::{check_history, Cluster, Plan, ZONES};

/// Bits of a fencing number that count orders; what is above them is the epoch.
const ORDER_BITS: u32 = 32;

/// Symptom: a caller's request was sent to a group that had lost a machine.
/// Sequence: the machine that does not take requests dies; the leader still accepts them.
/// Cause: only the leader was looked at; every member needs evidence of its own.
#[tokio::test(flavor = "multi_thread")]
async fn group_stops_serving_when_a_member_dies() {
    let mut cluster = Cluster::start(Plan::default()).await;
    let answer = cluster.chat(0, 2, false).await.expect("an answer");
    assert_that!(answer.outcome(), eq("answered"));

    let leader = leader(&cluster, 0).await;
    let other = other_member(&cluster, &leader);
    cluster.engines.get_mut(&other).expect("a member").kill();
    cluster
        .wait("the group is out", async |cluster| {
            cluster.routable(0).await == 0
        })
        .await;
    let before = cluster.executions();
    let refused = cluster.chat(0, 2, false).await.expect("an answer");

    assert_that!(refused.outcome(), eq("not_run"));
    assert_that!(cluster.executions(), eq(before));
    check_history(&cluster.platform);
}

/// Symptom: a group went on serving while one of its machines was frozen.
/// Sequence: a machine stops answering without closing a connection, and later goes on.
/// Cause: only refusals counted as loss; silence has to end the evidence too.
#[tokio::test(flavor = "multi_thread")]
async fn group_stops_serving_while_a_member_is_frozen() {
    let cluster = Cluster::start(Plan::default()).await;
    let leader = leader(&cluster, 0).await;
    let other = other_member(&cluster, &leader);

    cluster.engines[&other].freeze();
    cluster
        .wait("the group is out", async |cluster| {
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

/// Symptom: a node that was frozen sent a request to a group that had died meanwhile.
/// Sequence: the node stops; a member dies; a request arrives at the stopped node; the node goes on.
/// Cause: evidence gathered before the freeze was trusted after it.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_node_does_not_trust_old_evidence() {
    let mut cluster = Cluster::start(Plan {
        settings: vec!["gate.probe_interval_ms=300".to_owned()],
        ..Plan::default()
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

/// Symptom: a lost member stayed lost although a spare was free.
/// Sequence: a member dies for good; a spare stands in the same fabric domain.
/// Cause: nothing replaced members; the planner mends and raises the generation.
#[tokio::test(flavor = "multi_thread")]
async fn group_is_mended_from_a_spare() {
    let mut cluster = Cluster::start(Plan {
        engines_per_zone: 3,
        ..Plan::default()
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

/// Symptom: a zone had no replica although a second fabric domain was idle.
/// Sequence: every machine of the first domain goes dark at once.
/// Cause: the dead group still counted as standing, and could not be mended where it stood.
#[tokio::test(flavor = "multi_thread")]
async fn group_moves_when_its_fabric_domain_goes_dark() {
    let mut cluster = Cluster::start(Plan::default()).await;
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

/// Symptom: a controller that was paused woke and ordered engines about, against its successor.
/// Sequence: the controller stops; another node takes over and mends a group; the first goes on.
/// Cause: it still believed in its lease; the lease is checked on the boot-time clock before each
/// order, and the fencing number of a late order is too low.
#[tokio::test(flavor = "multi_thread")]
async fn paused_controller_orders_nothing_after_it_wakes() {
    pause_and_wake_controller(true).await;
}

/// As above, with engines that take any order whatever its fencing number.
#[tokio::test(flavor = "multi_thread")]
async fn paused_controller_orders_nothing_even_where_engines_ignore_fencing() {
    pause_and_wake_controller(false).await;
}

async fn pause_and_wake_controller(checks_fencing: bool) {
    let mut cluster = Cluster::start(Plan {
        nodes_per_zone: 2,
        engines_per_zone: 3,
        checks_fencing,
        ..Plan::default()
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
        .wait("the successor mends the group", async |cluster| {
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

/// Symptom: a machine was claimed by two groups after a lost answer.
/// Sequence: each of several writes takes effect although its answer is lost, while groups form.
/// Cause: the write was sent again blindly; its fate has to be read back first.
#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_claim_no_machine_twice() {
    let plan = Plan {
        engines_per_zone: 4,
        replicas_per_zone: 2,
        ..Plan::default()
    };
    let cluster = Cluster::start_bare(&plan).await;
    cluster
        .platform
        .update_faults(|faults| faults.lose_answers = 4);
    let cluster = cluster.configured(&plan).await;

    cluster.wait_routable(2).await;
    assert_that!(cluster.platform.rows("vm/"), len(eq(4)));
    check_history(&cluster.platform);
}

/// Symptom: whole groups stopped serving when the platform was away.
/// Sequence: the platform is down for longer than a lease; a member dies during the outage.
/// Cause: serving hung on the lease; it hangs on evidence, and only membership on the lease.
#[tokio::test(flavor = "multi_thread")]
async fn whole_groups_serve_through_a_platform_outage() {
    let mut cluster = Cluster::start(Plan {
        engines_per_zone: 5,
        replicas_per_zone: 2,
        ..Plan::default()
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
        .wait("the broken group is out", async |cluster| {
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

/// Symptom: a machine that came back after it was given up on still served its old group.
/// Sequence: a member freezes; it is replaced by a spare; it goes on with its old membership.
/// Cause: its memory was believed; the table and the generation decide.
#[tokio::test(flavor = "multi_thread")]
async fn returned_member_is_told_what_the_table_says() {
    let cluster = Cluster::start(Plan {
        engines_per_zone: 3,
        ..Plan::default()
    })
    .await;
    let leader = leader(&cluster, 0).await;
    cluster.engines[&leader].freeze();
    cluster
        .wait("the group is mended", async |cluster| {
            let status = cluster.status(0).await;
            status.is_some_and(|status| {
                let mut groups = status.groups.iter();
                groups.any(|group| group.is_routable && !group.members.contains(&leader))
            })
        })
        .await;
    cluster.engines[&leader].thaw();
    cluster
        .wait("the returned machine is idle", async |cluster| {
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
        connect_timeout: support::LIMIT,
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
    support::finish(reply.head, reply.body).await.outcome()
}

/// Symptom: a group was down for as long as loading weights takes, although a spare stood idle.
/// Sequence: a spare stands by; a member dies; loading takes longer than the test waits.
/// Cause: spares held no weights; they are loaded while nothing is wrong.
#[tokio::test(flavor = "multi_thread")]
async fn spare_holds_the_weights_before_it_is_needed() {
    let mut cluster = Cluster::start(Plan {
        engines_per_zone: 3,
        ..Plan::default()
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
        .wait("the group is mended", async |cluster| {
            let status = cluster.status(0).await;
            status.is_some_and(|status| {
                let mut groups = status.groups.iter();
                groups.any(|group| group.generation == 2 && group.is_routable)
            })
        })
        .await;
    check_history(&cluster.platform);
}
