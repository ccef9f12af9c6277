//! Simulated fleets with hubs: propagation time, cost, node failures, message loss and partitions.

mod support;

use std::time::Duration;

use briarswitch_membership::NodeEntry;
use googletest::prelude::*;

use support::{zone_of, Fleet};

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Time within which a change reaches all nodes: report, hubs, zones, hubs, response.
const PROPAGATION_TIME: Duration = ms(900);

fn settled(nodes: usize, zones: usize) -> Fleet {
    let mut fleet = Fleet::new(nodes, zones);
    fleet.run_until(ms(6_000), Fleet::is_settled);
    fleet
}

#[gtest]
fn nodes_discover_each_other_in_fleets_of_every_size() {
    for (nodes, zones) in [(1, 1), (2, 1), (6, 3), (22, 5), (81, 3), (120, 34)] {
        settled(nodes, zones);
    }
}

/// If all nodes sent messages to each other, the cost of a node would grow with the fleet: threefold from 60
/// to 295 nodes.
#[gtest]
fn messages_per_node_do_not_grow_with_the_fleet() {
    let cost = |nodes| {
        let mut fleet = settled(nodes, 5);
        let before: u64 = fleet.nodes.values().map(|node| node.sent_messages).sum();
        fleet.run(ms(5_000));
        let after: u64 = fleet.nodes.values().map(|node| node.sent_messages).sum();
        (after - before) as f64 / nodes as f64
    };
    let (few, many) = (cost(30), cost(300));
    expect_that!(
        many,
        lt(few),
        "{few} messages per node with 30 nodes, {many} with 300"
    );
    expect_that!(many, lt(5.0 * 12.0));
}

#[gtest]
fn change_of_load_reaches_all_nodes_within_a_bounded_time() {
    let mut fleet = settled(60, 5);
    for (step, name) in fleet.names().into_iter().step_by(7).enumerate() {
        fleet.nodes[&name].requests = 50 + step as u32;
        let total: u32 = fleet.nodes.values().map(|node| node.requests).sum();
        let took = fleet.run_until(ms(3_000), |fleet| {
            let names = fleet.names();
            names
                .iter()
                .all(|other| fleet.known_requests(other) == total - fleet.nodes[other].requests)
        });
        expect_that!(took, le(PROPAGATION_TIME), "{name}");
    }
}

/// A hub stops without notice while other nodes report to it. If they waited for it, a third of the zone would
/// know nothing of the load of other nodes for seconds, and would count as lost.
#[gtest]
fn failure_of_a_hub_is_bridged_within_a_second() {
    let mut fleet = settled(60, 3);
    let zone = zone_of(0, 3);
    for _ in 0..3 {
        let hub = fleet.hubs(&zone).remove(0);
        fleet.stopped.insert(hub);
        fleet.run(ms(1_000));
        let names = fleet.names();
        let up: Vec<&String> = names
            .iter()
            .filter(|name| !fleet.stopped.contains(*name))
            .collect();
        let fewest_live = up.iter().map(|name| fleet.live_peers(name)).min();
        // The stopped hub may still count as live; the other nodes must do so all the time.
        expect_that!(fewest_live, some(ge(up.len() - 1)));
        let known: Vec<u32> = up.iter().map(|name| fleet.known_requests(name)).collect();
        expect_that!(known.into_iter().min(), some(ge(up.len() as u32 - 1)));
        fleet.run_until(ms(2_500), Fleet::is_settled);
    }
}

/// The first messages between two hubs of a zone are lost, so that they avoid each other, and the hubs that the
/// other nodes report to do not pass on information about hubs. If the response to a probe did not describe its
/// own sender, each hub would do the zone's work for ever, and the calls to the store would double.
#[gtest]
fn hubs_whose_first_messages_were_lost_find_each_other() {
    let mut fleet = Fleet::new(4, 1);
    fleet.partitions.insert("node-000".to_owned(), 1);
    fleet.run(ms(3_000));
    fleet.partitions.clear();
    let took = fleet.run_until(ms(5_000), Fleet::is_settled);
    expect_that!(took, le(ms(2_500)));
}

/// A partition splits every zone and heals long after the nodes of the other half have timed out. If nodes sent
/// messages to live nodes only, the halves would never merge again.
#[gtest]
fn partitioned_halves_of_a_fleet_merge_again() {
    let mut fleet = settled(60, 5);
    for (index, name) in fleet.names().into_iter().enumerate() {
        fleet.partitions.insert(name, (index as u32 / 5) % 2);
    }
    let took = fleet.run_until(ms(6_000), Fleet::is_settled);
    // The nodes of the other half time out first; then each half finds hubs of its own in every zone.
    expect_that!(took, le(ms(5_000)), "partitioned");
    fleet.run(ms(5_000));
    fleet.partitions.clear();
    let took = fleet.run_until(ms(10_000), Fleet::is_settled);
    expect_that!(took, le(ms(5_000)), "merged");
}

/// If no messages went to a zone without live nodes, a zone that was cut off would remain unknown after the
/// partition has healed.
#[gtest]
fn zone_is_found_again_after_a_partition() {
    let mut fleet = settled(50, 5);
    let names = fleet.names();
    for name in names
        .iter()
        .filter(|name| fleet.nodes[*name].entry.zone == zone_of(2, 5))
    {
        fleet.partitions.insert(name.clone(), 1);
    }
    fleet.run_until(ms(4_000), Fleet::is_settled);
    fleet.run(ms(8_000));
    fleet.partitions.clear();
    let took = fleet.run_until(ms(5_000), Fleet::is_settled);
    expect_that!(took, le(ms(2_500)));
}

/// Every node restarts as a new incarnation before it has timed out at the others. Entries and roster versions
/// of earlier incarnations must not keep the nodes from finding each other.
#[gtest]
fn nodes_find_each_other_after_all_have_restarted() {
    let mut fleet = settled(60, 5);
    for name in fleet.names() {
        let zone = fleet.nodes[&name].entry.zone.clone();
        fleet.add(&name, &zone, 2);
    }
    let took = fleet.run_until(ms(5_000), Fleet::is_settled);
    expect_that!(took, le(ms(2_000)));
}

/// One message in four is lost for a while. If sums were updated by increments, one lost increment would leave
/// them wrong for ever: empty groups would look full, or full ones empty.
#[gtest]
fn lost_messages_leave_no_wrong_sums() {
    let mut fleet = settled(40, 4);
    fleet.is_lost = |count| count.wrapping_mul(2_654_435_761) % 4 == 0;
    fleet.run(ms(8_000));
    fleet.is_lost = |_| false;
    let took = fleet.run_until(ms(6_000), Fleet::is_settled);
    expect_that!(took, le(ms(4_500)));
}

/// All other nodes must learn that a node is leaving, or they would still forward requests through it.
#[gtest]
fn leaving_node_no_longer_counts_as_live() {
    let mut fleet = settled(30, 3);
    for name in ["node-004", "node-007"] {
        fleet.nodes[name].is_leaving = true;
    }
    fleet.run_until(ms(2_000), |fleet| {
        let names = fleet.names();
        let staying = names.iter().filter(|name| !fleet.nodes[*name].is_leaving);
        let live: Vec<usize> = staying.map(|name| fleet.live_peers(name)).collect();
        live.iter().all(|count| *count == 27)
    });
}

/// Guards against nodes that are no longer heard by anyone because the time of day, which numbers the incarnations,
/// was stepped back before they started again.
#[gtest]
fn nodes_that_restart_as_an_earlier_incarnation_are_heard_again() {
    for restarted in [1, 3, 6] {
        let mut fleet = Fleet::new(0, 1);
        for index in 0..6 {
            fleet.add(&format!("node-{index:03}"), &zone_of(index, 3), 1_000);
        }
        fleet.run_until(ms(6_000), Fleet::is_settled);
        for index in 0..restarted {
            let earlier = 400 + 100 * index as u64;
            fleet.add(&format!("node-{index:03}"), &zone_of(index, 3), earlier);
        }
        fleet.run(ms(200));
        let took = fleet.run_until(ms(6_000), Fleet::is_settled);
        expect_that!(took, le(ms(5_000)), "{restarted} restarted");
    }
}

/// Guards against a process whose name another machine has taken over making itself the later incarnation again.
#[gtest]
fn a_replaced_node_does_not_become_the_later_incarnation() {
    let mut fleet = settled(6, 3);
    let replaced = NodeEntry {
        address: "elsewhere:1".to_owned(),
        incarnation: 2,
        ..fleet.nodes["node-000"].entry.clone()
    };
    let now = fleet.now;
    for node in fleet.nodes.values_mut() {
        node.membership.add_node(&replaced, now);
    }
    fleet.run(ms(5_000));
    let own = fleet.nodes["node-000"].membership.own().incarnation;
    expect_that!(own, eq(1));
}

/// Guards against two processes of one node, of which one still has its address, outnumbering each other without end.
#[gtest]
fn a_process_without_its_address_does_not_become_the_later_incarnation() {
    let mut fleet = settled(6, 3);
    let later = NodeEntry {
        incarnation: 2,
        ..fleet.nodes["node-000"].entry.clone()
    };
    let now = fleet.now;
    let without = &mut fleet.nodes.get_mut("node-000").expect("a node").membership;
    without.set_has_address(false);
    without.add_node(&later, now);
    expect_that!(without.own().incarnation, eq(1));
    without.set_has_address(true);
    without.add_node(&later, now);
    expect_that!(without.own().incarnation, eq(3));
}
