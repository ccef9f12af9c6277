//! When a node counts as partitioned from all targets, and when it returns.

use std::time::Duration;

use briarswitch_core::reachability::{
    ProbeRound, Reachability, ReachabilityTracker, TargetSilence, VerificationReason,
};
use googletest::prelude::*;

const START: Duration = Duration::from_secs(10);

fn after(millis: u64) -> Duration {
    START + Duration::from_millis(millis)
}

/// Returns what a node with twenty targets hears if all have been silent for `silence`, and so many of them have requests.
fn heard(silence: u64, silent_targets: usize) -> TargetSilence {
    TargetSilence {
        silence: Duration::from_millis(silence),
        silent_targets,
        known_targets: 20,
    }
}

fn round(probed: usize, reached: usize) -> ProbeRound {
    ProbeRound {
        probed,
        reached,
        is_late: false,
    }
}

/// Returns a tracker of a node that is partitioned since [`START`].
fn partitioned() -> ReachabilityTracker {
    let mut tracker = ReachabilityTracker::default();
    tracker.begin_due(&heard(200, 3), START);
    tracker.end_round(&round(4, 0), START);
    tracker
}

/// Guards against a node that takes the silence of one target for its own partition.
#[gtest]
fn one_silent_or_failing_target_is_no_reason_to_probe() {
    let mut tracker = ReachabilityTracker::default();
    expect_that!(tracker.begin_due(&heard(900, 1), START), none());
    tracker.record_failure(&"t1".to_owned(), START);
    tracker.record_failure(&"t1".to_owned(), after(1));
    expect_that!(tracker.begin_due(&heard(0, 0), after(2)), none());
    tracker.record_failure(&"t2".to_owned(), after(3));
    expect_that!(
        tracker.begin_due(&heard(0, 0), after(4)),
        some(eq(VerificationReason::Failures))
    );
}

/// Guards against a node that never finds out because it has only one target.
#[gtest]
fn a_node_with_one_target_probes_it_alone() {
    let mut tracker = ReachabilityTracker::default();
    let only = TargetSilence {
        known_targets: 1,
        ..heard(200, 1)
    };
    expect_that!(tracker.begin_due(&only, START), some(anything()));
    tracker.end_round(&round(1, 0), START);
    expect_that!(tracker.state(), eq(Reachability::Partitioned));
}

/// Guards against a partition that is declared although one target was reached, or by a node that was itself paused.
#[gtest]
fn only_a_round_without_any_answer_in_time_shows_a_partition() {
    let mut tracker = ReachabilityTracker::default();
    tracker.begin_due(&heard(200, 3), START);
    expect_that!(tracker.state(), eq(Reachability::Verifying));
    tracker.end_round(&round(4, 1), START);
    expect_that!(tracker.state(), eq(Reachability::Reachable));
    let mut tracker = ReachabilityTracker::default();
    tracker.begin_due(&heard(200, 3), START);
    let late = ProbeRound {
        is_late: true,
        ..round(4, 0)
    };
    tracker.end_round(&late, after(900));
    expect_that!(tracker.state(), eq(Reachability::Reachable));
    expect_that!(
        tracker.begin_due(&heard(1_100, 3), after(901)),
        some(anything())
    );
}

/// Guards against probes at every tick of a node whose targets take long.
#[gtest]
fn a_round_that_reached_a_target_dispels_doubts_for_a_while() {
    let mut tracker = ReachabilityTracker::default();
    tracker.begin_due(&heard(200, 3), START);
    tracker.end_round(&round(4, 4), START);
    expect_that!(tracker.begin_due(&heard(400, 3), after(300)), none());
    expect_that!(
        tracker.begin_due(&heard(700, 3), after(600)),
        some(eq(VerificationReason::Silence))
    );
}

/// Guards against a node that takes all requests back because one target answered, and gives them away again.
#[gtest]
fn a_node_returns_when_one_target_and_then_half_of_several_answer() {
    let mut tracker = partitioned();
    let silent = heard(2_000, 0);
    expect_that!(tracker.begin_due(&silent, after(100)), none());
    expect_that!(tracker.begin_due(&silent, after(250)), some(anything()));
    expect_that!(tracker.sample_size(), eq(1));
    tracker.end_round(&round(1, 1), after(251));
    expect_that!(tracker.state(), eq(Reachability::Partitioned));
    expect_that!(tracker.begin_due(&silent, after(252)), some(anything()));
    expect_that!(tracker.sample_size(), eq(4));
    tracker.end_round(&round(4, 1), after(253));
    expect_that!(tracker.state(), eq(Reachability::Partitioned));
    expect_that!(tracker.sample_size(), eq(1));
    expect_that!(tracker.begin_due(&silent, after(510)), some(anything()));
    tracker.end_round(&round(1, 1), after(511));
    tracker.begin_due(&silent, after(512));
    tracker.end_round(&round(4, 2), after(513));
    expect_that!(tracker.state(), eq(Reachability::Reachable));
}
