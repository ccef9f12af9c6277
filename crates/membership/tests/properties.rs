//! Sums become correct again after messages were delayed, duplicated, reordered or lost.

mod support;

use std::time::Duration;

use briarswitch_core::id::Moment;
use briarswitch_membership::{
    target_key, Digest, DigestOrigin, Gossip, Heartbeat, Membership, NodeEntry, NodeStatus, WorkSum,
};
use proptest::prelude::*;

use support::{Fleet, TARGET};

fn at(millis: u64) -> Moment {
    Duration::from_millis(10_000 + millis)
}

fn entry(node: &str, incarnation: u64) -> NodeEntry {
    NodeEntry {
        node: node.to_owned(),
        zone: "z".to_owned(),
        address: format!("{node}:1"),
        incarnation,
        link_mbps: 20,
    }
}

fn report(node: &str, incarnation: u64, requests: u32) -> Gossip {
    let work = WorkSum {
        target_requests: [(target_key(TARGET), requests)].into_iter().collect(),
        ..WorkSum::default()
    };
    Gossip {
        sender: entry(node, incarnation),
        digest: Digest {
            members: vec![Heartbeat {
                node: node.to_owned(),
                incarnation,
                age: Duration::ZERO,
                is_leaving: false,
                reads_store: false,
                is_partitioned: false,
                request_rate: 1.0,
            }],
            work,
            ..Digest::empty(DigestOrigin::Node(node.to_owned()))
        },
        relayed: Vec::new(),
        roster_version: None,
        roster: None,
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Reports arrive in any order and number, some from earlier incarnations; then each node reports once more,
    /// and only these last reports count.
    #[test]
    fn only_the_last_reports_count(
        early in prop::collection::vec((0..4_usize, 0..3_u64, 0..50_u32, 0..300_u64), 0..40),
        last in prop::collection::vec(0..50_u32, 4),
    ) {
        let mut hub = Membership::new(entry("hub", 9));
        let status = NodeStatus::default();
        for (node, incarnation, requests, time) in early {
            let gossip = report(&format!("n{node}"), incarnation, requests);
            hub.respond(&gossip, &status, at(time));
        }
        for (node, requests) in last.iter().enumerate() {
            let gossip = report(&format!("n{node}"), 3, *requests);
            hub.respond(&gossip, &status, at(301));
        }
        let work = hub.peer_work(at(320));
        let known = work.target_requests.get(&target_key(TARGET)).copied().unwrap_or(0);
        prop_assert_eq!(known, last.iter().sum::<u32>());
    }

    /// Nodes stop, resume and restart, partitions begin and heal, and messages are lost, at random. After the last
    /// fault every node knows all others and the correct sums.
    #[test]
    fn fleet_recovers_from_any_sequence_of_faults(
        steps in prop::collection::vec((0..6_u8, 0..24_usize, 1..9_u64), 1..25),
    ) {
        let mut fleet = Fleet::new(24, 3);
        let names = fleet.names();
        for (kind, index, time) in steps {
            let name = names[index].clone();
            match kind {
                0 => { fleet.stopped.insert(name); }
                1 => { fleet.stopped.clear(); }
                2 => { fleet.partitions.insert(name, 1); }
                3 => { fleet.partitions.clear(); }
                4 => {
                    let (zone, incarnation) = {
                        let held = &fleet.nodes[&name].entry;
                        (held.zone.clone(), held.incarnation + 1)
                    };
                    fleet.add(&name, &zone, incarnation);
                }
                _ => fleet.is_lost = |count| count % 3 == 0,
            }
            fleet.run(Duration::from_millis(time * 200));
        }
        fleet.stopped.clear();
        fleet.partitions.clear();
        fleet.is_lost = |_| false;
        fleet.run_until(Duration::from_secs(12), Fleet::is_settled);
    }
}
