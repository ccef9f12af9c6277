//! Callers most of whose new connections go to a few of many nodes.

mod support;

use std::future::Future;
use std::time::{Duration, Instant};

use briarswitch_fleet::LoadControl;
use briarswitch_membership::{node_hash, rank_of, RankKey};
use futures::future::join;
use googletest::prelude::*;
use indexmap::IndexMap;
use tokio::sync::Mutex;

use support::load::{served_share, CallerLoad, SentRequest};
use support::{Fleet, GROUP_SERVICE, MODEL};

/// Zones of the nodes; there are more nodes than a group has slots.
const ZONES: [&str; 20] = [
    "z1", "z2", "z3", "z4", "z1", "z2", "z3", "z4", "z1", "z2", "z3", "z4", "z1", "z2", "z3", "z4",
    "z1", "z2", "z3", "z4",
];
/// Number of targets.
const TARGETS: usize = 4;
/// Number of slots of a target.
const TARGET_SLOTS: usize = 8;
/// Number of slots of all targets.
const SLOTS: f64 = (TARGETS * TARGET_SLOTS) as f64;
/// Number of events of a stream, with which it takes about half a second.
const EVENTS: u32 = 15;
/// Time for which a stream holds a slot.
const STREAM_TIME: Duration = Duration::from_millis(510);
/// Time for which a call holds a slot.
const CALL_TIME: Duration = Duration::from_millis(40);
/// Time for which callers are spread over all nodes.
const EVEN_TIME: Duration = Duration::from_secs(3);
/// Time from the beginning of the skew from which the rule holds.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time for which the same nodes are crowded.
const CROWD_TIME: Duration = Duration::from_secs(4);
/// The nodes that get most callers, one pair after the other.
const CROWDS: [[usize; 2]; 2] = [[2, 11], [5, 16]];
/// One in so many callers goes to another node.
const OTHER_CALLERS: usize = 10;
/// Share of the requests served at the first attempt, of the share before, that is required.
const MIN_SERVED_SHARE: f64 = 0.75;
/// Time between the ends of two nodes, and until each starts again.
const RESTART_TIME: Duration = Duration::from_millis(600);

/// Lets one fleet run at a time, since all use the same processors.
static TURN: Mutex<()> = Mutex::const_new(());

fn crowded_node(crowd: [usize; 2], index: usize) -> usize {
    if index % OTHER_CALLERS == 0 {
        index / OTHER_CALLERS % ZONES.len()
    } else {
        crowd[index % crowd.len()]
    }
}

/// Returns how many requests found no slot at the nodes that were crowded, by cause.
async fn slot_misses(fleet: &Fleet) -> String {
    let mut misses: IndexMap<&str, f64> = IndexMap::new();
    for cause in ["full", "reserved", "queued"] {
        let label = format!("cause=\"{cause}\"");
        for node in CROWDS.concat() {
            let count = fleet.metric(node, "slot_misses", &label).await;
            *misses.entry(cause).or_default() += count;
        }
    }
    format!("slot misses {misses:?}")
}

/// Crowds one pair of nodes after the other; returns the requests sent from the contact time on.
async fn crowd(fleet: &Fleet, load: CallerLoad) -> Vec<SentRequest> {
    let start = Instant::now();
    let mut sent = Vec::new();
    for crowd in CROWDS {
        let node_of = |index| crowded_node(crowd, index);
        sent.extend(load.send(fleet, CROWD_TIME, node_of).await);
    }
    sent.retain(|request| request.at > start + CONTACT_TIME);
    sent
}

/// Checks the share of requests served while nodes are crowded and `disturb` runs.
async fn check(fleet: &Fleet, load: CallerLoad, disturb: impl Future<Output = ()>) {
    let even = load.send(fleet, EVEN_TIME, |index| index % ZONES.len());
    let even = served_share(&even.await);
    let (sent, ()) = join(crowd(fleet, load), disturb).await;
    let share = served_share(&sent);
    let misses = slot_misses(fleet).await;
    println!("served {share:.3}, {even:.3} before; {misses}");
    expect_that!(share, ge(MIN_SERVED_SHARE * even), "{even} before");
}

async fn open_groups(shares_queue: bool) -> Fleet {
    let load_control = LoadControl {
        shares_queue,
        ..LoadControl::default()
    };
    let fleet = Fleet::open_controlled(GROUP_SERVICE, TARGETS, &ZONES, load_control).await;
    for target in &fleet.targets {
        target.limit_slots(TARGET_SLOTS, EVENTS);
    }
    fleet
}

/// Returns the requests of one kind that use a share of all slots, each for a time.
fn load(path: &'static str, slot_time: Duration, utilization: f64) -> CallerLoad {
    CallerLoad {
        path,
        interval: slot_time.div_f64(SLOTS * utilization),
    }
}

fn streams(utilization: f64) -> CallerLoad {
    load("/model/x", STREAM_TIME, utilization)
}

async fn check_groups(shares_queue: bool, utilization: f64) {
    let _turn = TURN.lock().await;
    let fleet = open_groups(shares_queue).await;
    check(&fleet, streams(utilization), async {}).await;
}

/// Returns the nodes that are never crowded, the ones that coordinate queues first.
fn other_nodes() -> Vec<usize> {
    let key = RankKey::from(format!("queue/{GROUP_SERVICE}/{MODEL}").as_str());
    let is_crowded = |node: &usize| CROWDS.iter().any(|crowd| crowd.contains(node));
    let others = (0..ZONES.len()).filter(|node| !is_crowded(node));
    let mut others: Vec<usize> = others.collect();
    others.sort_by_key(|node| rank_of(node_hash(&format!("n{node}")), key));
    others
}

/// Ends and restarts one node after the other while others are crowded.
async fn restart_nodes(fleet: &Fleet) {
    tokio::time::sleep(CONTACT_TIME).await;
    for node in other_nodes().into_iter().take(4) {
        fleet.kill(node);
        tokio::time::sleep(RESTART_TIME).await;
        fleet.start(node).await;
    }
}

/// Guards against crowded nodes whose callers wait beside free slots because of what other nodes had seconds ago.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn crowded_nodes_use_the_slots_of_half_full_groups() {
    check_groups(false, 0.5).await;
}

/// Guards against the same where seven tenths of all slots are in use.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn crowded_nodes_use_the_slots_of_mostly_full_groups() {
    check_groups(false, 0.7).await;
}

/// Guards against the same where nine tenths of all slots are in use.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn crowded_nodes_use_the_slots_of_nearly_full_groups() {
    check_groups(false, 0.9).await;
}

/// Guards against the same where the load is about that from which a shared queue is used.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn crowded_nodes_with_a_shared_queue_use_the_slots_of_mostly_full_groups() {
    check_groups(true, 0.7).await;
}

/// Guards against the same while the shared queue decides.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn crowded_nodes_with_a_shared_queue_use_the_slots_of_nearly_full_groups() {
    check_groups(true, 0.9).await;
}

/// Guards against crowded nodes that lose their callers' requests with the nodes that coordinate the queue.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn crowded_nodes_serve_their_callers_while_other_nodes_restart() {
    let _turn = TURN.lock().await;
    let fleet = open_groups(true).await;
    check(&fleet, streams(0.7), restart_nodes(&fleet)).await;
}

/// Guards against crowded nodes that fail calls to single targets.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn crowded_nodes_serve_calls_to_single_targets() {
    let _turn = TURN.lock().await;
    let fleet = Fleet::open(TARGETS, &ZONES).await;
    check(&fleet, load("/look/x", CALL_TIME, 0.3), async {}).await;
}
