//! Planned content of the domains.

use std::time::Duration;

use briarswitch_core::engine::{EngineSpec, ModelSpec};
use briarswitch_core::id::*;
use briarswitch_core::layout::{plan_layout, DomainInventory, DomainLayout, LayoutPhase};
use googletest::prelude::*;
use indexmap::IndexMap;

const LARGE: &str = "large";
const SMALL: &str = "small";
/// Zones, with two domains each.
const ZONES: [&str; 3] = ["a", "b", "c"];

fn engine(sizes: [usize; 2]) -> EngineSpec {
    let model = |id: &str, size: usize, share| {
        let spec = ModelSpec {
            id: id.to_owned(),
            group_size: size,
            expected_share: share,
            time_factor: 1.0,
            load_time: Duration::from_secs(16),
            warmup: Duration::from_millis(1_600),
        };
        (spec.id.clone(), spec)
    };
    let models = [model(LARGE, sizes[0], 0.67), model(SMALL, sizes[1], 0.33)];
    EngineSpec {
        models: IndexMap::from(models),
        ..EngineSpec::default()
    }
}

fn domains(targets: usize) -> Vec<DomainInventory> {
    let names = ZONES.iter().flat_map(|zone| [(zone, 0), (zone, 1)]);
    let inventory = names.map(|(zone, index)| DomainInventory {
        domain: format!("{zone}{index}"),
        zone: (*zone).to_owned(),
        empty: targets,
        ..DomainInventory::default()
    });
    inventory.collect()
}

fn start(sizes: [usize; 2], inventory: &[DomainInventory]) -> IndexMap<DomainId, DomainLayout> {
    plan_layout(
        &engine(sizes),
        &IndexMap::new(),
        inventory,
        LayoutPhase::Start,
    )
}

fn held(layout: &DomainLayout, model: &str) -> usize {
    layout.holders.get(model).copied().unwrap_or(0)
}

/// A zone that is cut off must be able to serve every model, so no model may have all of its groups
/// in other zones.
#[gtest]
fn every_zone_can_serve_each_model_alone() {
    for sizes in [[4, 2], [4, 3], [3, 2], [5, 1], [2, 2]] {
        for targets in [6, 8, 9, 10, 12] {
            let layouts = start(sizes, &domains(targets));
            for zone in ZONES {
                for (model, size) in [LARGE, SMALL].into_iter().zip(sizes) {
                    let of_zone = layouts.iter().filter(|(id, _)| id.starts_with(zone));
                    let groups = of_zone.map(|(_, layout)| held(layout, model) / size);
                    let what = format!("{model} in {zone}, {sizes:?} of {targets}");
                    expect_that!(groups.sum::<usize>(), ge(1), "{what}");
                }
            }
        }
    }
}

/// A layout that follows every change of demand would have targets reload weights for minutes
/// although nothing was lost.
#[gtest]
fn targets_that_hold_weights_keep_them_while_requests_arrive() {
    let mut inventory = domains(0);
    for (index, domain) in inventory.iter_mut().enumerate() {
        let holders = [(LARGE.to_owned(), index), (SMALL.to_owned(), 8 - index)];
        domain.holders = IndexMap::from(holders);
        domain.empty = 1;
    }
    for demand in [[1.0, 9.0], [9.0, 1.0]] {
        let names = [LARGE.to_owned(), SMALL.to_owned()];
        let demand = names.into_iter().zip(demand).collect();
        let layouts = plan_layout(&engine([4, 2]), &demand, &inventory, LayoutPhase::Serving);
        for domain in &inventory {
            let layout = &layouts[&domain.domain];
            for (model, count) in &domain.holders {
                expect_that!(held(layout, model), ge(*count), "{}", domain.domain);
            }
            let sum: usize = layout.holders.values().sum();
            expect_that!(sum, eq(9), "{}", domain.domain);
        }
    }
}

/// A replacement must load a model that other targets of its domain hold, even if all models have
/// the same utility. Otherwise it can never join a group.
#[gtest]
fn a_new_target_loads_what_its_domain_holds_most_of() {
    let mut inventory = domains(0);
    for (index, domain) in inventory.iter_mut().enumerate() {
        let model = if index % 2 == 0 { LARGE } else { SMALL };
        domain.holders = IndexMap::from([(model.to_owned(), 7)]);
        domain.empty = 1;
    }
    let layouts = plan_layout(
        &engine([4, 3]),
        &IndexMap::new(),
        &inventory,
        LayoutPhase::Serving,
    );
    for domain in &inventory {
        let (model, _) = domain.holders.first().expect("each holds one");
        expect_that!(held(&layouts[&domain.domain], model), eq(8));
    }
}

/// Domains register one after the other. If each registration changed the order of equal domains,
/// their targets would load the weights of one model after another before the first request.
#[gtest]
fn equal_domains_of_a_zone_hold_the_first_models_first() {
    let layouts = start([4, 3], &domains(9));
    for zone in ZONES {
        let of = |index: usize| held(&layouts[&format!("{zone}{index}")], LARGE);
        expect_that!(of(0), ge(of(1)));
    }
}

/// Empty targets arrive one at a time. If each were judged only by the group that it completes
/// itself, the fifteenth of sixteen targets would have less utility than a spare of the other
/// model: domains would keep 14 or 15 targets that serve no requests while callers of the model are
/// refused.
#[gtest]
fn a_group_that_lacks_two_targets_gets_them() {
    let mut inventory = domains(0);
    for (index, domain) in inventory.iter_mut().enumerate() {
        let large = if index < 2 { 21 } else { 14 };
        let holders = [(LARGE.to_owned(), large), (SMALL.to_owned(), 36 - large)];
        domain.holders = IndexMap::from(holders);
    }
    inventory[3].empty = 1;
    let names = [LARGE.to_owned(), SMALL.to_owned()];
    let demand = names.into_iter().zip([4.3, 17.0]).collect();
    let layouts = plan_layout(&engine([16, 4]), &demand, &inventory, LayoutPhase::Serving);
    let domain = &inventory[3].domain;
    expect_that!(held(&layouts[domain], LARGE), eq(15));
}
