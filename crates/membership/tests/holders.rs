//! Who keeps something for all, by rank among the nodes that live.

use std::time::Duration;

use briarswitch_core::id::{Moment, NodeId};
use briarswitch_membership::{LiveView, Membership, NodeEntry};
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

/// Returns the view of a node that knows some others.
fn view(own: usize, others: impl Iterator<Item = usize>) -> LiveView {
    let mut membership = Membership::new(entry(own));
    for other in others.filter(|other| *other != own) {
        membership.add_node(&entry(other), NOW);
    }
    LiveView::from_membership(&membership, NOW)
}

/// Returns the holders by name, the best first, as one node sees them.
fn holders(own: usize, thing: &str, others: impl Iterator<Item = usize>) -> Vec<NodeId> {
    let held = view(own, others).holders_of(thing, 2);
    let mut names: Vec<NodeId> = held.others.iter().map(|entry| entry.node.clone()).collect();
    if let Some(place) = held.own_rank {
        names.insert(place, entry(own).node);
    }
    names
}

/// Symptom: two nodes tell different nodes of the same request, and nobody sees its ends add up.
/// Cause guarded against: a rank that hangs on who asks.
#[gtest]
fn nodes_that_see_each_other_name_the_same_holders() {
    for thing in ["a", "b", "c", "d", "e"] {
        let first = holders(0, thing, 0..NODES);
        expect_that!(first.len(), eq(2));
        for own in 1..NODES {
            expect_that!(
                holders(own, thing, 0..NODES),
                eq(&first),
                "{thing} at {own}"
            );
        }
    }
}

/// Symptom: what was told is lost whenever a node ends.
/// Cause guarded against: holders that all change when one of them is gone.
#[gtest]
fn the_second_holder_stays_when_the_first_is_gone() {
    for thing in ["a", "b", "c", "d", "e"] {
        let before = holders(0, thing, 0..NODES);
        let left = (0..NODES).filter(|index| entry(*index).node != before[0]);
        let own = left.clone().next().expect("a node");
        let after = holders(own, thing, left);
        expect_that!(&after[0], eq(&before[1]), "{thing}");
    }
}

#[gtest]
fn things_are_spread_over_the_nodes() {
    let firsts = (0..300).map(|thing| holders(0, &thing.to_string(), 0..NODES).remove(0));
    let mut counts = indexmap::IndexMap::<NodeId, usize>::new();
    for first in firsts {
        *counts.entry(first).or_default() += 1;
    }
    expect_that!(counts.len(), eq(NODES));
    expect_that!(counts.values().max(), some(le(&100)));
}
