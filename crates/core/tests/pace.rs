//! Groups with members that report a slow pace: when they are closed, and of whom they are formed again.

#[path = "support/domain_simulation.rs"]
mod domain_simulation;

use briarswitch_core::assembly::{TargetFacts, TargetStatus};
use briarswitch_core::id::*;
use briarswitch_core::layout::DomainLayout;
use briarswitch_core::speed::SpeedRatio;
use briarswitch_core::target::MembershipState;
use googletest::prelude::*;
use indexmap::IndexMap;

use domain_simulation::DomainSimulation;

const MODEL: &str = "m";
const OTHER_MODEL: &str = "other";
const GROUP_SIZE: usize = 4;
/// Control rounds in which a group is closed and formed again.
const ROUNDS: usize = 8;

/// Creates a domain of two open groups and some free targets, all of which hold the weights.
fn open_domain(free: usize) -> DomainSimulation {
    let models = [(MODEL, GROUP_SIZE), (OTHER_MODEL, GROUP_SIZE)];
    let holders = [(MODEL.to_owned(), GROUP_SIZE * 2)];
    let layout = DomainLayout {
        holders: IndexMap::from(holders),
    };
    DomainSimulation::new(models, layout, GROUP_SIZE * 2 + free, 0)
}

impl DomainSimulation {
    /// Lets a target report its pace so many times.
    fn report(&mut self, target: &str, pace: f64, times: usize) {
        for _ in 0..times {
            let pace = Some(SpeedRatio::nearest(pace));
            self.targets[target].pace.record(pace);
        }
    }

    /// Returns the first members of the open groups that are not their leaders.
    fn followers(&self) -> Vec<TargetId> {
        let followers = self.targets.iter().filter(|(_, facts)| {
            let membership = facts.membership.as_ref();
            membership.is_some_and(|membership| membership.rank == 1)
        });
        followers.map(|(id, _)| id.clone()).collect()
    }

    /// Returns the targets that are not in an open group.
    fn free_targets(&self) -> Vec<TargetId> {
        let leaders = self.targets.values().filter_map(|facts| {
            let membership = facts.membership.as_ref()?;
            (membership.state == MembershipState::Open).then_some(&membership.group)
        });
        let open: Vec<&GroupId> = leaders.collect();
        let free = self.targets.iter().filter(|(_, facts)| {
            let membership = facts.membership.as_ref();
            membership.is_none_or(|membership| !open.contains(&&membership.group))
        });
        free.map(|(id, _)| id.clone()).collect()
    }
}

/// Guards against groups that stay as slow as their slowest member although another target could take its place.
#[gtest]
fn a_group_is_formed_again_without_its_slow_member() {
    let mut domain = open_domain(1);
    let slow = domain.followers()[0].clone();
    domain.report(&slow, 4.0, 2);
    let orders = domain.rounds(ROUNDS);
    expect_that!(orders[0].action.name(), eq("close"));
    expect_that!(orders[0].reason, eq("member_slow"));
    expect_that!(domain.open_groups(), eq(2));
    expect_that!(domain.free_targets(), elements_are![eq(&slow)]);
    expect_that!(domain.rounds(ROUNDS).len(), eq(0), "later");
}

/// Guards against closing a group that serves slowly for none that serves at all.
#[gtest]
fn a_group_remains_if_nothing_can_take_the_place_of_its_slow_member() {
    let mut domain = open_domain(0);
    let slow = domain.followers()[0].clone();
    domain.report(&slow, 12.0, 3);
    expect_that!(domain.rounds(ROUNDS).len(), eq(0));

    let unfit: [fn(&mut TargetFacts); 4] = [
        |facts| facts.staged = vec![OTHER_MODEL.to_owned()],
        |facts| facts.status = TargetStatus::Draining,
        |facts| facts.is_busy = true,
        |facts| {
            facts.pace.record(Some(SpeedRatio::nearest(4.0)));
        },
    ];
    for make_unfit in unfit {
        let mut domain = open_domain(1);
        let spare = domain.free_targets()[0].clone();
        make_unfit(&mut domain.targets[&spare]);
        let slow = domain.followers()[0].clone();
        domain.report(&slow, 12.0, 3);
        expect_that!(domain.rounds(ROUNDS).len(), eq(0));
        expect_that!(domain.open_groups(), eq(2));
    }
}

/// Guards against closing a group for one slow report, for a pace that is hardly slow, or for one that has passed.
#[gtest]
fn one_slow_report_closes_no_group() {
    for reports in [
        &[4.0][..],
        &[2.0, 2.0, 2.0],
        &[4.0, 1.0, 4.0],
        &[4.0, 4.0, 1.0],
    ] {
        let mut domain = open_domain(1);
        let slow = domain.followers()[0].clone();
        for pace in reports {
            domain.report(&slow, *pace, 1);
        }
        expect_that!(domain.rounds(ROUNDS).len(), eq(0), "{reports:?}");
    }
}

/// Guards against closing several groups of a domain at once.
#[gtest]
fn groups_with_slow_members_are_replaced_one_after_the_other() {
    let mut domain = open_domain(2);
    let slow = domain.followers();
    expect_that!(slow.len(), eq(2));
    for target in &slow {
        domain.report(target, 4.0, 2);
    }
    for _ in 0..ROUNDS * 2 {
        domain.round();
        expect_that!(domain.open_groups(), ge(1));
    }
    expect_that!(domain.open_groups(), eq(2));
    let mut free = domain.free_targets();
    free.sort();
    expect_that!(free, eq(&slow));
}

/// Guards against a replacement that has gone since its last report.
#[gtest]
fn a_replacement_has_to_report_again_first() {
    let mut domain = open_domain(1);
    let slow = domain.followers()[0].clone();
    let spare = domain.free_targets()[0].clone();
    domain.report(&slow, 4.0, 2);
    domain.targets[&spare].is_fresh = false;
    expect_that!(domain.round().len(), eq(0));
    let polled = domain.reconciler.take_stale_candidates();
    expect_that!(polled.contains(&spare), eq(true));
    domain.targets[&spare].is_fresh = true;
    expect_that!(domain.rounds(2).len(), eq(1));
}

/// Guards against new groups of slow targets while others are free.
#[gtest]
fn new_groups_prefer_targets_of_normal_pace() {
    let mut domain = open_domain(3);
    let slow = domain.free_targets()[0].clone();
    domain.report(&slow, 4.0, 2);
    let mut lost = domain.followers();
    lost.truncate(1);
    domain.targets[&lost[0]].status = TargetStatus::Silent;
    domain.rounds(ROUNDS * 2);
    expect_that!(domain.open_groups(), eq(2));
    expect_that!(domain.free_targets(), contains(eq(&slow)));
}
