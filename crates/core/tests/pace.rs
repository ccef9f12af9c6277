//! Groups with members that report a slow pace: when they are closed, and of whom they are formed again.

use std::time::Duration;

use briarswitch_core::assembly::{
    DomainReconciler, DomainView, TargetFacts, TargetPace, TargetStatus,
};
use briarswitch_core::engine::{EngineSpec, ModelSpec};
use briarswitch_core::id::*;
use briarswitch_core::layout::DomainLayout;
use briarswitch_core::order::{OrderResult, TargetAction, TargetOrder};
use briarswitch_core::speed::SpeedRatio;
use briarswitch_core::target::{Membership, MembershipState};
use googletest::prelude::*;
use indexmap::IndexMap;

const MODEL: &str = "m";
const OTHER_MODEL: &str = "other";
const GROUP_SIZE: usize = 4;
/// Control rounds in which a group is closed and formed again.
const ROUNDS: usize = 8;

/// One domain whose targets carry out every order immediately.
struct DomainSimulation {
    reconciler: DomainReconciler,
    engine: EngineSpec,
    layout: DomainLayout,
    targets: IndexMap<TargetId, TargetFacts>,
    now: Duration,
}

impl DomainSimulation {
    /// Creates a domain of two open groups and some free targets, all of which hold the weights.
    fn new(free: usize) -> Self {
        let spec = |id: &str, group_size| ModelSpec {
            id: id.to_owned(),
            group_size,
            load_time: Duration::from_secs(16),
            warmup: Duration::from_millis(1_600),
            ..ModelSpec::default()
        };
        let models = [(MODEL, GROUP_SIZE), (OTHER_MODEL, GROUP_SIZE)];
        let models = models.map(|(id, size)| (id.to_owned(), spec(id, size)));
        let holders = [(MODEL.to_owned(), GROUP_SIZE * 2)];
        let mut domain = Self {
            reconciler: DomainReconciler::new("n1"),
            engine: EngineSpec {
                models: IndexMap::from(models),
                ..EngineSpec::default()
            },
            layout: DomainLayout {
                holders: IndexMap::from(holders),
            },
            targets: IndexMap::new(),
            now: Duration::from_secs(100),
        };
        for index in 0..GROUP_SIZE * 2 + free {
            let facts = TargetFacts {
                incarnation: 1,
                status: TargetStatus::Live,
                membership: None,
                model: None,
                staged: vec![MODEL.to_owned()],
                sequence: 0,
                is_busy: false,
                epoch_seen: 0,
                is_fresh: true,
                pace: TargetPace::default(),
            };
            domain.targets.insert(format!("t{index}"), facts);
        }
        domain.rounds(3);
        assert_eq!(domain.open_groups(), 2);
        domain
    }

    fn round(&mut self) -> Vec<TargetOrder> {
        self.now += Duration::from_millis(50);
        let view = DomainView {
            targets: &self.targets,
            engine: &self.engine,
            layout: &self.layout,
            loading: &IndexMap::new(),
            load_budget: 0,
            may_load_on_join: false,
            epoch_floor: 1,
        };
        let orders = self.reconciler.plan(view, self.now);
        for order in &orders {
            self.carry_out(order);
            self.reconciler
                .note_result(&order.target, OrderResult::Begun);
        }
        orders
    }

    fn rounds(&mut self, count: usize) -> Vec<TargetOrder> {
        (0..count).flat_map(|_| self.round()).collect()
    }

    fn carry_out(&mut self, order: &TargetOrder) {
        let facts = &mut self.targets[&order.target];
        facts.sequence += 1;
        let effect = order
            .action
            .effect(&order.target, facts.membership.as_ref());
        facts.membership = effect.map(|membership| Membership {
            state: match membership.state {
                MembershipState::Joining | MembershipState::Closing => MembershipState::Ready,
                state => state,
            },
            ..membership
        });
        match &order.action {
            TargetAction::Join { model, .. } => facts.model = Some(model.clone()),
            TargetAction::Leave { .. } => facts.model = None,
            _ => {}
        }
    }

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

    fn open_groups(&self) -> usize {
        let open = self.targets.values().filter(|facts| {
            let membership = facts.membership.as_ref();
            membership.is_some_and(|membership| membership.state == MembershipState::Open)
        });
        open.count()
    }
}

/// Guards against groups that stay as slow as their slowest member although another target could take its place.
#[gtest]
fn a_group_is_formed_again_without_its_slow_member() {
    let mut domain = DomainSimulation::new(1);
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
    let mut domain = DomainSimulation::new(0);
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
        let mut domain = DomainSimulation::new(1);
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
        let mut domain = DomainSimulation::new(1);
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
    let mut domain = DomainSimulation::new(2);
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
    let mut domain = DomainSimulation::new(1);
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
    let mut domain = DomainSimulation::new(3);
    let slow = domain.free_targets()[0].clone();
    domain.report(&slow, 4.0, 2);
    let mut lost = domain.followers();
    lost.truncate(1);
    domain.targets[&lost[0]].status = TargetStatus::Silent;
    domain.rounds(ROUNDS * 2);
    expect_that!(domain.open_groups(), eq(2));
    expect_that!(domain.free_targets(), contains(eq(&slow)));
}
