//! Requests of all nodes that wait in one queue while the groups of their model are contended.

mod support;

use std::time::{Duration, Instant};

use briarswitch_core::id::Incarnation;
use briarswitch_core::shared_queue::Ticket;
use briarswitch_fleet::queue_doc::{QueueReply, QueueUpdate};
use briarswitch_membership::{node_hash, rank_of, target_key, RankKey};
use googletest::prelude::*;

use support::peer::QueueResponse;
use support::{Fleet, TestRequest, TestResponse};

/// Zones of the nodes; one, so that a stub can be the hub of all.
const ZONES: [&str; 4] = ["z1"; 4];
/// Number of groups.
const GROUPS: usize = 4;
/// Number of requests that a group runs concurrently.
const SLOTS: usize = 8;
/// Number of events of a response, with which it takes about half a second.
const EVENTS: u32 = 15;
/// Time between two requests of all callers together, with which about nine tenths of all slots are in use.
const CALL_INTERVAL: Duration = Duration::from_millis(17);
/// Time for which requests are sent.
const CALL_TIME: Duration = Duration::from_secs(5);
/// Time in which the groups become contended; until all nodes know it, some requests place themselves.
const RAMP_TIME: Duration = Duration::from_secs(1);
/// Time after which all nodes know of the requests that run.
const GOSSIP_TIME: Duration = Duration::from_millis(400);
/// Number of events of a response that takes about 1.2 s.
const LONG_EVENTS: u32 = 40;
/// Time after which all nodes know of all requests with which the groups are filled one after the other.
const SETTLE_TIME: Duration = Duration::from_millis(900);
/// Time between the moments at which the slots of a full group become free.
const RELEASE_INTERVAL: Duration = Duration::from_millis(45);
/// Tries of a test that a fallback on a busy machine decides nothing in.
const MAX_TRIES: usize = 5;
/// Longest time that a request may wait for a slot.
const MAX_WAIT_TIME: Duration = Duration::from_secs(1);

/// A later incarnation than any node has by the time of day.
const LATER_INCARNATION: Incarnation = Incarnation::MAX / 2;

/// Starts nodes that share queues, and targets that refuse requests beyond their slots.
async fn open(groups: usize) -> Fleet {
    let fleet = Fleet::open_sharing_groups(groups, &ZONES).await;
    for target in &fleet.targets {
        target.limit_slots(SLOTS, EVENTS);
    }
    fleet
}

/// Sends requests to the nodes in turn.
async fn send(fleet: &Fleet, nodes: &[usize], time: Duration) -> Vec<TestResponse> {
    let count = time.div_duration_f64(CALL_INTERVAL) as u32;
    let start = Instant::now();
    let calls = (0..count).map(|index| async move {
        tokio::time::sleep(CALL_INTERVAL * index).await;
        let body = format!("call {start:?} {index}");
        let node = nodes[index as usize % nodes.len()];
        fleet.request(node, TestRequest::model(&body)).await
    });
    futures::future::join_all(calls).await
}

fn served_share(responses: &[TestResponse]) -> f64 {
    let served = responses.iter().filter(|response| response.is_served());
    served.count() as f64 / responses.len().max(1) as f64
}

/// Returns the sum of a counter over all nodes.
async fn metric(fleet: &Fleet, name: &str) -> f64 {
    let mut sum = 0.0;
    for node in 0..fleet.nodes.len() {
        sum += fleet.metric(node, name, "").await;
    }
    sum
}

/// Returns the number of requests that targets have refused since a moment.
fn refusals_since(fleet: &Fleet, start: Instant) -> usize {
    let refusals = fleet.targets.iter().flat_map(|target| target.refusals());
    refusals.filter(|at| *at > start).count()
}

/// Returns the runs of bodies with a prefix.
fn runs_of(fleet: &Fleet, prefix: &str) -> Vec<Instant> {
    let runs = fleet.targets.iter().flat_map(|target| target.runs());
    let runs = runs.filter(|run| run.body.starts_with(prefix));
    runs.map(|run| run.at).collect()
}

/// Returns the reply that grants all requests of a message a slot of some group.
fn grant_all(update: &QueueUpdate) -> QueueReply {
    let group = |ticket: Ticket| target_key(&format!("t{}-0", ticket as usize % GROUPS));
    let queued = update.requests.requests.iter();
    let grants = queued.map(|queued| (queued.ticket, group(queued.ticket)));
    QueueReply {
        grants: grants.collect(),
        ..QueueReply::default()
    }
}

/// Checks that no body runs more than once, and that every slot can be used after all requests have ended.
async fn check_slots(fleet: &Fleet) {
    let mut bodies: Vec<String> = Vec::new();
    for target in &fleet.targets {
        let runs = target.runs().into_iter().filter(|run| !run.is_resumed);
        bodies.extend(runs.map(|run| run.body));
    }
    bodies.retain(|body| body.starts_with("call"));
    let count = bodies.len();
    bodies.sort();
    bodies.dedup();
    expect_that!(bodies.len(), eq(count));
    let slots = fleet.targets.len() * SLOTS;
    fleet
        .wait_until("every slot can be used", || async {
            let calls = (0..slots).map(|index| async move {
                let node = index % fleet.nodes.len();
                fleet.request(node, TestRequest::model("again")).await
            });
            served_share(&futures::future::join_all(calls).await) > 0.99
        })
        .await;
}

/// Guards against nodes that wait while slots are free, and against nodes that take the same slot.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn requests_of_all_nodes_are_served_and_targets_refuse_next_to_none() {
    let fleet = open(GROUPS).await;
    let nodes: Vec<usize> = (0..ZONES.len()).collect();
    send(&fleet, &nodes, RAMP_TIME).await;
    let start = Instant::now() + RAMP_TIME;
    let responses = send(&fleet, &nodes, CALL_TIME).await;
    expect_that!(served_share(&responses), ge(0.95));
    expect_that!(refusals_since(&fleet, start), le(responses.len() / 50));
    let granted = metric(&fleet, "queue_grants_total").await;
    expect_that!(granted, ge(responses.len() as f64 / 2.0));
    check_slots(&fleet).await;
}

/// Returns the node that coordinates the queue of the model.
fn coordinator() -> usize {
    let key = RankKey::from("queue/lm/m0");
    let rank = |node: &usize| rank_of(node_hash(&format!("n{node}")), key);
    (0..ZONES.len()).min_by_key(rank).expect("a node")
}

/// Fills one group, lets urgent requests wait at one node and then others at the coordinator, and returns when the
/// requests of both kinds ran; `None` if a node did not reach the coordinator in time.
async fn run_urgent_and_normal() -> Option<(Vec<Instant>, Vec<Instant>)> {
    let fleet = open(1).await;
    fleet.targets[0].limit_slots(SLOTS, LONG_EVENTS);
    let fallbacks = metric(&fleet, "queue_fallbacks_total").await;
    let first = coordinator();
    let second = (first + 1) % ZONES.len();
    let fleet = &fleet;
    let call = |delay: Duration, node: usize, path: &'static str, body: String| async move {
        tokio::time::sleep(delay).await;
        let request = TestRequest {
            path,
            ..TestRequest::model(&body)
        };
        fleet.request(node, request).await
    };
    let filling = (0..SLOTS).map(|index| {
        let delay = RELEASE_INTERVAL * index as u32;
        let node = index % ZONES.len();
        call(delay, node, "/model/x", format!("running {index}"))
    });
    let waiting = (0..SLOTS / 2).flat_map(|index| {
        let urgent = format!("urgent {index}");
        let normal = format!("normal {index}");
        let later = SETTLE_TIME + Duration::from_millis(20);
        [
            call(SETTLE_TIME, second, "/urgent/x", urgent),
            call(later, first, "/model/x", normal),
        ]
    });
    futures::future::join_all(filling.chain(waiting)).await;
    let has_failed = metric(fleet, "queue_fallbacks_total").await > fallbacks;
    (!has_failed).then(|| (runs_of(fleet, "urgent"), runs_of(fleet, "normal")))
}

/// Guards against a less urgent request that gets a free slot because it waits at the node that is asked first.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn the_more_urgent_request_is_served_first_whichever_node_it_waits_at() {
    for _ in 0..MAX_TRIES {
        if let Some((urgent, normal)) = run_urgent_and_normal().await {
            expect_that!(urgent.len(), ge(SLOTS / 2));
            if let Some(first_normal) = normal.into_iter().min() {
                expect_that!(urgent.into_iter().max(), lt(Some(first_normal)));
            }
            return;
        }
    }
    fail!("in no try did all nodes reach the coordinator in time").and_log_failure();
}

/// Guards against requests that wait for a coordinator which no longer exists, and against a queue without successor.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_served_after_the_coordinator_is_killed() {
    let fleet = open(GROUPS).await;
    let peer = fleet
        .add_peer(|update| QueueResponse::Reply(Duration::ZERO, grant_all(update)))
        .await;
    let nodes: Vec<usize> = (0..ZONES.len()).collect();
    send(&fleet, &nodes, RAMP_TIME).await;
    expect_that!(peer.updates(), not(is_empty()));
    drop(peer);
    let responses = send(&fleet, &nodes, CALL_TIME).await;
    expect_that!(served_share(&responses), ge(0.8));
    expect_that!(metric(&fleet, "queue_grants_total").await, gt(0.0));
    check_slots(&fleet).await;
}

/// Guards against requests that wait for a coordinator which accepts messages and never responds.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_served_while_the_coordinator_is_frozen() {
    let fleet = open(GROUPS).await;
    let peer = fleet.add_peer(|_| QueueResponse::Silence).await;
    let nodes: Vec<usize> = (0..ZONES.len()).collect();
    let responses = send(&fleet, &nodes, CALL_TIME).await;
    expect_that!(served_share(&responses), ge(0.8));
    expect_that!(peer.updates(), not(is_empty()));
    expect_that!(metric(&fleet, "queue_fallbacks_total").await, gt(0.0));
    check_slots(&fleet).await;
}

/// Guards against requests that wait for a node which does not regard itself as the coordinator.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_served_while_the_views_of_the_nodes_differ() {
    let fleet = open(GROUPS).await;
    let peer = fleet.add_peer(|_| QueueResponse::Misdirected).await;
    let nodes: Vec<usize> = (0..ZONES.len()).collect();
    let responses = send(&fleet, &nodes, CALL_TIME).await;
    expect_that!(served_share(&responses), ge(0.8));
    expect_that!(peer.updates(), not(is_empty()));
    check_slots(&fleet).await;
}

/// Guards against a request that runs twice or a slot that is never given back, because a reply arrives after the node
/// has stopped waiting for it.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_reply_after_a_fallback_is_not_used() {
    let fleet = open(GROUPS).await;
    // Close to the time-out of a message, on both sides.
    let delays = [300, 345, 355, 500].map(Duration::from_millis);
    let peer = fleet
        .add_peer(move |update| {
            let delay = delays[update.requests.sequence as usize % delays.len()];
            QueueResponse::Reply(delay, grant_all(update))
        })
        .await;
    let nodes: Vec<usize> = (0..ZONES.len()).collect();
    send(&fleet, &nodes, CALL_TIME).await;
    expect_that!(peer.updates(), not(is_empty()));
    drop(peer);
    check_slots(&fleet).await;
}

/// Guards against a request that is lost because its grant cannot be used, and against a slot that nobody gives back.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_grant_of_an_unknown_group_is_returned_and_the_request_keeps_waiting() {
    const UNKNOWN_GROUP: u32 = 7;
    let fleet = open(1).await;
    let peer = fleet
        .add_peer(|update| {
            let is_returned = |ticket: Ticket| {
                let mut returned = update.returned.iter();
                returned.any(|(other, _)| *other == ticket)
            };
            let queued = update.requests.requests.iter();
            let grants = queued.map(|queued| match is_returned(queued.ticket) {
                true => (queued.ticket, target_key("t0-0")),
                false => (queued.ticket, UNKNOWN_GROUP),
            });
            let reply = QueueReply {
                grants: grants.collect(),
                ..QueueReply::default()
            };
            QueueResponse::Reply(Duration::from_millis(5), reply)
        })
        .await;
    let fleet = &fleet;
    let running = (0..SLOTS).map(|index| async move {
        let body = format!("running {index}");
        let node = index % ZONES.len();
        fleet.request(node, TestRequest::model(&body)).await
    });
    let waiting = async {
        tokio::time::sleep(GOSSIP_TIME).await;
        fleet.request(0, TestRequest::model("waiting")).await
    };
    let running = futures::future::join_all(running);
    let (_, _) = futures::future::join(running, waiting).await;
    let updates = peer.updates();
    let mut returned = updates.iter().flat_map(|update| &update.returned);
    expect_that!(returned.any(|(_, group)| *group == UNKNOWN_GROUP), eq(true));
    expect_that!(runs_of(fleet, "waiting").len(), le(2));
    tokio::time::sleep(MAX_WAIT_TIME).await;
    check_slots(fleet).await;
}

/// Guards against a node whose requests a coordinator ignores for seconds, since it goes on to send the incarnation of
/// its start after it has taken a later one.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn messages_for_queues_have_the_incarnation_that_their_node_has_taken() {
    let fleet = open(GROUPS).await;
    let peer = fleet
        .add_peer(|update| QueueResponse::Reply(Duration::ZERO, grant_all(update)))
        .await;
    let nodes: Vec<usize> = (0..ZONES.len()).collect();
    let first = &fleet.nodes[0].link.node;
    let has_sent = |incarnation: Incarnation| {
        let mut updates = peer.updates().into_iter().map(|update| update.requests);
        updates.any(|sent| sent.node == *first && sent.incarnation > incarnation)
    };
    fleet
        .wait_until("the node sends messages", || async {
            send(&fleet, &nodes, RAMP_TIME).await;
            has_sent(0)
        })
        .await;
    expect_false!(has_sent(LATER_INCARNATION));
    fleet.register_as(0, LATER_INCARNATION).await;
    fleet
        .wait_until("the node sends the later incarnation", || async {
            send(&fleet, &nodes, RAMP_TIME).await;
            has_sent(LATER_INCARNATION)
        })
        .await;
}
