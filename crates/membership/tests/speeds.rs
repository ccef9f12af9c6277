//! How nodes learn of the speed of targets that other nodes observe.

mod support;

use std::time::Duration;

use briarswitch_core::speed::{SpeedRatio, SpeedReport, RATIO_TTL};
use briarswitch_membership::{
    Digest, DigestOrigin, Gossip, GossipDoc, NodeEntry, MAX_SPEED_REPORTS,
};
use googletest::prelude::*;
use serde::Serialize;

use support::{Fleet, TICK};

/// Time within which what one node reports reaches all nodes: report, hubs, zones, hubs, response.
const PROPAGATION_TIME: Duration = Duration::from_millis(900);
/// Time in which a fleet of any size has found its hubs.
const START_TIME: Duration = Duration::from_secs(6);
/// Numbers of nodes and of zones.
const FLEETS: [(usize, usize); 3] = [(6, 3), (58, 5), (300, 5)];

fn report(target: &str, ratio: f64) -> SpeedReport {
    SpeedReport {
        target: target.to_owned(),
        ratio: SpeedRatio::nearest(ratio),
        age: Duration::ZERO,
    }
}

/// Lets the last node of a fleet report the same speeds until further notice.
fn tell(fleet: &mut Fleet, speeds: Vec<SpeedReport>) {
    let last = fleet.nodes.len() - 1;
    let (_, node) = fleet.nodes.get_index_mut(last).expect("a node");
    node.speeds = speeds;
}

/// Returns how many nodes other than the last one know a ratio of a target beyond the limit.
fn knowing_nodes(fleet: &Fleet, target: &str, limit: f64) -> usize {
    let others = fleet.nodes.values().take(fleet.nodes.len() - 1);
    let heard = others.filter_map(|node| node.heard_speeds.get(target));
    heard.filter(|heard| heard.ratio(fleet.now) > limit).count()
}

/// Guards against nodes that send requests to a target which another node has found slow, and against ratios that
/// nodes keep renewing for each other.
#[gtest]
fn what_one_node_observes_reaches_all_nodes_and_expires() {
    for (nodes, zones) in FLEETS {
        let mut fleet = Fleet::new(nodes, zones);
        fleet.run_until(START_TIME, Fleet::is_settled);
        tell(&mut fleet, vec![report("t1", 8.0)]);
        fleet.run_until(PROPAGATION_TIME, |fleet| {
            knowing_nodes(fleet, "t1", 7.0) == nodes - 1
        });
        tell(&mut fleet, Vec::new());
        fleet.run(RATIO_TTL + PROPAGATION_TIME);
        expect_that!(knowing_nodes(&fleet, "t1", 1.0), eq(0), "{nodes} nodes");
    }
}

/// Guards against nodes that wait for the ratio to expire although another node has seen the target recover.
#[gtest]
fn a_target_that_is_normal_again_is_reported_as_such() {
    let mut fleet = Fleet::new(58, 5);
    fleet.run_until(START_TIME, Fleet::is_settled);
    tell(&mut fleet, vec![report("t1", 8.0)]);
    fleet.run(PROPAGATION_TIME);
    tell(&mut fleet, vec![report("t1", 1.0)]);
    fleet.run_until(PROPAGATION_TIME, |fleet| {
        knowing_nodes(fleet, "t1", 1.0) == 0
    });
}

/// Guards against messages that grow with the number of slow targets, and against targets that are left out of them
/// for good.
#[gtest]
fn messages_have_a_bounded_number_of_entries() {
    let mut fleet = Fleet::new(20, 3);
    fleet.run_until(START_TIME, Fleet::is_settled);
    let targets: Vec<String> = (0..100).map(|index| format!("t{index}")).collect();
    tell(
        &mut fleet,
        targets.iter().map(|target| report(target, 4.0)).collect(),
    );
    for _ in 0..200 {
        fleet.run(TICK);
        let now = fleet.now;
        for name in fleet.names() {
            let status = fleet.status(&name);
            let due = fleet.nodes[&name]
                .membership
                .due_messages(|| status.clone(), now);
            for message in due {
                expect_that!(message.gossip.digest.speeds.len(), le(MAX_SPEED_REPORTS));
            }
        }
    }
    for target in &targets {
        let heard = |name: &String| fleet.nodes[name].heard_speeds.contains_key(target);
        let count = fleet.names().iter().filter(|name| heard(name)).count();
        expect_that!(count, gt(10), "{target}");
    }
}

fn message(speeds: Vec<SpeedReport>) -> Gossip {
    Gossip {
        sender: NodeEntry::default(),
        digest: Digest {
            speeds,
            ..Digest::empty(DigestOrigin::Node("a".to_owned()))
        },
        relayed: vec![Digest::empty(DigestOrigin::Zone("z2".to_owned()))],
        roster_version: None,
        roster: None,
    }
}

fn encode(doc: &impl Serialize) -> Vec<u8> {
    rmp_serde::to_vec_named(doc).expect("message must serialize")
}

/// Guards against reports that change on the way, or that are taken for those of another digest.
#[gtest]
fn reports_survive_the_wire() {
    let mut sent = message(vec![report("t1", 3.0), report("t2", 16.0)]);
    sent.relayed.push(Digest {
        speeds: vec![report("t3", 1.0)],
        ..Digest::empty(DigestOrigin::Zone("z3".to_owned()))
    });
    let doc: GossipDoc =
        rmp_serde::from_slice(&encode(&GossipDoc::from(&sent))).expect("message must deserialize");
    expect_that!(Gossip::from(doc), eq(&sent));
}

/// Guards against messages of a fleet without slow targets that are longer than before, or unreadable for nodes of
/// the version before.
#[gtest]
fn messages_without_slow_targets_are_as_before() {
    let bytes = encode(&GossipDoc::from(&message(Vec::new())));
    let text = String::from_utf8_lossy(&bytes);
    expect_that!(text, not(contains_substring("speeds")));
    let marked = encode(&GossipDoc::from(&message(vec![report("t1", 4.0)])));
    // A map with one more entry, whose key and value follow the others.
    expect_that!(marked.len(), gt(bytes.len()));
    expect_that!(marked[1..bytes.len()], eq(&bytes[1..]));
}
