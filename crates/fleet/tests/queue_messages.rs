//! Messages for queues of all nodes, and what the coordinator makes of them, without a network.

use std::time::Duration;

use briarswitch_core::id::*;
use briarswitch_core::shared_queue::{GroupCapacity, NodeRequests, QueuedRequest, Ticket};
use briarswitch_core::waiting::WaitingRequest;
use briarswitch_fleet::coordinated_queue::CoordinatedQueue;
use briarswitch_fleet::queue_doc::{QueueReply, QueueReplyDoc, QueueUpdate, QueueUpdateDoc};
use briarswitch_fleet::queue_id::{shard_count, shard_of, QueueId};
use briarswitch_http::{decode_msgpack, encode_msgpack};
use googletest::prelude::*;

const GROUP: u32 = 5;

fn at(millis: u64) -> Moment {
    Duration::from_millis(millis)
}

fn queued(ticket: Ticket) -> QueuedRequest {
    QueuedRequest {
        ticket,
        organisation: "org".to_owned(),
        tokens: 30,
        request: WaitingRequest {
            arrived: at(100_000),
            on_time_until: at(100_400),
            refuse_at: at(101_000),
            priority: 1,
            is_resumption: false,
            is_early_retry: false,
        },
        excluded: vec![9],
    }
}

fn update(node: &str, sequence: u64, tickets: &[Ticket]) -> QueueUpdate {
    QueueUpdate {
        id: QueueId {
            service: "lm".to_owned(),
            model: "m0".to_owned(),
            shard: None,
        },
        requests: NodeRequests {
            node: node.to_owned(),
            incarnation: 1,
            sequence,
            requests: tickets.iter().copied().map(queued).collect(),
        },
        releases: [].into(),
        returned: Vec::new(),
    }
}

/// Returns the capacity of a group with one slot, of which so many requests are reported.
fn capacity(queue: &CoordinatedQueue, remote: u32) -> Vec<GroupCapacity> {
    let active_requests = queue.reported_requests(GROUP, remote, 0);
    vec![GroupCapacity {
        group: GROUP,
        slots: 1,
        active_requests,
        ..GroupCapacity::default()
    }]
}

fn serve(queue: &mut CoordinatedQueue, remote: u32, now: Moment) -> u32 {
    queue.expire(now);
    let capacity = capacity(queue, remote);
    queue.serve(capacity, now).grants
}

/// Guards against moments that are compared between clocks, and against fields that are lost on the way.
#[gtest]
fn an_update_has_the_same_durations_by_another_clock() {
    let (sent, now) = (update("n1", 3, &[7]), at(100_600));
    let doc = QueueUpdateDoc::from((sent.clone(), now));
    let bytes = encode_msgpack(&doc).expect("a valid document");
    let doc = decode_msgpack::<QueueUpdateDoc>(&bytes).expect("a valid document");
    let received = QueueUpdate::from((doc, at(2_000)));
    let request = received.requests.requests[0].request;
    expect_that!(request.arrived, eq(at(1_400)));
    expect_that!(request.on_time_until, eq(at(1_800)));
    expect_that!(request.refuse_at, eq(at(2_400)));
    let same = QueueUpdate::from((QueueUpdateDoc::from((sent.clone(), now)), now));
    expect_that!(same, eq(&sent));
}

/// Guards against decisions that are lost on the way.
#[gtest]
fn a_reply_is_decoded_as_it_was_encoded() {
    let reply = QueueReply {
        grants: vec![(1, GROUP)],
        refusals: vec![(2, Some(at(300))), (3, None)],
    };
    let bytes = encode_msgpack(&QueueReplyDoc::from(reply.clone())).expect("a valid document");
    let doc = decode_msgpack::<QueueReplyDoc>(&bytes).expect("a valid document");
    expect_that!(QueueReply::from(doc), eq(&reply));
}

/// Guards against a request that gets two slots because its node listed it again before it received the first grant.
#[gtest]
fn a_request_that_is_listed_again_gets_one_slot() {
    let now = at(100_100);
    let mut queue = CoordinatedQueue::new("n0".to_owned(), true);
    serve(&mut queue, 0, now);
    let mut held = queue.update(update("n1", 1, &[7]), now).expect("a reply");
    expect_that!(serve(&mut queue, 0, now), eq(1));
    expect_that!(
        held.try_recv().map(|reply| reply.grants),
        ok(eq(&vec![(7, GROUP)]))
    );
    let relisted = queue.update(update("n1", 2, &[7]), now);
    expect_that!(relisted.is_none(), eq(true));
    expect_that!(queue.is_waiting(), eq(false));
}

/// Guards against a grant that is lost because its node's message had just been answered, and the next one lists nothing
/// else.
#[gtest]
fn a_grant_without_a_held_message_is_in_the_next_reply() {
    let now = at(100_100);
    let mut queue = CoordinatedQueue::new("n0".to_owned(), true);
    serve(&mut queue, 0, now);
    drop(queue.update(update("n1", 1, &[7]), now));
    expect_that!(serve(&mut queue, 0, now), eq(1));
    let mut held = queue.update(update("n1", 2, &[7]), now).expect("a reply");
    expect_that!(
        held.try_recv().map(|reply| reply.grants),
        ok(eq(&vec![(7, GROUP)]))
    );
}

/// Guards against a request that waits forever, and a slot that stays taken, after a grant that its node cannot use.
#[gtest]
fn a_returned_grant_is_granted_again() {
    let now = at(100_100);
    let mut queue = CoordinatedQueue::new("n0".to_owned(), true);
    serve(&mut queue, 0, now);
    queue.update(update("n1", 1, &[7]), now);
    expect_that!(serve(&mut queue, 0, now), eq(1));
    let returned = QueueUpdate {
        returned: vec![(7, GROUP)],
        ..update("n1", 2, &[7])
    };
    queue.update(returned, now);
    expect_that!(queue.is_waiting(), eq(true));
    expect_that!(queue.estimated(GROUP), some(eq(0)));
}

/// Guards against an old message that replaces a newer one, and against one that is answered only when it expires.
#[gtest]
fn an_older_message_is_answered_at_once_and_changes_nothing() {
    let now = at(100_100);
    let mut queue = CoordinatedQueue::new("n0".to_owned(), true);
    let newer = queue.update(update("n1", 2, &[7]), now);
    expect_that!(newer.is_some(), eq(true));
    expect_that!(queue.update(update("n1", 1, &[]), now).is_none(), eq(true));
    expect_that!(queue.is_waiting(), eq(true));
}

/// Guards against a message that holds a connection although a newer one of the same node has arrived.
#[gtest]
fn a_newer_message_completes_the_one_before() {
    let now = at(100_100);
    let mut queue = CoordinatedQueue::new("n0".to_owned(), true);
    let mut first = queue.update(update("n1", 1, &[7]), now).expect("a reply");
    let second = queue.update(update("n1", 2, &[7, 8]), now);
    expect_that!(second.is_some(), eq(true));
    // The sender is gone, which counts as an empty reply.
    expect_that!(first.try_recv().is_err(), eq(true));
}

/// Guards against a grant that is lost because its node had no message held at that moment.
#[gtest]
fn a_decision_without_a_held_message_is_delivered_with_the_next_one() {
    let now = at(100_100);
    let mut queue = CoordinatedQueue::new("n0".to_owned(), true);
    serve(&mut queue, 0, now);
    drop(queue.update(update("n1", 1, &[7]), now));
    expect_that!(serve(&mut queue, 0, now), eq(1));
    let held = queue.update(update("n1", 2, &[8]), at(100_150));
    let mut held = held.expect("a reply");
    expect_that!(
        held.try_recv().map(|reply| reply.grants),
        ok(eq(&vec![(7, GROUP)]))
    );
}

/// Guards against a grant that is delivered when it no longer counts.
#[gtest]
fn a_decision_is_not_delivered_after_its_grant_has_expired() {
    let now = at(100_100);
    let mut queue = CoordinatedQueue::new("n0".to_owned(), true);
    serve(&mut queue, 0, now);
    drop(queue.update(update("n1", 1, &[7]), now));
    expect_that!(serve(&mut queue, 0, now), eq(1));
    let held = queue.update(update("n1", 2, &[8]), at(100_400));
    let mut held = held.expect("a reply");
    expect_that!(held.try_recv().is_err(), eq(true));
}

/// Returns a message that states so many free slots of the group.
fn freeing(node: &str, sequence: u64, slots: u32) -> QueueUpdate {
    QueueUpdate {
        releases: [(GROUP, slots)].into(),
        ..update(node, sequence, &[])
    }
}

/// Returns a queue whose only slot is taken while other requests wait.
fn full_queue(now: Moment) -> CoordinatedQueue {
    let mut queue = CoordinatedQueue::new("n0".to_owned(), false);
    let tickets: Vec<Ticket> = (0..100).collect();
    serve(&mut queue, 0, now);
    drop(queue.update(update("n1", 1, &tickets), now));
    serve(&mut queue, 0, now);
    queue
}

/// Guards against requests that get slots which do not exist, because a node states more free ones than there are.
#[gtest]
fn a_message_frees_no_more_slots_than_a_group_has() {
    let now = at(100_100);
    let returned = QueueUpdate {
        returned: vec![(1, GROUP); 1_000],
        ..update("n2", 1, &[])
    };
    for message in [freeing("n2", 1, u32::MAX), returned] {
        let mut queue = full_queue(now);
        drop(queue.update(message, now));
        // Gossip doesn't report the first request yet.
        let granted: u32 = (0..10).map(|_| serve(&mut queue, 0, now)).sum();
        expect_that!(granted, eq(1));
        expect_that!(queue.estimated(GROUP), some(eq(1)));
    }
}

/// Guards against slots that are counted wrongly for good after a node has stated more free ones than there are.
#[gtest]
fn slots_are_counted_rightly_after_a_node_stated_too_many() {
    let mut queue = full_queue(at(100_100));
    drop(queue.update(freeing("n2", 1, u32::MAX), at(100_100)));
    for millis in (100_125..103_000).step_by(25) {
        // Whatever was granted beyond the only slot is refused at the group, and gossip reports one request.
        serve(&mut queue, 1, at(millis));
    }
    expect_that!(queue.estimated(GROUP), some(eq(1)));
}

/// Guards against a node that ends for want of memory, or counts its own requests wrongly, because another node stated
/// free slots under its name.
#[gtest]
fn a_message_under_the_name_of_the_coordinator_frees_no_more_slots_than_a_group_has() {
    let now = at(100_100);
    let mut queue = full_queue(now);
    drop(queue.update(freeing("n0", 1, 1_000_000), now));
    expect_that!(queue.reported_requests(GROUP, 0, 0), eq(1));
    expect_that!(queue.reported_requests(GROUP, 0, u32::MAX), eq(u32::MAX));
}

/// Guards against a node that ends for want of memory because another one stated free slots before the queue was served.
#[gtest]
fn a_first_message_frees_a_limited_number_of_slots() {
    let now = at(100_100);
    let mut queue = CoordinatedQueue::new("n0".to_owned(), false);
    drop(queue.update(freeing("n0", 1, 1_000_000), now));
    expect_that!(queue.reported_requests(GROUP, 0, 0), le(64));
}

/// Guards against groups that belong to no queue or to several, and against queues for models with few groups.
#[gtest]
fn every_group_belongs_to_one_queue_of_its_model() {
    expect_that!(
        [0, 1, 24, 25, 48, 49].map(shard_count),
        eq([1, 1, 1, 2, 2, 3])
    );
    let groups = 60;
    for group in 0..groups {
        let ids = QueueId::of_model("lm", "m0", groups as usize);
        let serving = ids.filter(|id| id.serves(group, groups as usize));
        expect_that!(serving.count(), eq(1));
        expect_that!(shard_of(group, 3), lt(3));
    }
}
