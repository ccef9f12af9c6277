//! What nodes do for others while some of them are partitioned from all targets.

mod support;

use std::time::Duration;

use briarswitch_membership::{GossipDoc, LiveView};
use googletest::prelude::*;

use support::{zone_of, Fleet};

/// Time within which all nodes know which ones are partitioned: report, hubs, zones, hubs, response.
const PROPAGATION_TIME: Duration = Duration::from_millis(900);
/// Time in which a fleet of any size has found its hubs.
const START_TIME: Duration = Duration::from_secs(6);
/// Numbers of nodes and of zones.
const FLEETS: [(usize, usize); 4] = [(6, 3), (58, 5), (112, 5), (295, 5)];
/// Domains for which nodes are ranked in each zone.
const DOMAINS: [&str; 8] = ["d0", "d1", "d2", "d3", "d4", "d5", "d6", "d7"];

/// Lets nodes be partitioned from all targets, or reach them again.
fn set_partitioned(fleet: &mut Fleet, is_partitioned: impl Fn(usize) -> bool) {
    for (index, node) in fleet.nodes.values_mut().enumerate() {
        node.is_partitioned = is_partitioned(index);
        node.membership.set_partitioned(node.is_partitioned);
    }
}

fn views(fleet: &mut Fleet) -> Vec<LiveView> {
    let now = fleet.now;
    let nodes = fleet.nodes.values_mut();
    let views = nodes.map(|node| {
        node.membership.refresh(now);
        LiveView::from_membership(&node.membership, now)
    });
    views.collect()
}

/// Returns whether every node knows exactly the other nodes that reach targets.
fn all_know(fleet: &mut Fleet) -> bool {
    let views = views(fleet);
    all_know_by(fleet, &views)
}

fn all_know_by(fleet: &Fleet, views: &[LiveView]) -> bool {
    let reaching = fleet.nodes.values().filter(|node| !node.is_partitioned);
    let reaching: Vec<String> = reaching.map(|node| node.entry.node.clone()).collect();
    fleet.nodes.keys().zip(views).all(|(name, view)| {
        let mut known: Vec<&String> = view.reaching().map(|peer| &peer.entry.node).collect();
        known.sort_unstable();
        let mut expected: Vec<&String> = reaching.iter().filter(|node| *node != name).collect();
        expected.sort_unstable();
        known == expected
    })
}

/// Returns the nodes that consider themselves first for a domain.
fn first_nodes(views: &[LiveView], domain: &str, zone: &str) -> Vec<usize> {
    let first = views.iter().enumerate();
    let first = first.filter(|(_, view)| view.is_first_for(domain, zone));
    first.map(|(index, _)| index).collect()
}

/// Guards against nodes that go on controlling domains whose targets they do not reach, or controllers that all nodes
/// leave to another one.
#[gtest]
fn partitioned_nodes_leave_their_domains_to_exactly_one_node_that_reaches_targets() {
    for (nodes, zones) in FLEETS {
        let mut fleet = Fleet::new(nodes, zones);
        fleet.run(START_TIME);
        // A third of all nodes, and all nodes of the first zone.
        set_partitioned(&mut fleet, |index| index % zones == 0 || index % 3 == 1);
        fleet.run(PROPAGATION_TIME);
        let views = views(&mut fleet);
        expect_true!(all_know_by(&fleet, &views), "{nodes} nodes");
        for domain in DOMAINS {
            for zone in [zone_of(0, zones), zone_of(zones - 1, zones)] {
                let first = first_nodes(&views, domain, &zone);
                expect_that!(first.len(), eq(1), "{nodes} nodes, {domain} in {zone}");
                let is_partitioned = |index: &usize| fleet.nodes[*index].is_partitioned;
                expect_false!(first.iter().any(is_partitioned), "{nodes} nodes, {domain}");
            }
        }
    }
}

/// Guards against partitions that are remembered longer than they last.
#[gtest]
fn all_nodes_learn_that_partitions_have_ended() {
    for (nodes, zones) in FLEETS {
        let mut fleet = Fleet::new(nodes, zones);
        fleet.run_until(START_TIME, Fleet::is_settled);
        set_partitioned(&mut fleet, |index| index % 2 == 0);
        fleet.run(PROPAGATION_TIME);
        expect_true!(all_know(&mut fleet), "{nodes} nodes");
        set_partitioned(&mut fleet, |_| false);
        fleet.run(PROPAGATION_TIME);
        expect_true!(all_know(&mut fleet), "{nodes} nodes, later");
    }
}

/// Guards against a fleet without any controller when no node reaches targets.
#[gtest]
fn domains_have_a_controller_while_all_nodes_are_partitioned() {
    let mut fleet = Fleet::new(6, 3);
    fleet.run_until(START_TIME, Fleet::is_settled);
    set_partitioned(&mut fleet, |_| true);
    fleet.run(PROPAGATION_TIME);
    let views = views(&mut fleet);
    for domain in DOMAINS {
        expect_that!(first_nodes(&views, domain, "zone-1").len(), eq(1));
    }
}

/// Guards against messages that grow while nothing is wrong.
#[gtest]
fn messages_name_partitioned_nodes_only_if_there_are_any() {
    let mut fleet = Fleet::new(6, 3);
    fleet.run_until(START_TIME, Fleet::is_settled);
    let names_any = |fleet: &mut Fleet| {
        let status = fleet.status("node-000");
        fleet.now += PROPAGATION_TIME;
        let now = fleet.now;
        let node = &mut fleet.nodes["node-000"];
        let due = node.membership.due_messages(|| status, now);
        let encoded = due.iter().map(|target| {
            let doc = GossipDoc::from(&target.gossip);
            rmp_serde::to_vec_named(&doc).expect("message must serialize")
        });
        let field = b"partitioned";
        encoded
            .into_iter()
            .any(|bytes| bytes.windows(field.len()).any(|window| window == field))
    };
    expect_false!(names_any(&mut fleet));
    set_partitioned(&mut fleet, |index| index == 0);
    expect_true!(names_any(&mut fleet));
}
