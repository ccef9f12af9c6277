//! Reassignment of groups to another model: which orders are sent, and in which sequence.

#[path = "support/domain_simulation.rs"]
mod domain_simulation;

use briarswitch_core::id::GroupId;
use briarswitch_core::layout::DomainLayout;
use briarswitch_core::order::TargetOrder;
use googletest::prelude::*;
use indexmap::IndexMap;

use domain_simulation::DomainSimulation;

const LARGE: &str = "large";
const SMALL: &str = "small";

/// Creates a domain of eight targets with two open groups of four.
fn open_domain() -> DomainSimulation {
    DomainSimulation::new([(LARGE, 4), (SMALL, 2)], layout(8, 0), 8, 8)
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
    let mut domain = open_domain();
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
        expect_that!(domain.open_groups_of(LARGE), eq(2));
    }
    domain.complete_loads(1);
    let orders = domain.rounds(6);
    expect_that!(names(&orders)[..2].to_vec(), eq(&vec!["close", "leave"]));
    expect_that!(domain.open_groups_of(LARGE), eq(1));
    expect_that!(domain.open_groups_of(SMALL), eq(2));
}

/// A group must not be reassigned for less than a complete group of the other model.
#[gtest]
fn no_group_is_reassigned_for_part_of_another() {
    let mut domain = open_domain();
    domain.layout = layout(7, 1);
    expect_that!(names(&domain.round()), eq(&vec!["stage"]));
    domain.complete_loads(1);
    expect_that!(domain.rounds(10).len(), eq(0));
    expect_that!(domain.open_groups_of(LARGE), eq(2));
}

/// Members must not load other weights if no group is surplus.
#[gtest]
fn members_of_required_groups_load_nothing() {
    let mut domain = open_domain();
    domain.layout = layout(8, 2);
    expect_that!(domain.rounds(5).len(), eq(0));
}

/// A group must keep serving if the demand for the other model ends before its members have all
/// loaded.
#[gtest]
fn a_group_keeps_serving_when_the_layout_changes_back() {
    let mut domain = open_domain();
    domain.layout = layout(4, 4);
    expect_that!(domain.round().len(), eq(4));
    domain.complete_loads(3);
    domain.layout = layout(8, 0);
    domain.complete_loads(1);
    domain.rounds(5);
    expect_that!(domain.open_groups_of(LARGE), eq(2));
}
