//! Plans of changeovers: which domains give how many groups, and which prepare standbys.

use std::time::Duration;

use briarswitch_core::changeover::{
    plan_changeover, ChangeoverParams, ChangeoverPlan, DomainSupply, GroupSupply, ModelNeed,
};
use briarswitch_core::engine::{EngineSpec, ModelSpec};
use briarswitch_core::id::*;
use googletest::prelude::*;
use indexmap::IndexMap;

const LARGE: &str = "large";
const SMALL: &str = "small";
const DOMAINS: [&str; 3] = ["a", "b", "c"];
const LARGE_SIZE: usize = 8;
const START: Moment = Duration::from_secs(100);

fn engine() -> EngineSpec {
    let models = [(LARGE, LARGE_SIZE), (SMALL, 4)].map(|(id, size)| {
        let spec = ModelSpec {
            id: id.to_owned(),
            group_size: size,
            expected_share: 0.5,
            time_factor: 1.0,
            load_time: Duration::from_secs(14),
            warmup: Duration::from_millis(1_600),
        };
        (spec.id.clone(), spec)
    });
    EngineSpec {
        slots: 34,
        parallel_loads: 12,
        open_time: Duration::from_millis(300),
        models: IndexMap::from(models),
        ..EngineSpec::default()
    }
}

fn group(model: &str, prepares: Option<&str>) -> GroupSupply {
    let members = if model == LARGE { LARGE_SIZE } else { 4 };
    GroupSupply {
        model: model.to_owned(),
        age: Duration::from_secs(60),
        prepared: prepares
            .map(|prepares| (prepares.to_owned(), members))
            .into_iter()
            .collect(),
    }
}

/// Returns domains with four standbys of the larger model and two groups of the smaller one each.
fn domains() -> Vec<DomainSupply> {
    let domains = DOMAINS.map(|domain| DomainSupply {
        domain: domain.to_owned(),
        groups: [
            vec![group(LARGE, Some(SMALL)); 4],
            vec![group(SMALL, None); 2],
        ]
        .concat(),
        arriving: IndexMap::new(),
    });
    domains.to_vec()
}

fn need(large: f64, small: f64) -> IndexMap<ModelId, ModelNeed> {
    let needs = [(LARGE, large), (SMALL, small)].map(|(model, groups)| {
        let need = ModelNeed {
            short_term: groups,
            sustained: groups,
        };
        (model.to_owned(), need)
    });
    needs.into()
}

fn plan(
    domains: &[DomainSupply],
    need: &IndexMap<ModelId, ModelNeed>,
    previous: &ChangeoverPlan,
    now: Moment,
) -> ChangeoverPlan {
    plan_changeover(ChangeoverParams {
        engine: &engine(),
        need,
        domains,
        previous,
        now,
    })
}

fn first_plan(domains: &[DomainSupply], need: &IndexMap<ModelId, ModelNeed>) -> ChangeoverPlan {
    plan(domains, need, &ChangeoverPlan::default(), START)
}

fn given(plan: &ChangeoverPlan) -> usize {
    let transfers = plan.transfers.values().flatten();
    transfers.map(|transfer| transfer.groups).sum()
}

/// Guards against a model whose callers wait while prepared groups of another one are idle, and
/// against all of them coming from one domain.
#[gtest]
fn a_short_model_gets_what_it_lacks_from_all_domains() {
    let plan = first_plan(&domains(), &need(1.0, 12.0));
    expect_that!(
        given(&plan),
        eq(3),
        "six groups of four from three of eight"
    );
    for domain in DOMAINS {
        expect_that!(plan.transfers[domain][0].groups, eq(1), "{domain}");
    }
}

/// Guards against changeovers for what a small rise of the load would fill anyway.
#[gtest]
fn nothing_changes_over_below_the_threshold() {
    for small in [0.0, 3.0, 6.0, 7.4] {
        let plan = first_plan(&domains(), &need(1.0, small));
        expect_that!(given(&plan), eq(0), "{small}");
    }
}

/// Guards against serving one model's burst at the expense of another model's callers.
#[gtest]
fn the_giving_model_keeps_its_need_plus_a_quarter() {
    for large in 0..=12 {
        let plan = first_plan(&domains(), &need(f64::from(large), 40.0));
        let kept = 12 - given(&plan);
        expect_that!(
            kept as f64,
            ge((f64::from(large) * 1.25).min(12.0)),
            "{large}"
        );
        expect_that!(kept, ge(1), "{large}");
    }
}

/// Guards against a group that spends its time changing over instead of serving.
#[gtest]
fn a_group_that_was_formed_less_than_ten_seconds_ago_stays() {
    let mut domains = domains();
    for group in domains.iter_mut().flat_map(|domain| &mut domain.groups) {
        group.age = Duration::from_millis(9_900);
    }
    expect_that!(given(&first_plan(&domains, &need(1.0, 12.0))), eq(0));
}

/// Guards against groups that close although their members would have to load first.
#[gtest]
fn a_group_of_which_one_member_is_unprepared_stays() {
    let mut domains = domains();
    for group in domains.iter_mut().flat_map(|domain| &mut domain.groups) {
        group
            .prepared
            .values_mut()
            .for_each(|members| *members -= 1);
    }
    let plan = first_plan(&domains, &need(1.0, 12.0));
    expect_that!(given(&plan), eq(0));
    expect_that!(
        plan.standbys.loads.is_empty(),
        eq(false),
        "the rest is loaded"
    );
}

/// Guards against giving groups again before the first ones are visible in the directory.
#[gtest]
fn what_is_under_way_counts_before_it_is_visible() {
    let need = need(1.0, 12.0);
    let mut previous = first_plan(&domains(), &need);
    let mut all = given(&previous);
    for millis in [150, 300, 450, 600, 750, 900] {
        previous = plan(
            &domains(),
            &need,
            &previous,
            START + Duration::from_millis(millis),
        );
        all += given(&previous);
    }
    expect_that!(all, eq(3));
    // A domain whose controller does not respond gives nothing, so that others have to.
    let late = plan(&domains(), &need, &previous, START + Duration::from_secs(2));
    expect_that!(given(&late), eq(3));
}

/// Guards against a burst that is served only by loads one after the other.
#[gtest]
fn a_shortage_uses_more_loads_than_preparation_does() {
    let mut domains = domains();
    for group in domains.iter_mut().flat_map(|domain| &mut domain.groups) {
        group.prepared.clear();
    }
    let loads = |plan: &ChangeoverPlan| plan.standbys.loads.values().sum::<usize>();
    let idle = first_plan(&domains, &need(1.0, 4.0));
    expect_that!(idle.standbys.loads.len(), eq(1), "one group at a time");
    expect_that!(loads(&idle), le(3), "a quarter of the loads");
    let short = first_plan(&domains, &need(1.0, 12.0));
    expect_that!(loads(&short), gt(loads(&idle)));
    expect_that!(loads(&short), lt(12), "lost targets need some");
}

/// Guards against loads for groups that their own model's callers need.
#[gtest]
fn only_spare_groups_prepare() {
    let mut domains = domains();
    for group in domains.iter_mut().flat_map(|domain| &mut domain.groups) {
        group.prepared.clear();
    }
    let plan = first_plan(&domains, &need(7.0, 6.0));
    let shares = plan.standbys.shares.values().flatten();
    let prepared: usize = shares.map(|share| share.groups).sum();
    expect_that!(
        prepared,
        eq(3),
        "twelve less seven and a quarter, rounded up"
    );
}
