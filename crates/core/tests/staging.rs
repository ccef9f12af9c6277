//! Reassignment of groups to another model: which orders are sent, and in which sequence.

use std::time::Duration;

use briarswitch_core::assembly::{
    DomainReconciler, DomainView, TargetFacts, TargetPace, TargetStatus,
};
use briarswitch_core::engine::{EngineSpec, ModelSpec};
use briarswitch_core::id::*;
use briarswitch_core::layout::DomainLayout;
use briarswitch_core::order::{OrderResult, TargetAction, TargetOrder};
use briarswitch_core::target::{Membership, MembershipState};
use googletest::prelude::*;
use indexmap::IndexMap;

const LARGE: &str = "large";
const SMALL: &str = "small";

/// One domain whose targets carry out every order immediately, except for loads, which the test
/// completes.
struct DomainSimulation {
    reconciler: DomainReconciler,
    engine: EngineSpec,
    layout: DomainLayout,
    targets: IndexMap<TargetId, TargetFacts>,
    loading: IndexMap<TargetId, ModelId>,
    now: Duration,
}

impl DomainSimulation {
    /// Creates a domain of eight targets with two open groups of four.
    fn new() -> Self {
        let models = [(LARGE, 4), (SMALL, 2)].map(|(id, size)| {
            let spec = ModelSpec {
                id: id.to_owned(),
                group_size: size,
                load_time: Duration::from_secs(16),
                warmup: Duration::from_millis(1_600),
                ..ModelSpec::default()
            };
            (id.to_owned(), spec)
        });
        let mut domain = Self {
            reconciler: DomainReconciler::new("n1"),
            engine: EngineSpec {
                models: IndexMap::from(models),
                ..EngineSpec::default()
            },
            layout: layout(8, 0),
            targets: IndexMap::new(),
            loading: IndexMap::new(),
            now: Duration::from_secs(100),
        };
        for index in 0..8 {
            let facts = TargetFacts {
                incarnation: 1,
                status: TargetStatus::Live,
                membership: None,
                model: None,
                staged: vec![LARGE.to_owned()],
                sequence: 0,
                is_busy: false,
                epoch_seen: 0,
                is_fresh: true,
                pace: TargetPace::default(),
            };
            domain.targets.insert(format!("t{index}"), facts);
        }
        domain.rounds(3);
        assert_eq!(domain.open_groups(LARGE), 2);
        domain
    }

    /// Runs one planning round, carries out its orders and returns them.
    fn round(&mut self) -> Vec<TargetOrder> {
        self.now += Duration::from_millis(50);
        let view = DomainView {
            targets: &self.targets,
            engine: &self.engine,
            layout: &self.layout,
            loading: &self.loading,
            load_budget: 8,
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
        // Joins and closes complete immediately.
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
            TargetAction::Stage { model } => {
                facts.is_busy = true;
                self.loading.insert(order.target.clone(), model.clone());
            }
            _ => {}
        }
    }

    fn complete_loads(&mut self, count: usize) {
        for (id, model) in self.loading.drain(..count) {
            let facts = &mut self.targets[&id];
            facts.is_busy = false;
            facts.staged = vec![model];
        }
    }

    fn open_groups(&self, model: &str) -> usize {
        let open = self.targets.values().filter(|facts| {
            let membership = facts.membership.as_ref();
            membership.is_some_and(|membership| membership.state == MembershipState::Open)
                && facts.model.as_deref() == Some(model)
        });
        open.count()
    }
}

fn layout(large: usize, small: usize) -> DomainLayout {
    let holders = [(SMALL.to_owned(), small), (LARGE.to_owned(), large)];
    DomainLayout {
        holders: IndexMap::from(holders),
    }
}

fn names(orders: &[TargetOrder]) -> Vec<&'static str> {
    orders.iter().map(|order| order.action.name()).collect()
}

/// A group must not be closed before its members hold the other model's weights.
#[gtest]
fn a_group_serves_until_its_members_have_the_other_weights() {
    let mut domain = DomainSimulation::new();
    domain.layout = layout(4, 4);
    let staged = domain.round();
    expect_that!(names(&staged), eq(&vec!["stage"; 4]));
    let groups = staged.iter().map(|order| {
        let membership = domain.targets[&order.target].membership.as_ref();
        membership.map(|membership| membership.group.clone())
    });
    let mut groups: Vec<Option<GroupId>> = groups.collect();
    groups.dedup();
    expect_that!(groups.len(), eq(1), "all of one group");
    for _ in 0..3 {
        domain.complete_loads(1);
        expect_that!(domain.rounds(5).len(), eq(0), "one member is still loading");
        expect_that!(domain.open_groups(LARGE), eq(2));
    }
    domain.complete_loads(1);
    let orders = domain.rounds(6);
    expect_that!(names(&orders)[..2].to_vec(), eq(&vec!["close", "leave"]));
    expect_that!(domain.open_groups(LARGE), eq(1));
    expect_that!(domain.open_groups(SMALL), eq(2));
}

/// A group must not be reassigned for less than a complete group of the other model.
#[gtest]
fn no_group_is_reassigned_for_part_of_another() {
    let mut domain = DomainSimulation::new();
    domain.layout = layout(7, 1);
    expect_that!(names(&domain.round()), eq(&vec!["stage"]));
    domain.complete_loads(1);
    expect_that!(domain.rounds(10).len(), eq(0));
    expect_that!(domain.open_groups(LARGE), eq(2));
}

/// Members must not load other weights if no group is surplus.
#[gtest]
fn members_of_required_groups_load_nothing() {
    let mut domain = DomainSimulation::new();
    domain.layout = layout(8, 2);
    expect_that!(domain.rounds(5).len(), eq(0));
}

/// A group must keep serving if the demand for the other model ends before its members have all
/// loaded.
#[gtest]
fn a_group_keeps_serving_when_the_layout_changes_back() {
    let mut domain = DomainSimulation::new();
    domain.layout = layout(4, 4);
    expect_that!(domain.round().len(), eq(4));
    domain.complete_loads(3);
    domain.layout = layout(8, 0);
    domain.complete_loads(1);
    domain.rounds(5);
    expect_that!(domain.open_groups(LARGE), eq(2));
}
