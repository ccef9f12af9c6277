//! What callers of 60 nodes get from a queue that all nodes share, with knowledge of each other that is 200 ms old.

#[path = "support/large_engine.rs"]
mod large_engine;
#[path = "support/queue_counts.rs"]
mod queue_counts;
#[path = "support/queue_load.rs"]
mod queue_load;
#[path = "support/queue_nodes.rs"]
mod queue_nodes;
#[path = "support/queue_simulation.rs"]
mod queue_simulation;
#[path = "support/slot_shares.rs"]
mod slot_shares;

use std::time::Duration;

use briarswitch_core::id::Moment;
use briarswitch_core::shared_queue::GRANT_TTL;
use googletest::prelude::*;
use queue_counts::{Counts, GRANT_TIME};
use queue_load::{record_load, Arrival, RequestStream, MEAN_SLOT_SECONDS};
use queue_nodes::{Faults, SlotPolicy, GROUPS, SLOTS};
use queue_simulation::Simulation;

/// A second.
const SECOND: Duration = Duration::from_secs(1);
/// Time after a fault for which slots may stay free: the requests of dead nodes end, and gossip reports it.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Latency objective.
const OBJECTIVE: Duration = Duration::from_millis(500);
/// When the groups are full for the first time.
const START: Moment = Duration::from_secs(2);
/// Simulated time.
const DURATION: Duration = Duration::from_secs(20);

/// Returns the share of the slots in use if each is free between two requests for as long as a grant takes.
fn min_used_share() -> f64 {
    MEAN_SLOT_SECONDS / (MEAN_SLOT_SECONDS + GRANT_TIME.as_secs_f64())
}

fn capacity() -> f64 {
    f64::from(SLOTS) * GROUPS as f64 / MEAN_SLOT_SECONDS
}

fn stream(organisation: &'static str, priority: u8, load: f64) -> RequestStream {
    RequestStream {
        organisation,
        priority,
        per_second: load * capacity(),
        tokens: 1_000,
        objective: OBJECTIVE,
        active: (Moment::ZERO, DURATION),
    }
}

fn urgent_and_other(load: f64, seed: u64) -> Vec<Arrival> {
    let streams = [0, 1, 2].map(|priority| stream("", priority, load / 3.0));
    record_load(&streams, seed)
}

fn play(policy: SlotPolicy, load: &[Arrival]) -> Counts {
    Simulation::new(policy, load, Faults::default()).run(DURATION)
}

/// Guards against a queue that is no better than the slot shares of each node. At 1.2 times the capacity those leave
/// requests waiting beside free slots, serve less urgent requests first, and send a third to full groups.
#[gtest]
fn the_shared_queue_serves_more_on_time_than_slot_shares() {
    for load in [0.95, 1.2, 1.5] {
        let recorded = urgent_and_other(load, 1);
        let shared = play(SlotPolicy::SharedQueue, &recorded);
        let shares = play(SlotPolicy::SlotShares, &recorded);
        report(load, "shared queue", &shared);
        report(load, "slot shares", &shares);
        expect_that!(shared.on_time, gt(shares.on_time));
        expect_that!(shared.rejected * 100, lt(shared.sent));
        expect_that!(shared.inversions, eq(0));
        expect_that!(shared.used_share(START, DURATION), ge(min_used_share()));
    }
}

/// Prints what callers got.
fn report(load: f64, name: &str, counts: &Counts) {
    let mut waits = counts.refusal_waits.clone();
    waits.sort_unstable();
    println!(
        "load {load} {name}: {} requests, {} served, {} on time, {} refused after {:?} in the median; {} sent, {} \
         rejected as full, {} before a more urgent one; {:.1} % of waits beside free slots; {:.1} % of slots used \
         meanwhile",
        counts.arrived,
        counts.served,
        counts.on_time,
        waits.len(),
        waits.get(waits.len() / 2),
        counts.sent,
        counts.rejected,
        counts.inversions,
        100.0 * counts.idle_share(START, DURATION),
        100.0 * counts.used_share(START, DURATION),
    );
}

/// Guards against messages for a fleet that is not overloaded having any effect on its callers.
#[gtest]
fn every_request_is_on_time_while_slots_are_plentiful() {
    for seed in 0..2 {
        let counts = play(SlotPolicy::SharedQueue, &urgent_and_other(0.7, seed));
        expect_that!(counts.on_time + 5, ge(counts.arrived));
        expect_that!(counts.rejected * 100, lt(counts.sent));
    }
}

/// Guards against slots that are lost with a node: requests that it had running or waiting, and slots granted to it.
#[gtest]
fn slots_of_nodes_that_die_are_used_by_the_others() {
    let recorded = urgent_and_other(1.5, 3);
    let death = Duration::from_secs(8);
    let faults = Faults {
        kills: (0..10).map(|node| (death, node)).collect(),
        ..Faults::default()
    };
    let counts = Simulation::new(SlotPolicy::SharedQueue, &recorded, faults).run(DURATION);
    let used = counts.used_share(death + SETTLE_TIME, DURATION);
    expect_that!(used, ge(min_used_share()));
    expect_that!(counts.rejected * 100, lt(counts.sent));
}

/// Guards against a coordinator that needs its predecessor's state: it may send more requests to full groups than have
/// slots only for those that its predecessor granted in its last 250 ms.
#[gtest]
fn a_coordinator_that_takes_over_starts_from_gossip() {
    for seed in 0..2 {
        let recorded = urgent_and_other(1.2, seed);
        let takeover = Duration::from_secs(10);
        let faults = Faults {
            takeover: Some(takeover),
            ..Faults::default()
        };
        let counts = Simulation::new(SlotPolicy::SharedQueue, &recorded, faults).run(DURATION);
        let granted = counts.served_within(takeover - GRANT_TTL, takeover);
        let settled = takeover + SETTLE_TIME;
        expect_that!(counts.rejected_within(takeover, settled), le(granted));
        let rejected = counts.rejected_within(settled, DURATION);
        let served = counts.served_within(settled, DURATION);
        expect_that!(rejected * 100, lt(served));
        expect_that!(counts.used_share(settled, DURATION), ge(min_used_share()));
    }
}

/// Guards against two coordinators that each fill all slots while the nodes' views differ: the excess in any 250 ms is
/// at most what one of them grants in that time.
#[gtest]
fn two_coordinators_overfill_by_the_grants_of_one() {
    for seed in 0..2 {
        let recorded = urgent_and_other(1.2, seed);
        let from = Duration::from_secs(10);
        let faults = Faults {
            split: Some((from, from + SECOND)),
            ..Faults::default()
        };
        let counts = Simulation::new(SlotPolicy::SharedQueue, &recorded, faults).run(DURATION);
        for window in 0..8 {
            let start = from + GRANT_TTL * window;
            let rejected = counts.rejected_within(start, start + GRANT_TTL);
            let sent = rejected + counts.served_within(start, start + GRANT_TTL);
            expect_that!(rejected, le(sent / 2));
        }
        let settled = from + SECOND + SETTLE_TIME;
        let rejected = counts.rejected_within(settled, DURATION);
        let served = counts.served_within(settled, DURATION);
        expect_that!(rejected * 100, lt(served));
        expect_that!(counts.used_share(settled, DURATION), ge(min_used_share()));
    }
}

/// Guards against overtaken messages: one list in ten arrives after later ones of its node, and grants arrive late.
#[gtest]
fn overtaken_messages_neither_lose_nor_duplicate_slots() {
    for seed in 0..2 {
        let recorded = urgent_and_other(1.2, seed);
        let faults = Faults {
            delayed_share: 0.1,
            ..Faults::default()
        };
        let counts = Simulation::new(SlotPolicy::SharedQueue, &recorded, faults).run(DURATION);
        expect_that!(counts.rejected * 100, lt(counts.sent));
        expect_that!(counts.unused_grants * 100, lt(counts.sent));
    }
}

/// Guards against shares that depend on the number or the size of an organisation's requests instead of its weight. The
/// stated error is one request per organisation, here at both ends of the time.
#[gtest]
fn organisations_get_tokens_by_weight() {
    let organisations = [
        ("many", 1, 500, 0.75),
        ("double", 2, 1_000, 0.75),
        ("long", 1, 8_000, 0.15),
    ];
    let streams = organisations.map(|(organisation, _, tokens, load)| RequestStream {
        tokens,
        ..stream(organisation, 0, load)
    });
    let recorded = record_load(&streams, 5);
    let mut simulation = Simulation::new(SlotPolicy::SharedQueue, &recorded, Faults::default());
    let weights =
        organisations.map(|(organisation, weight, _, _)| (organisation.to_owned(), weight));
    simulation.set_weights(&weights.into_iter().collect());
    let counts = simulation.run(DURATION);
    let per_weight = |(organisation, weight, _, _): (&str, u32, u64, f64)| {
        counts.tokens_within(organisation, START * 2, DURATION) / u64::from(weight)
    };
    let [many, double, long] = organisations.map(per_weight);
    expect_that!(many.abs_diff(long), le(2 * (500 + 8_000)));
    expect_that!(many.abs_diff(double), le(2 * (500 + 500)));
    expect_that!(double.abs_diff(long), le(2 * (500 + 8_000)));
}

/// Guards against an organisation of low priority that gets nothing while more urgent requests fill all slots: of any
/// 16 grants one is for it once it has waited for longer than is on time.
#[gtest]
fn an_organisation_of_low_priority_is_not_starved() {
    let streams = [stream("urgent", 0, 1.5), stream("low", 3, 0.2)];
    let counts = play(SlotPolicy::SharedQueue, &record_load(&streams, 6));
    let mut since_low = 0;
    for (at, organisation, _) in &counts.starts {
        since_low = if *organisation == "low" {
            0
        } else {
            since_low + 1
        };
        // Grants of the time in which it may be on time, and 16 that may pass each other on the way.
        let on_time = capacity() * OBJECTIVE.as_secs_f64();
        expect_that!(f64::from(since_low), le(on_time + 32.0), "at {at:?}");
    }
}
