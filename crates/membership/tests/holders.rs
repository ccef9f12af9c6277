//! Holders of a key, chosen by rank among the live nodes.

use std::time::Duration;

use briarswitch_core::id::{Moment, NodeId};
use briarswitch_membership::{LiveView, Membership, NodeEntry, RankedNode};
use googletest::prelude::*;

const NOW: Moment = Duration::from_secs(1);
const NODES: usize = 7;

fn entry(index: usize) -> NodeEntry {
    NodeEntry {
        node: format!("n{index}"),
        zone: format!("z{}", index % 3),
        address: format!("127.0.0.1:{}", 9_000 + index),
        incarnation: 1,
        link_mbps: 1_000,
    }
}

/// Returns the view of a node that knows the nodes `others`.
fn view(own: usize, others: impl Iterator<Item = usize>) -> LiveView {
    let mut membership = Membership::new(entry(own));
    for other in others.filter(|other| *other != own) {
        membership.add_node(&entry(other), NOW);
    }
    LiveView::from_membership(&membership, NOW)
}

/// Returns the names of the holders by rank, as one node computes them.
fn holders(own: usize, key: &str, others: impl Iterator<Item = usize>) -> Vec<NodeId> {
    let found = view(own, others).holders_of(key, 2);
    let mut names: Vec<NodeId> = found
        .others
        .iter()
        .map(|entry| entry.node.clone())
        .collect();
    if let Some(rank) = found.own_rank {
        names.insert(rank, entry(own).node);
    }
    names
}

/// The rank must not depend on the node that computes it. Otherwise crashes caused by one request would be
/// reported to different nodes, and none of them would count all.
#[gtest]
fn all_nodes_compute_the_same_holders() {
    for key in ["a", "b", "c", "d", "e"] {
        let first = holders(0, key, 0..NODES);
        expect_that!(first.len(), eq(2));
        for own in 1..NODES {
            expect_that!(holders(own, key, 0..NODES), eq(&first), "{key} at {own}");
        }
    }
}

/// If the failure of one holder replaced all of them, the reported data would be lost whenever a node fails.
#[gtest]
fn the_second_holder_remains_when_the_first_fails() {
    for key in ["a", "b", "c", "d", "e"] {
        let before = holders(0, key, 0..NODES);
        let left = (0..NODES).filter(|index| entry(*index).node != before[0]);
        let own = left.clone().next().expect("a node is left");
        let after = holders(own, key, left);
        expect_that!(&after[0], eq(&before[1]), "{key}");
    }
}

#[gtest]
fn keys_are_spread_over_the_nodes() {
    let firsts = (0..300).map(|key| holders(0, &key.to_string(), 0..NODES).remove(0));
    let mut counts = indexmap::IndexMap::<NodeId, usize>::new();
    for first in firsts {
        *counts.entry(first).or_default() += 1;
    }
    expect_that!(counts.len(), eq(NODES));
    expect_that!(counts.values().max(), some(le(&100)));
}

/// Guards against a domain that two nodes control, or none, because the short check differs from the whole one.
#[gtest]
fn exactly_one_node_ranks_first_for_a_key_in_a_zone() {
    for zone in ["z0", "z1", "z9"] {
        for key in ["a", "b", "c", "d", "e"] {
            let views: Vec<LiveView> = (0..NODES).map(|own| view(own, 0..NODES)).collect();
            let first = views.iter().filter(|view| view.is_first_for(key, zone));
            expect_that!(first.count(), eq(1), "{key} in {zone}");
            for view in &views {
                let is_first = view.first_for(key, zone).is_none();
                expect_that!(view.is_first_for(key, zone), eq(is_first));
            }
        }
    }
}

/// Returns the name of a queue's coordinator, as one node computes it.
fn coordinator(own: usize, key: &str) -> Option<NodeId> {
    let first = view(own, 0..NODES).coordinator_for(key)?;
    Some(match first {
        RankedNode::Own => entry(own).node,
        RankedNode::Peer(entry) => entry.node.clone(),
    })
}

/// Guards against nodes that send their waiting requests to different coordinators.
#[gtest]
fn all_nodes_compute_the_same_coordinator() {
    for key in ["queue/a", "queue/b", "queue/c"] {
        let first = coordinator(0, key);
        expect_that!(first, some(anything()));
        for own in 1..NODES {
            expect_that!(coordinator(own, key), eq(&first), "{key} at {own}");
        }
    }
}

/// Guards against a coordinator that grants slots without knowing whether targets are reached.
#[gtest]
fn a_partitioned_node_coordinates_no_queue() {
    let mut membership = Membership::new(entry(0));
    membership.set_partitioned(true);
    let alone = LiveView::from_membership(&membership, NOW);
    expect_that!(alone.coordinator_for("queue/a"), none());
    membership.add_node(&entry(1), NOW);
    let first = LiveView::from_membership(&membership, NOW).coordinator_for("queue/a");
    expect_that!(first, some(matches_pattern!(RankedNode::Peer(_))));
}

/// Guards against nodes that cannot see each other and each take a share for the whole fleet.
#[gtest]
fn the_rank_among_known_nodes_does_not_change_when_they_fall_silent() {
    let now = NOW + Duration::from_secs(60);
    for own in 0..NODES {
        let mut membership = Membership::new(entry(own));
        for other in (0..NODES).filter(|other| *other != own) {
            membership.add_node(&entry(other), NOW);
        }
        let alone = LiveView::from_membership(&membership, now);
        expect_that!(alone.live_nodes(), eq(1));
        expect_that!(
            alone.known_rank("key"),
            eq(view(own, 0..NODES).known_rank("key"))
        );
    }
}
