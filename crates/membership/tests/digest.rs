//! Merging of digests: ages, sums, suspected targets and expiry.

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

fn status_of(node: &str, requests: u32) -> NodeStatus {
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
    let status = status_of(node, requests);
    let heartbeat = Heartbeat {
        node: node.to_owned(),
        incarnation: 7,
        age: Duration::ZERO,
        is_leaving: false,
        reads_store: false,
        is_partitioned: false,
        request_rate: 2.0,
    };
    Gossip {
        sender: entry(node, zone),
        digest: Digest {
            members: vec![heartbeat],
            work: status.work,
            suspects: status.suspects,
            limits: status.limits,
            ..Digest::empty(DigestOrigin::Node(node.to_owned()))
        },
        relayed: Vec::new(),
        roster_version: None,
        roster: None,
    }
}

/// Returns zone `a`'s response to zone `b` at `now`; the second node of `a` was heard 300 ms before.
fn zone_response(now: Moment) -> Gossip {
    let mut hub = Membership::new(entry("a1", "a"));
    let own = status_of("a1", 4);
    hub.respond(
        &report("a2", "a", 3),
        &own,
        now - Duration::from_millis(300),
    );
    let request = Gossip {
        digest: Digest::empty(DigestOrigin::Zone("b".to_owned())),
        ..report("b1", "b", 0)
    };
    let response = hub.respond(&request, &own, now);
    let bytes =
        rmp_serde::to_vec_named(&GossipDoc::from(&response)).expect("message must serialize");
    let doc: GossipDoc = rmp_serde::from_slice(&bytes).expect("message must deserialize");
    doc.into()
}

/// Merges a message into a node's membership at a moment.
fn merge(membership: &mut Membership, gossip: &Gossip, at: Moment) {
    membership.respond(gossip, &NodeStatus::default(), at);
}

#[gtest]
fn zone_digest_has_the_work_and_heartbeats_of_all_nodes() {
    let response = zone_response(at(1_000));
    let members = response.digest.members.iter();
    let ages: Vec<_> = members
        .map(|heartbeat| (heartbeat.node.as_str(), heartbeat.age.as_millis()))
        .collect();
    expect_that!(ages, elements_are![eq(&("a1", 0)), eq(&("a2", 300))]);
    expect_that!(
        response.digest.suspects,
        elements_are![eq("silent-a1"), eq("silent-a2")]
    );

    let mut other = Membership::new(entry("b1", "b"));
    merge(&mut other, &report("b2", "b", 5), at(1_000));
    merge(&mut other, &response, at(1_000));
    let work = other.peer_work(at(1_100));
    expect_that!(work.target_requests[&target_key("head")], eq(12));
    expect_that!(work.total_loading(), eq(3));
    expect_that!(work.request_rates["large"], eq(6.0));
}

/// Work of a zone that is no longer reported must expire. Otherwise empty groups count as full, and loads do
/// not start, long after the zone was cut off. The zone sends a last digest, and an older one arrives late.
#[gtest]
fn work_expires_when_it_is_no_longer_reported() {
    let mut other = Membership::new(entry("b1", "b"));
    let newer = zone_response(at(1_000));
    let mut older = newer.clone();
    older.digest.work.loading = IndexMap::from([("chat".to_owned(), 99)]);
    merge(&mut other, &newer, at(1_000));
    merge(&mut other, &older, at(900));
    expect_that!(other.peer_work(at(1_200)).total_loading(), eq(2));
    expect_that!(other.peer_work(at(3_000)), eq(&WorkSum::default()));
}

/// Guards against a number at the end of its type in one node's message that makes the sum over all nodes panic, wrap
/// or become no number.
#[gtest]
fn numbers_at_the_ends_of_their_types_stay_in_range_in_sums() {
    let mut odd = report("b2", "b", u32::MAX);
    let rates = || {
        [
            ("large".to_owned(), f64::NAN),
            ("small".to_owned(), f64::INFINITY),
        ]
    };
    let counts = || IndexMap::from([("chat".to_owned(), u32::MAX), ("large".to_owned(), 1)]);
    odd.digest.work = WorkSum {
        loading: counts(),
        waiting: counts(),
        demand: rates().into_iter().collect(),
        request_rates: rates().into_iter().collect(),
        recent_demand: rates().into_iter().collect(),
        ..odd.digest.work
    };
    odd.digest.members[0].request_rate = f64::NEG_INFINITY;
    let bytes = rmp_serde::to_vec_named(&GossipDoc::from(&odd)).expect("message must serialize");
    let doc: GossipDoc = rmp_serde::from_slice(&bytes).expect("message must deserialize");
    let odd = Gossip::from(doc);
    expect_that!(odd.digest.members[0].request_rate, eq(0.0));

    let mut other = Membership::new(entry("b1", "b"));
    merge(&mut other, &odd, at(1_000));
    merge(&mut other, &report("b3", "b", 5), at(1_000));
    let work = other.peer_work(at(1_100));
    expect_that!(work.target_requests[&target_key("head")], eq(u32::MAX));
    expect_that!(work.total_loading(), eq(u32::MAX));
    expect_that!(work.request_rates["large"], eq(2.0));
    let rates = [&work.request_rates, &work.demand, &work.recent_demand];
    let mut rates = rates.into_iter().flat_map(IndexMap::values);
    expect_true!(rates.all(|rate| rate.is_finite() && *rate >= 0.0));
}
