//! Whatever comes late, twice or in another order, sums are right again soon after.

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

    /// Reports of some nodes arrive in any order and any number, some from earlier lives; then each node
    /// reports once more.
    #[test]
    fn the_last_reports_are_what_counts(
        early in prop::collection::vec((0..4_usize, 0..3_u64, 0..50_u32, 0..300_u64), 0..40),
        last in prop::collection::vec(0..50_u32, 4),
    ) {
        let mut hub = Membership::new(entry("hub", 9));
        let standing = NodeStatus::default();
        for (node, life, requests, time) in early {
            let gossip = report(&format!("n{node}"), life, requests);
            hub.respond(&gossip, &standing, at(time));
        }
        for (node, requests) in last.iter().enumerate() {
            let gossip = report(&format!("n{node}"), 3, *requests);
            hub.respond(&gossip, &standing, at(301));
        }
        let work = hub.peer_work(at(320));
        let known = work.target_requests.get(&target_key(TARGET)).copied().unwrap_or(0);
        prop_assert_eq!(known, last.iter().sum::<u32>());
    }

    /// Nodes stop and wake, links are cut and heal, loads change, at random; when all is well again
    /// every node knows every other and the right sums.
    #[test]
    fn any_run_of_faults_ends_in_full_knowledge(
        steps in prop::collection::vec((0..6_u8, 0..24_usize, 1..9_u64), 1..25),
    ) {
        let mut fleet = Fleet::open(24, 3);
        let names = fleet.names();
        for (kind, index, time) in steps {
            let name = names[index].clone();
            match kind {
                0 => { fleet.silent.insert(name); }
                1 => { fleet.silent.clear(); }
                2 => { fleet.sides.insert(name, 1); }
                3 => { fleet.sides.clear(); }
                4 => {
                    let (zone, life) = {
                        let held = &fleet.nodes[&name].entry;
                        (held.zone.clone(), held.incarnation + 1)
                    };
                    fleet.add(&name, &zone, life);
                }
                _ => fleet.loss = |count| count % 3 == 0,
            }
            fleet.run(Duration::from_millis(time * 200));
        }
        fleet.silent.clear();
        fleet.sides.clear();
        fleet.loss = |_| false;
        fleet.until(Duration::from_secs(12), Fleet::is_settled);
    }
}
