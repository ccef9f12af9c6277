//! Messages that a node sends, and what it computes for them.

use std::cell::Cell;
use std::time::Duration;

use briarswitch_core::id::Moment;
use briarswitch_membership::{Membership, NodeEntry, NodeStatus};
use googletest::prelude::*;

/// Interval between two calls for the messages that are due.
const TICK: Duration = Duration::from_millis(25);

fn entry(node: &str, link_mbps: u32) -> NodeEntry {
    NodeEntry {
        node: node.to_owned(),
        zone: "z1".to_owned(),
        address: format!("{node}:7000"),
        incarnation: 1,
        link_mbps,
    }
}

/// Guards against a node that counts its requests at all targets on every tick: with 3,303 targets on an eighth of a
/// core, four of five counts were for nothing.
#[gtest]
fn the_status_of_a_node_is_computed_only_for_messages() {
    let mut membership = Membership::new(entry("plain", 20));
    for hub in ["hub-1", "hub-2", "hub-3"] {
        membership.add_node(&entry(hub, 1_000), Moment::ZERO);
    }
    let statuses = Cell::new(0);
    let status = || {
        statuses.set(statuses.get() + 1);
        NodeStatus::default()
    };
    let mut messages = 0;
    let mut now = Moment::ZERO;
    while now < Duration::from_secs(1) {
        messages += membership.due_messages(status, now).len();
        now += TICK;
    }
    expect_that!(messages, gt(0));
    expect_that!(statuses.get(), eq(messages));
}
