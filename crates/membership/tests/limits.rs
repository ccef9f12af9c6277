//! How nodes learn of the limits that targets state to other nodes.

mod support;

use std::time::Duration;

use briarswitch_core::request_limit::RequestLimit;
use briarswitch_core::stated_limit::LimitHeader;
use googletest::prelude::*;

use support::{Fleet, TICK};

/// Time within which what one node hears reaches all nodes: report, hubs, zones, hubs, response.
const PROPAGATION_TIME: Duration = Duration::from_millis(900);
/// Time in which a fleet of any size has found its hubs.
const START_TIME: Duration = Duration::from_secs(6);
/// Numbers of nodes and of zones.
const FLEETS: [(usize, usize); 4] = [(6, 3), (58, 5), (112, 5), (295, 5)];

/// Lets a target tell a node about its limit, in a response to a request sent a tick earlier.
fn tell(fleet: &mut Fleet, node: usize, target: &str, header: LimitHeader) {
    let now = fleet.now;
    let (_, node) = fleet.nodes.get_index_mut(node).expect("a node");
    let stated = node.limits.entry(target.to_owned()).or_default();
    stated.record_response(header, now.saturating_sub(TICK), now);
}

fn stated(rate: f64) -> LimitHeader {
    LimitHeader::Stated(RequestLimit::per_second(rate))
}

/// Returns whether every node knows whether a target has a limit.
fn all_know(fleet: &Fleet, target: &str, is_limited: bool) -> bool {
    fleet.nodes.values().all(|node| {
        let stated = node.limits.get(target);
        stated.is_some_and(|stated| stated.limit(fleet.now).is_some() == is_limited)
    })
}

/// Guards against nodes that overrun a limit of which another node has been told.
#[gtest]
fn what_one_node_hears_of_a_limit_reaches_all_nodes() {
    for (nodes, zones) in FLEETS {
        let mut fleet = Fleet::new(nodes, zones);
        fleet.run_until(START_TIME, Fleet::is_settled);
        tell(&mut fleet, nodes - 1, "t1", stated(2.4));
        fleet.run_until(PROPAGATION_TIME, |fleet| all_know(fleet, "t1", true));
        fleet.run(PROPAGATION_TIME);
        tell(&mut fleet, nodes - 1, "t1", LimitHeader::Absent);
        fleet.run_until(PROPAGATION_TIME, |fleet| all_know(fleet, "t1", false));
        fleet.run(PROPAGATION_TIME * 4);
        expect_true!(all_know(&fleet, "t1", false), "{nodes} nodes, later");
    }
}

/// Returns how many nodes know that a target has a limit.
fn knowing_nodes(fleet: &Fleet, target: &str) -> usize {
    let limits = fleet
        .nodes
        .values()
        .filter_map(|node| node.limits.get(target));
    let known = limits.filter(|stated| stated.limit(fleet.now).is_some());
    known.count()
}

/// Lets targets tell two nodes in turn each half second for ten seconds; returns the bytes that all nodes sent.
fn tell_often(fleet: &mut Fleet, targets: usize) -> u64 {
    let bytes = |fleet: &Fleet| fleet.nodes.values().map(|node| node.bytes).sum::<u64>();
    let before = bytes(fleet);
    let nodes = fleet.nodes.len();
    for round in 0..200 {
        for index in (0..targets).filter(|index| index % 10 == round % 10) {
            let node = (index + round / 10 % 2) % nodes;
            tell(fleet, node, &format!("t{index}"), stated(2.0));
        }
        fleet.run(TICK);
    }
    bytes(fleet) - before
}

/// Guards against messages that grow with the number of targets that limit themselves at once, and against limits that
/// are left out of them for good.
#[gtest]
fn the_limits_of_many_targets_spread_in_messages_of_bounded_size() {
    let settled = || {
        let mut fleet = Fleet::new(20, 3);
        fleet.run_until(START_TIME, Fleet::is_settled);
        fleet
    };
    let few = tell_often(&mut settled(), 40);
    let mut fleet = settled();
    let many = tell_often(&mut fleet, 400);
    expect_that!(
        many,
        lt(few * 2),
        "{few} bytes with 40 targets, {many} with 400"
    );
    for index in 0..400 {
        let known = knowing_nodes(&fleet, &format!("t{index}"));
        expect_that!(known, gt(10), "target {index}");
    }
}
