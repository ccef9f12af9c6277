//! Bursts of one model's requests, and the groups that change over for them.

use std::time::Duration;

use briarswitch_core::assembly::ChangeoverOutcome;
use briarswitch_core::changeover::{CHANGEOVER_INTERVAL, CLOSE_LIMIT};
use briarswitch_core::id::{Moment, TargetId};
use briarswitch_core::target::MembershipState;
use googletest::prelude::*;

#[path = "changeover/simulation.rs"]
mod simulation;

use simulation::{FleetSimulation, OrderFaults, DOMAINS, LARGE, LOAD_TIME, SIZES, SMALL};

/// Time from the start of a burst until there are more slots, where the weights are staged.
const GROWTH_TIME: Duration = Duration::from_secs(2);
/// Shortest and longest time to join a group if the host already holds the weights.
const WARMUPS: [Duration; 2] = [Duration::from_millis(1_100), Duration::from_millis(1_600)];
/// Time in which all spare groups have prepared, one after the other.
const PREPARATION_TIME: Duration = Duration::from_secs(240);
/// Groups that the smaller model's requests fill during a burst; it has six.
const BURST: f64 = 14.0;
/// Groups of the larger model beyond what its requests fill and a quarter.
const SPARE: usize = 4;

/// Returns the time until there are more slots that the requirement allows for a warmup.
///
/// Where targets join fastest, the requirement leaves 0.6 s for the decision and the closing. Slower
/// targets get the same.
fn growth_time(warmup: Duration) -> Duration {
    GROWTH_TIME + warmup - WARMUPS[0]
}

fn prepared_fleet(warmup: Duration, seed: u64) -> FleetSimulation {
    let mut fleet = FleetSimulation::new(warmup, seed);
    fleet.prepare(LARGE, SMALL, SPARE);
    fleet.run(CHANGEOVER_INTERVAL);
    fleet
}

/// Runs until a model has more open groups than now, and returns the time that this takes.
fn time_to_growth(fleet: &mut FleetSimulation, model: &str, limit: Duration) -> Option<Moment> {
    let (begun, before) = (fleet.now, fleet.open_groups(model));
    while fleet.now < begun + limit {
        fleet.round();
        if fleet.open_groups(model) > before {
            return Some(fleet.now - begun);
        }
    }
    None
}

/// Guards against groups of the larger model that stay unprepared while they are idle, and against
/// standbys that count for the model that they prepare for.
#[gtest]
fn spare_groups_prepare_and_go_on_serving() {
    let mut fleet = FleetSimulation::new(WARMUPS[0], 1);
    expect_that!(fleet.open_groups(LARGE), eq(6));
    expect_that!(fleet.open_groups(SMALL), eq(6));
    let end = fleet.now + PREPARATION_TIME;
    while fleet.now < end {
        fleet.round();
        expect_that!(fleet.open_groups(LARGE), eq(6));
    }
    expect_that!(
        fleet.standbys(LARGE),
        eq(4),
        "six less one and a quarter, rounded up"
    );
    expect_that!(fleet.events.len(), eq(0));
}

/// Guards against a burst during which nothing moves although another model's groups are idle.
#[gtest]
fn slots_grow_within_two_seconds_where_weights_are_staged() {
    for warmup in WARMUPS {
        let mut fleet = prepared_fleet(warmup, 2);
        fleet.load[SMALL] = BURST;
        let took = time_to_growth(&mut fleet, SMALL, Duration::from_secs(20));
        expect_that!(took, some(le(growth_time(warmup))), "{warmup:?}");
        fleet.run(Duration::from_secs(10));
        expect_that!(fleet.open_groups(SMALL) as f64, ge(BURST), "{warmup:?}");
    }
}

/// Guards against a burst that ends before the first groups have loaded.
#[gtest]
fn slots_grow_within_the_time_of_a_load_otherwise() {
    for warmup in WARMUPS {
        let mut fleet = FleetSimulation::new(warmup, 3);
        fleet.load[SMALL] = BURST;
        let took = time_to_growth(&mut fleet, SMALL, Duration::from_secs(60));
        expect_that!(
            took,
            some(le(LOAD_TIME + growth_time(warmup))),
            "{warmup:?}"
        );
    }
}

/// Guards against a group whose long streams keep its targets from the other model.
#[gtest]
fn streams_that_do_not_end_delay_a_changeover_by_a_second_and_a_half() {
    let mut fleet = prepared_fleet(WARMUPS[0], 4);
    fleet.stream_time = Duration::from_secs(60);
    fleet.load[SMALL] = BURST;
    let took = time_to_growth(&mut fleet, SMALL, Duration::from_secs(20));
    expect_that!(took, some(le(growth_time(WARMUPS[0]) + CLOSE_LIMIT)));
}

/// Guards against callers of the giving model that are refused during another model's burst.
#[gtest]
fn the_giving_model_keeps_its_need_plus_a_quarter() {
    for (load, kept) in [(1.0, 2), (2.4, 3), (3.2, 4), (4.8, 6)] {
        let mut fleet = FleetSimulation::new(WARMUPS[0], 5);
        fleet.prepare(LARGE, SMALL, 6);
        fleet.load[LARGE] = load;
        fleet.run(CHANGEOVER_INTERVAL);
        fleet.load[SMALL] = 30.0;
        for _ in 0..200 {
            fleet.round();
            expect_that!(fleet.open_groups(LARGE), ge(kept), "{load}");
        }
    }
}

/// Guards against several controllers that each give what the model lacks, because they see each
/// other's targets late.
#[gtest]
fn all_controllers_together_give_no_more_than_planned() {
    let mut fleet = FleetSimulation::new(WARMUPS[0], 6);
    fleet.prepare(LARGE, SMALL, 6);
    fleet.run(CHANGEOVER_INTERVAL);
    fleet.load[SMALL] = 9.0;
    fleet.run(Duration::from_secs(8));
    let begun = fleet.events.iter().filter(|event| event.end.is_none());
    expect_that!(
        begun.count(),
        eq(2),
        "one of eight for two of four; three and what waits lack"
    );
}

/// Guards against groups that change over with each swing of the load instead of serving.
#[gtest]
fn an_oscillating_load_changes_a_group_over_at_most_once_in_ten_seconds() {
    for period in [1, 3, 6, 20] {
        let mut fleet = prepared_fleet(WARMUPS[0], 7);
        fleet.prepare(SMALL, LARGE, 4);
        for half in 0..60 / period {
            let [large, small] = if half % 2 == 0 {
                [1.0, BURST]
            } else {
                [5.0, 2.0]
            };
            fleet.load[LARGE] = large;
            fleet.load[SMALL] = small;
            fleet.run(Duration::from_secs(period));
        }
        for (id, target) in &fleet.targets {
            let gaps = target.changed.windows(2).map(|pair| pair[1] - pair[0]);
            for gap in gaps {
                expect_that!(gap, ge(CHANGEOVER_INTERVAL), "{id} {period}");
            }
        }
        expect_that!(fleet.violations, is_empty());
    }
}

/// Guards against groups that stay with a model after its burst while another one needs them.
#[gtest]
fn groups_change_back_when_the_other_model_needs_them() {
    let mut fleet = prepared_fleet(WARMUPS[1], 8);
    fleet.load[SMALL] = BURST;
    fleet.run(Duration::from_secs(15));
    let during = fleet.open_groups(LARGE);
    expect_that!(during, lt(6));
    fleet.load[SMALL] = 2.0;
    // The first model's burst is over before that of the other one begins.
    fleet.run(Duration::from_secs(5));
    fleet.load[LARGE] = 5.0;
    let took = time_to_growth(&mut fleet, LARGE, Duration::from_secs(60));
    expect_that!(took, some(le(LOAD_TIME + growth_time(WARMUPS[1]))));
}

/// Returns the number of targets in open groups.
fn serving(fleet: &FleetSimulation) -> usize {
    fleet.open_groups(LARGE) * SIZES[0] + fleet.open_groups(SMALL) * SIZES[1]
}

/// Runs until a group of the larger model is in a state; returns its leader.
fn run_until(fleet: &mut FleetSimulation, state: MembershipState) -> TargetId {
    for _ in 0..100 {
        fleet.round();
        if let Some(leader) = fleet.member_in(state, LARGE) {
            return leader;
        }
    }
    panic!("no group of the larger model is {state:?}");
}

/// Guards against targets that serve no model because the controller that closed their group died.
#[gtest]
fn a_successor_finishes_or_undoes_what_a_dead_controller_began() {
    for millis in [0, 50, 150, 250, 350, 450, 600, 1_500, 2_000] {
        let mut fleet = prepared_fleet(WARMUPS[0], 9);
        fleet.stream_time = Duration::from_millis(200);
        fleet.load[SMALL] = BURST;
        run_until(&mut fleet, MembershipState::Closing);
        fleet.run(Duration::from_millis(millis));
        for domain in 0..DOMAINS {
            fleet.replace_controller(domain);
        }
        fleet.run(Duration::from_secs(20));
        expect_that!(serving(&fleet), eq(72), "{millis}");
        expect_that!(fleet.open_groups(SMALL), gt(6), "{millis}");
        expect_that!(fleet.violations, is_empty());
    }
}

/// Guards against a standby that a new controller takes for a target that is about to move.
#[gtest]
fn a_successor_leaves_standbys_where_they_are() {
    let mut fleet = prepared_fleet(WARMUPS[0], 10);
    for domain in 0..DOMAINS {
        fleet.replace_controller(domain);
    }
    for _ in 0..100 {
        fleet.round();
        expect_that!(fleet.open_groups(LARGE), eq(6));
    }
}

/// Guards against members of a serving group that join another one, and against targets that stay
/// idle, when orders are lost or carried out late.
#[gtest]
fn orders_that_are_not_answered_leave_no_target_idle() {
    for seed in 0..6 {
        let mut fleet = prepared_fleet(WARMUPS[0], seed);
        fleet.stream_time = Duration::from_millis(400);
        fleet.faults = OrderFaults {
            lost: 0.2,
            late: 0.2,
        };
        fleet.load[SMALL] = BURST;
        fleet.run(Duration::from_secs(10));
        fleet.faults = OrderFaults::default();
        fleet.run(Duration::from_secs(15));
        expect_that!(fleet.violations, is_empty(), "{seed}");
        expect_that!(serving(&fleet), eq(72), "{seed}");
        expect_that!(fleet.open_groups(SMALL), gt(6), "{seed}");
    }
}

/// Guards against targets that stay idle because one member of their group died while it closed.
#[gtest]
fn the_others_form_what_they_can_if_a_member_dies() {
    for is_leader in [true, false] {
        let mut fleet = prepared_fleet(WARMUPS[0], 11);
        fleet.stream_time = Duration::from_millis(500);
        fleet.load[SMALL] = BURST;
        let leader = run_until(&mut fleet, MembershipState::Closing);
        let group = fleet.targets[&leader].facts.membership.clone();
        let others = fleet.targets.iter().filter(|(id, target)| {
            let membership = target.facts.membership.as_ref();
            let group = group.as_ref().map(|group| &group.group);
            **id != leader && membership.map(|membership| &membership.group) == group
        });
        let others: Vec<TargetId> = others.map(|(id, _)| id.clone()).collect();
        fleet.kill(if is_leader { &leader } else { &others[0] });
        fleet.run(Duration::from_secs(20));
        expect_that!(
            serving(&fleet),
            eq(72),
            "{is_leader}: three spares replace it"
        );
        expect_that!(fleet.violations, is_empty());
    }
}

/// Guards against a model that loses a group for good when one member of a standby group dies.
#[gtest]
fn a_standby_group_that_loses_a_member_serves_its_own_model_again() {
    let mut fleet = FleetSimulation::new(WARMUPS[0], 12);
    for target in fleet.targets.values_mut() {
        if target.facts.membership.is_none() {
            target.facts.staged = vec![LARGE.to_owned()];
        }
    }
    fleet.prepare(LARGE, SMALL, SPARE);
    fleet.run(CHANGEOVER_INTERVAL);
    fleet.kill("d0-t3");
    fleet.run(Duration::from_secs(3));
    expect_that!(fleet.open_groups(LARGE), eq(6));
}

/// Guards against a changeover that the logs show as begun for ever.
#[gtest]
fn each_changeover_that_begins_ends() {
    let mut fleet = prepared_fleet(WARMUPS[0], 13);
    fleet.load[SMALL] = BURST;
    fleet.run(Duration::from_secs(15));
    let ends = fleet.events.iter().filter_map(|event| event.end);
    let ends: Vec<ChangeoverOutcome> = ends.map(|(outcome, _)| outcome).collect();
    expect_that!(ends, not(is_empty()));
    expect_that!(ends, each(eq(&ChangeoverOutcome::Completed)));
    expect_that!(ends.len() * 2, eq(fleet.events.len()));
}
