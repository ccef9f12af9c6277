//! Simulates nodes without a shared queue that place requests in the groups of one model, while most callers use a few
//! of them.

#[path = "support/crowded_nodes.rs"]
mod crowded_nodes;
#[path = "support/large_engine.rs"]
mod large_engine;

use std::time::Duration;

use googletest::prelude::*;

use crowded_nodes::{Crowding, PlacementCounts, Simulation};

/// Share of the requests served while nodes are crowded, of the share before, that is required.
const MIN_SERVED_SHARE: f64 = 0.75;
/// Share of the placed requests that may go to groups without a free slot.
const MAX_OVERFILLED_SHARE: f64 = 0.12;
/// Time from the beginning of the crowding from which the requirement holds.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Numbers of nodes, and how many of them are crowded at a time.
const FLEETS: [(usize, usize); 5] = [(6, 1), (20, 2), (80, 2), (295, 3), (985, 4)];

fn play(nodes: usize, crowded: usize, utilization: f64, seed: u64) -> PlacementCounts {
    let crowding = Crowding {
        nodes,
        crowded,
        start: Duration::from_secs(6),
        change_interval: Duration::from_secs(4),
        end: Duration::from_secs(18),
    };
    Simulation::new(crowding, utilization, seed).run(CONTACT_TIME)
}

fn check(utilization: f64) {
    for (nodes, crowded) in FLEETS {
        for seed in 0..2 {
            let counts = play(nodes, crowded, utilization, seed);
            let case = format!("{nodes} nodes, {utilization} in use, seed {seed}: {counts:.3?}");
            println!("{case}");
            let required = MIN_SERVED_SHARE * counts.served_before;
            expect_that!(counts.served, ge(required), "{case}");
            expect_that!(counts.overfilled, le(MAX_OVERFILLED_SHARE), "{case}");
        }
    }
}

/// Guards against nodes whose callers wait beside free slots because the slots are divided among all nodes alike.
#[gtest]
fn crowded_nodes_use_the_slots_of_half_full_groups() {
    check(0.5);
}

/// Guards against the same where seven tenths of all slots are in use.
#[gtest]
fn crowded_nodes_use_the_slots_of_mostly_full_groups() {
    check(0.7);
}

/// Guards against the same where nearly all slots are in use.
#[gtest]
fn crowded_nodes_use_the_slots_of_nearly_full_groups() {
    check(0.9);
}
