//! Groups that are given up for another model's: what is ordered, and in which order.

use std::time::Duration;

use briarswitch_core::assembly::{DomainKeeper, DomainView, TargetFacts, TargetStanding};
use briarswitch_core::engine::{EngineSpec, ModelSpec};
use briarswitch_core::id::*;
use briarswitch_core::layout::DomainLayout;
use briarswitch_core::order::{OrderResult, TargetAction, TargetOrder};
use briarswitch_core::target::{Membership, MembershipState};
use googletest::prelude::*;
use indexmap::IndexMap;

const LARGE: &str = "large";
const SMALL: &str = "small";

/// One domain whose targets do as they are told at once; only loads take until they are let go on.
struct DomainWorld {
    keeper: DomainKeeper,
    engine: EngineSpec,
    layout: DomainLayout,
    targets: IndexMap<TargetId, TargetFacts>,
    loading: IndexMap<TargetId, ModelId>,
    now: Duration,
}

impl DomainWorld {
    /// Opens a domain of eight targets with two open groups of four.
    fn open() -> Self {
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
        let mut world = Self {
            keeper: DomainKeeper::open("n1"),
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
                standing: TargetStanding::Live,
                membership: None,
                model: None,
                staged: vec![LARGE.to_owned()],
                sequence: 0,
                is_busy: false,
                epoch_seen: 0,
                is_fresh: true,
            };
            world.targets.insert(format!("t{index}"), facts);
        }
        world.rounds(3);
        assert_eq!(world.open_groups(LARGE), 2);
        world
    }

    /// Lets the keeper plan once and carries its orders out; returns them.
    fn round(&mut self) -> Vec<TargetOrder> {
        self.now += Duration::from_millis(50);
        let view = DomainView {
            targets: &self.targets,
            engine: &self.engine,
            layout: &self.layout,
            loading: &self.loading,
            load_budget: 8,
            joins_load: false,
            epoch_floor: 1,
        };
        let orders = self.keeper.plan(view, self.now);
        for order in &orders {
            self.obey(order);
            self.keeper.note_result(&order.target, OrderResult::Begun);
        }
        orders
    }

    fn rounds(&mut self, count: usize) -> Vec<TargetOrder> {
        (0..count).flat_map(|_| self.round()).collect()
    }

    fn obey(&mut self, order: &TargetOrder) {
        let facts = &mut self.targets[&order.target];
        facts.sequence += 1;
        let effect = order
            .action
            .effect(&order.target, facts.membership.as_ref());
        // Joins and closes are done at once here.
        facts.membership = effect.map(|held| Membership {
            state: match held.state {
                MembershipState::Joining | MembershipState::Closing => MembershipState::Ready,
                state => state,
            },
            ..held
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

    fn end_loads(&mut self, count: usize) {
        for (id, model) in self.loading.drain(..count) {
            let facts = &mut self.targets[&id];
            facts.is_busy = false;
            facts.staged = vec![model];
        }
    }

    fn open_groups(&self, model: &str) -> usize {
        let open = self.targets.values().filter(|facts| {
            let held = facts.membership.as_ref();
            held.is_some_and(|held| held.state == MembershipState::Open)
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

/// Guards against a group that is given up before other weights are there to serve with.
#[gtest]
fn a_group_serves_until_its_members_have_the_other_weights() {
    let mut world = DomainWorld::open();
    world.layout = layout(4, 4);
    let staged = world.round();
    expect_that!(names(&staged), eq(&vec!["stage"; 4]));
    let groups = staged.iter().map(|order| {
        let held = world.targets[&order.target].membership.as_ref();
        held.map(|held| held.group.clone())
    });
    let mut groups: Vec<Option<GroupId>> = groups.collect();
    groups.dedup();
    expect_that!(groups.len(), eq(1), "all of one group");
    for _ in 0..3 {
        world.end_loads(1);
        expect_that!(world.rounds(5).len(), eq(0), "one member is still loading");
        expect_that!(world.open_groups(LARGE), eq(2));
    }
    world.end_loads(1);
    let orders = world.rounds(6);
    expect_that!(names(&orders)[..2].to_vec(), eq(&vec!["close", "leave"]));
    expect_that!(world.open_groups(LARGE), eq(1));
    expect_that!(world.open_groups(SMALL), eq(2));
}

/// Guards against a group that is given up for less than a whole one of the other model.
#[gtest]
fn no_group_is_given_up_for_a_part_of_another() {
    let mut world = DomainWorld::open();
    world.layout = layout(7, 1);
    expect_that!(names(&world.round()), eq(&vec!["stage"]));
    world.end_loads(1);
    expect_that!(world.rounds(10).len(), eq(0));
    expect_that!(world.open_groups(LARGE), eq(2));
}

/// Guards against members that load other weights though no group is beyond need.
#[gtest]
fn members_of_groups_that_are_needed_load_nothing() {
    let mut world = DomainWorld::open();
    world.layout = layout(8, 2);
    expect_that!(world.rounds(5).len(), eq(0));
}

/// Guards against a group that is closed for good when its members' other weights are lost on the way.
#[gtest]
fn a_group_goes_on_when_the_need_has_passed() {
    let mut world = DomainWorld::open();
    world.layout = layout(4, 4);
    expect_that!(world.round().len(), eq(4));
    world.end_loads(3);
    world.layout = layout(8, 0);
    world.end_loads(1);
    world.rounds(5);
    expect_that!(world.open_groups(LARGE), eq(2));
}
