//! Which observations of a node say something about targets, and not about the node.

use std::time::Duration;

use briarswitch_core::id::Moment;
use briarswitch_core::speed::{JudgedSpeed, SpeedRatio, SpeedSample};
use briarswitch_fleet::speed_sample::SpeedConditions;
use briarswitch_fleet::target_speed::TargetSpeed;
use googletest::prelude::*;

/// Interval at which a node records that it runs.
const TICK: Duration = Duration::from_millis(25);

fn at(millis: u64) -> Moment {
    Duration::from_millis(10_000 + millis)
}

/// Lets a node run from one moment to another.
fn run(conditions: &SpeedConditions, is_reachable: bool, from: u64, until: u64) {
    let mut now = at(from);
    while now <= at(until) {
        conditions.record_tick(is_reachable, now);
        now += TICK;
    }
}

/// Guards against nodes that take the time for which they were frozen for slow responses of all targets.
#[gtest]
fn samples_that_span_a_freeze_do_not_count() {
    let conditions = SpeedConditions::default();
    run(&conditions, true, 0, 1_000);
    expect_true!(conditions.counts(at(900), at(1_010)));
    // Frozen until 3 s; traffic threads may run before the tick that reveals it.
    expect_false!(conditions.counts(at(900), at(3_000)));
    run(&conditions, true, 3_000, 4_000);
    expect_false!(conditions.counts(at(900), at(3_010)));
    expect_false!(conditions.counts(at(2_990), at(3_100)));
    expect_true!(conditions.counts(at(3_050), at(3_100)));
}

/// Guards against ratios from the time in which a node reaches no target, or does not know whether it does.
#[gtest]
fn samples_of_a_partitioned_node_do_not_count() {
    let conditions = SpeedConditions::default();
    run(&conditions, true, 0, 1_000);
    run(&conditions, false, 1_025, 2_000);
    expect_false!(conditions.counts(at(1_500), at(1_900)));
    run(&conditions, true, 2_025, 3_000);
    expect_false!(conditions.counts(at(900), at(2_500)));
    expect_true!(conditions.counts(at(2_100), at(2_500)));
}

fn slow_sample(begun: u64) -> SpeedSample {
    SpeedSample {
        begun_at: at(begun),
        ended_at: at(begun + 400),
        expected: Duration::from_millis(100),
    }
}

/// Guards against a group that inherits the ratio of another one whose leader it has.
#[gtest]
fn another_group_of_the_same_leader_begins_without_a_ratio() {
    let speed = TargetSpeed::default();
    let (first, second) = ("g1".to_owned(), "g2".to_owned());
    speed.judged(Some(&first), at(0));
    for index in 0..6 {
        speed.record(&slow_sample(index * 100));
    }
    speed.record_report(SpeedRatio::nearest(4.0), Duration::ZERO, at(900));
    let before = speed.judged(Some(&first), at(1_000));
    expect_that!(before.own, gt(3.0));
    expect_true!(before.is_judged);
    let after = speed.judged(Some(&second), at(1_000));
    expect_that!(after, eq(JudgedSpeed::default()));
}

/// Guards against a target that stays slow for seconds after it has reported that its pace is normal.
#[gtest]
fn a_normal_pace_clears_the_ratio_at_once() {
    let speed = TargetSpeed::default();
    speed.judged(None, at(0));
    for index in 0..6 {
        speed.record(&slow_sample(index * 100));
    }
    speed.record_report(SpeedRatio::nearest(4.0), Duration::ZERO, at(900));
    speed.clear(at(1_000));
    expect_that!(speed.judged(None, at(1_000)), eq(JudgedSpeed::default()));
}
