//! Rules of the shared queue, one by one.

use std::time::Duration;

use briarswitch_core::id::Moment;
use briarswitch_core::shared_queue::*;
use briarswitch_core::waiting::{WaitParams, WaitingRequest};
use googletest::prelude::*;

/// When the tests begin.
const START: Moment = Duration::from_secs(100);
/// Latency objective.
const OBJECTIVE: Duration = Duration::from_millis(500);

fn at(millis: u64) -> Moment {
    START + Duration::from_millis(millis)
}

fn params(arrived: Moment, priority: u8) -> WaitParams {
    WaitParams {
        arrived,
        objective: OBJECTIVE,
        first_event_time: Duration::from_millis(150),
        deadline: arrived + Duration::from_secs(10),
        priority,
        ..WaitParams::default()
    }
}

fn queued(ticket: Ticket, params: WaitParams) -> QueuedRequest {
    QueuedRequest {
        ticket,
        organisation: String::new(),
        tokens: 1_000,
        request: WaitingRequest::new(params),
        excluded: Vec::new(),
    }
}

fn message(
    node: &str,
    incarnation: u64,
    sequence: u64,
    requests: Vec<QueuedRequest>,
) -> NodeRequests {
    NodeRequests {
        node: node.to_owned(),
        incarnation,
        sequence,
        requests,
    }
}

fn group(key: GroupKey, free: u32) -> GroupCapacity {
    GroupCapacity {
        group: key,
        slots: 34,
        active_requests: 34 - free,
        first_event_time: Duration::from_millis(150),
    }
}

fn tickets(decision: &QueueDecision) -> Vec<Ticket> {
    decision.grants.iter().map(|grant| grant.ticket).collect()
}

/// Guards against an order other than resumptions, on time before late, priority, newest first on time, oldest first
/// late.
#[gtest]
fn requests_are_served_in_the_stated_order() {
    let resumption = WaitParams {
        is_resumption: true,
        ..params(at(0), 3)
    };
    let requests = vec![
        queued(1, params(at(100), 0)),
        queued(2, params(at(50), 0)),
        queued(3, params(at(500), 1)),
        queued(4, params(at(450), 0)),
        queued(5, params(at(480), 0)),
        queued(6, resumption),
    ];
    let mut queue = SharedQueue::default();
    for queued in requests {
        let node = queued.ticket.to_string();
        queue.update(message(&node, 1, 1, vec![queued]), at(550));
    }
    let decision = queue.serve(&[group(1, 10)], at(550));
    expect_that!(tickets(&decision), eq(&vec![6, 5, 4, 3, 2, 1]));
}

/// Guards against an overtaken list, or one of a process that has ended, that replaces a newer one.
#[gtest]
fn older_lists_are_ignored() {
    let mut queue = SharedQueue::default();
    queue.update(message("n", 2, 5, Vec::new()), at(0));
    for (incarnation, sequence) in [(2, 4), (2, 5), (1, 9)] {
        let old = vec![queued(1, params(at(0), 0))];
        queue.update(message("n", incarnation, sequence, old), at(10));
    }
    expect_that!(queue.waiting(), eq(0));
    let restarted = vec![queued(1, params(at(0), 0))];
    queue.update(message("n", 3, 1, restarted), at(20));
    expect_that!(queue.waiting(), eq(1));
}

/// Guards against a message that was on its way for so long that the newer list it follows has been dropped.
#[gtest]
fn an_overtaken_list_is_ignored_after_the_newer_one_was_dropped() {
    let mut queue = SharedQueue::default();
    queue.update(message("n", 1, 2, Vec::new()), at(0));
    queue.serve(&[], at(800));
    let old = vec![queued(1, params(at(0), 0))];
    queue.update(message("n", 1, 1, old), at(810));
    expect_that!(queue.waiting(), eq(0));
}

/// Guards against two slots for one request, whose node sent its list before it knew of the grant.
#[gtest]
fn a_granted_request_is_not_granted_again() {
    let list = || vec![queued(1, params(at(0), 0))];
    let mut queue = SharedQueue::default();
    queue.update(message("n", 1, 1, list()), at(0));
    expect_that!(queue.serve(&[group(1, 5)], at(0)).grants.len(), eq(1));
    queue.update(message("n", 1, 2, list()), at(10));
    expect_that!(queue.serve(&[group(1, 5)], at(10)).grants.len(), eq(0));
}

/// Guards against a request that is forgotten because its node could not use the group that it was granted.
#[gtest]
fn a_request_that_could_not_use_its_grant_waits_on() {
    let mut queue = SharedQueue::default();
    let request = queued(1, params(at(0), 0));
    queue.update(message("n", 1, 1, vec![request.clone()]), at(0));
    queue.serve(&[group(1, 5)], at(0));
    let excluded = vec![1];
    let again = QueuedRequest {
        excluded,
        ..request
    };
    queue.update(message("n", 1, 2, vec![again]), at(10));
    let decision = queue.serve(&[group(1, 5), group(2, 1)], at(10));
    let groups: Vec<GroupKey> = decision.grants.iter().map(|grant| grant.group).collect();
    expect_that!(groups, eq(&vec![2]));
}

/// Guards against grants to nodes that have died, and to those whose messages this node missed while it was frozen.
#[gtest]
fn lists_without_renewal_are_dropped_before_slots_are_granted() {
    let mut queue = SharedQueue::default();
    let request = |ticket| queued(ticket, params(at(0), 0));
    queue.update(message("dead", 1, 1, vec![request(1)]), at(0));
    queue.update(message("live", 1, 1, vec![request(2)]), at(50));
    let decision = queue.serve(&[group(1, 5)], at(600));
    expect_that!(tickets(&decision), eq(&vec![2]));
    expect_that!(queue.waiting(), eq(0));
}

/// Guards against more grants than slots while gossip does not report the requests yet, and against slots that stay
/// taken after it should have reported them.
#[gtest]
fn grants_count_until_gossip_reports_the_requests() {
    let mut queue = SharedQueue::default();
    let mut granted = 0;
    for millis in (0..1_000).step_by(50) {
        let requests = (0..40).map(|index| queued(millis * 100 + index, params(at(millis), 0)));
        let list = message("n", 1, millis + 1, requests.collect());
        queue.update(list, at(millis));
        let reported = if millis < 200 { 0 } else { 34 };
        let capacity = GroupCapacity {
            active_requests: reported,
            ..group(1, 0)
        };
        granted += queue.serve(&[capacity], at(millis)).grants.len();
    }
    expect_that!(granted, eq(34));
    // The requests were never sent: their node has died.
    let mut free = 0;
    for millis in (1_000..3_000).step_by(50) {
        queue.serve(&[group(1, 34)], at(millis));
        free = 34 - queue.load_of(&group(1, 34));
    }
    expect_that!(free, ge(33));
}

/// Guards against slots that stay unused until gossip reports what their nodes have already said.
#[gtest]
fn released_slots_are_granted_at_once() {
    let mut queue = SharedQueue::default();
    let requests = (0..5).map(|ticket| queued(ticket, params(at(0), 0)));
    queue.update(message("n", 1, 1, requests.collect()), at(0));
    expect_that!(queue.serve(&[group(1, 0)], at(0)).grants.len(), eq(0));
    queue.release(1, 2, at(10));
    expect_that!(queue.serve(&[group(1, 0)], at(10)).grants.len(), eq(2));
    expect_that!(queue.serve(&[group(1, 0)], at(20)).grants.len(), eq(0));
}

/// Guards against a first request that can use none of the free groups and keeps all others waiting.
#[gtest]
fn a_request_that_excludes_the_free_groups_blocks_nobody() {
    let mut queue = SharedQueue::default();
    let picky = QueuedRequest {
        excluded: vec![1],
        ..queued(1, params(at(0), 0))
    };
    let requests = vec![picky, queued(2, params(at(0), 2))];
    queue.update(message("n", 1, 1, requests), at(0));
    let decision = queue.serve(&[group(1, 3), group(2, 0)], at(0));
    expect_that!(tickets(&decision), eq(&vec![2]));
    expect_that!(queue.waiting(), eq(1));
}

/// Guards against refusals while nothing is known, and of requests that may still be on time.
#[gtest]
fn nothing_is_refused_without_observed_releases() {
    let mut queue = SharedQueue::default();
    let requests = (0..300).map(|ticket| queued(ticket, params(at(0), 0)));
    queue.update(message("n", 1, 1, requests.collect()), at(0));
    let decision = queue.serve(&[group(1, 0)], at(400));
    expect_that!(decision.refusals.len(), eq(0));
}

/// Lets a queue observe two seconds of a hundred arrivals of one priority and ten releases per second.
fn overloaded_queue(priority: u8) -> SharedQueue {
    let mut queue = SharedQueue::default();
    for step in 0..200 {
        let request = queued(step, params(at(step * 10), priority));
        queue.update(message("load", 1, step + 1, vec![request]), at(step * 10));
        if step % 10 == 0 {
            queue.release(1, 1, at(step * 10));
        }
        queue.serve(&[group(1, 0)], at(step * 10));
    }
    queue
}

/// Guards against requests that are held although more urgent ones take every slot, and against a refusal of those
/// whose class still gets slots.
#[gtest]
fn requests_without_a_chance_are_refused_at_once() {
    let mut queue = overloaded_queue(1);
    let now = at(2_000);
    let requests = (0..4).map(|ticket| queued(ticket, params(now, 2)));
    queue.update(message("less", 1, 1, requests.collect()), now);
    let same = (0..4).map(|ticket| queued(ticket, params(now, 1)));
    queue.update(message("same", 1, 1, same.collect()), now);
    let decision = queue.serve(&[group(1, 0)], now);
    let nodes: Vec<&str> = decision
        .refusals
        .iter()
        .map(|refusal| refusal.node.as_str())
        .collect();
    expect_that!(nodes, eq(&vec!["less"; 4]));
}

/// Guards against a forecast that counts releases of groups that are gone.
#[gtest]
fn a_request_is_refused_once_the_groups_that_it_can_use_are_gone() {
    let mut queue = SharedQueue::default();
    // Their slots are taken by requests that go before.
    let groups = [1, 2].map(|key| GroupCapacity {
        slots: 0,
        ..group(key, 0)
    });
    for step in 0..200 {
        let now = at(step * 10);
        queue.release(1, 1, now);
        if step % 20 == 0 {
            queue.release(2, 1, now);
        }
        let list = Vec::from_iter((step % 10 == 0).then(|| queued(step, params(now, 0))));
        queue.update(message("load", 1, step + 1, list), now);
        queue.serve(&groups, now);
    }
    let late = vec![queued(1, params(at(1_600), 0))];
    queue.update(message("n", 1, 1, late), at(2_000));
    expect_that!(queue.serve(&groups, at(2_000)).refusals.len(), eq(0));
    let decision = queue.serve(&groups[1..], at(2_010));
    expect_that!(decision.refusals.len(), eq(1));
    expect_that!(decision.refusals[0].available_in, none());
}

/// Guards against a summary that shows other requests than those that wait.
#[gtest]
fn the_summary_shows_waiting_requests_by_priority() {
    let mut queue = SharedQueue::default();
    let requests = [(1, 2), (2, 0), (3, 2)]
        .map(|(ticket, priority)| queued(ticket, params(at(100 - ticket), priority)));
    queue.update(message("n", 1, 1, requests.to_vec()), at(100));
    let summary = queue.waiting_counts(at(150));
    expect_that!(
        summary.waiting.into_iter().collect::<Vec<_>>(),
        eq(&vec![(0, 1), (2, 2)])
    );
    expect_that!(summary.oldest_wait, eq(Duration::from_millis(53)));
}
