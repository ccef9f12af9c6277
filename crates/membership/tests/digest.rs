//! What a node makes of others' digests: ages, sums, suspicions, and when they count no more.

use std::time::Duration;

use briarswitch_core::id::Moment;
use briarswitch_membership::{
    target_key, Digest, DigestOrigin, Gossip, GossipDoc, Heartbeat, Membership, NodeEntry,
    NodeStatus, WorkSum,
};
use googletest::prelude::*;
use indexmap::IndexMap;

fn at(millis: u64) -> Moment {
    Duration::from_millis(10_000 + millis)
}

fn entry(node: &str, zone: &str) -> NodeEntry {
    NodeEntry {
        node: node.to_owned(),
        zone: zone.to_owned(),
        address: format!("{node}:1"),
        incarnation: 7,
        link_mbps: 20,
    }
}

fn standing(node: &str, requests: u32) -> NodeStatus {
    NodeStatus {
        work: WorkSum {
            target_requests: [(target_key("head"), requests)].into_iter().collect(),
            loading: IndexMap::from([("chat".to_owned(), 1)]),
            request_rates: [("large".to_owned(), 2.0)].into_iter().collect(),
            ..WorkSum::default()
        },
        suspects: vec![format!("silent-{node}")],
        ..NodeStatus::default()
    }
}

fn report(node: &str, zone: &str, requests: u32) -> Gossip {
    let told = standing(node, requests);
    let sign = Heartbeat {
        node: node.to_owned(),
        incarnation: 7,
        age: Duration::ZERO,
        is_leaving: false,
        reads_store: false,
        request_rate: 2.0,
    };
    Gossip {
        sender: entry(node, zone),
        digest: Digest {
            members: vec![sign],
            work: told.work,
            suspects: told.suspects,
            ..Digest::empty(DigestOrigin::Node(node.to_owned()))
        },
        relayed: Vec::new(),
        roster_version: None,
        roster: None,
    }
}

/// Returns what zone `a` tells zone `b` at `now`; its second node was heard 300 ms before.
fn told_by_zone(now: Moment) -> Gossip {
    let mut hub = Membership::new(entry("a1", "a"));
    let own = standing("a1", 4);
    hub.respond(
        &report("a2", "a", 3),
        &own,
        now - Duration::from_millis(300),
    );
    let asked = Gossip {
        digest: Digest::empty(DigestOrigin::Zone("b".to_owned())),
        ..report("b1", "b", 0)
    };
    let answer = hub.respond(&asked, &own, now);
    let bytes = rmp_serde::to_vec_named(&GossipDoc::from(&answer)).expect("it is written");
    let doc: GossipDoc = rmp_serde::from_slice(&bytes).expect("it is read");
    doc.into()
}

/// Has a node take in what another zone told at a moment.
fn take(membership: &mut Membership, gossip: &Gossip, at: Moment) {
    membership.respond(gossip, &NodeStatus::default(), at);
}

#[gtest]
fn a_zone_tells_the_work_and_the_life_of_all_its_nodes() {
    let told = told_by_zone(at(1_000));
    let members = told.digest.members.iter();
    let ages: Vec<_> = members
        .map(|sign| (sign.node.as_str(), sign.age.as_millis()))
        .collect();
    expect_that!(ages, elements_are![eq(&("a1", 0)), eq(&("a2", 300))]);
    expect_that!(
        told.digest.suspects,
        elements_are![eq("silent-a1"), eq("silent-a2")]
    );

    let mut other = Membership::new(entry("b1", "b"));
    take(&mut other, &report("b2", "b", 5), at(1_000));
    take(&mut other, &told, at(1_000));
    let work = other.peer_work(at(1_100));
    expect_that!(work.target_requests[&target_key("head")], eq(12));
    expect_that!(work.total_loading(), eq(3));
    expect_that!(work.request_rates["large"], eq(6.0));
}

/// Symptom: groups are taken for full that are empty, and loads are not begun, long after a zone was cut
/// off.
/// Events: a zone falls silent after its last digest; another digest of it, made earlier, comes late.
/// Cause guarded against: counting work for ever that nobody tells of any more.
#[gtest]
fn work_that_nobody_tells_of_any_more_is_forgotten() {
    let mut other = Membership::new(entry("b1", "b"));
    let newer = told_by_zone(at(1_000));
    let mut older = newer.clone();
    older.digest.work.loading = IndexMap::from([("chat".to_owned(), 99)]);
    take(&mut other, &newer, at(1_000));
    take(&mut other, &older, at(900));
    expect_that!(other.peer_work(at(1_200)).total_loading(), eq(2));
    expect_that!(other.peer_work(at(3_000)), eq(&WorkSum::default()));
}
