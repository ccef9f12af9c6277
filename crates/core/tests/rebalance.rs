//! Moves of targets between models under load, and their effect on the share of callers served.

use std::time::Duration;

use briarswitch_core::engine::{EngineSpec, ModelSpec};
use briarswitch_core::id::*;
use briarswitch_core::layout::{DomainInventory, DomainLayout};
use briarswitch_core::rebalance::{plan_rebalance, RebalanceParams};
use googletest::prelude::*;
use indexmap::IndexMap;

const LARGE: &str = "large";
const SMALL: &str = "small";
/// Domains, two in each zone.
const DOMAINS: usize = 6;
/// Duration of a load in seconds.
const LOAD_TIME: u64 = 14;
/// Maximum number of concurrent loads.
const MAX_LOADS: usize = 12;
/// Seconds over which demand is smoothed.
const SMOOTHING_S: f64 = 10.0;
/// Sizes of domains, with the group sizes of both models.
const DOMAIN_SHAPES: [(usize, [usize; 2]); 3] = [(8, [4, 2]), (27, [12, 6]), (73, [32, 8])];

fn engine(sizes: [usize; 2]) -> EngineSpec {
    let models = [LARGE, SMALL].into_iter().zip(sizes).map(|(id, size)| {
        let spec = ModelSpec {
            id: id.to_owned(),
            group_size: size,
            expected_share: 0.5,
            time_factor: 1.0,
            load_time: Duration::from_secs(LOAD_TIME),
            warmup: Duration::from_millis(1_600),
        };
        (spec.id.clone(), spec)
    });
    EngineSpec {
        models: models.collect(),
        ..EngineSpec::default()
    }
}

fn inventory(holders: &[[usize; 2]]) -> Vec<DomainInventory> {
    let domains = holders.iter().enumerate();
    let domains = domains.map(|(index, [large, small])| DomainInventory {
        domain: format!("d{index}"),
        zone: format!("z{}", index / 2),
        holders: IndexMap::from([(LARGE.to_owned(), *large), (SMALL.to_owned(), *small)]),
        empty: 0,
        reports_loads: true,
    });
    domains.collect()
}

fn demand(rates: [f64; 2]) -> IndexMap<ModelId, f64> {
    [LARGE, SMALL]
        .map(str::to_owned)
        .into_iter()
        .zip(rates)
        .collect()
}

fn plan(
    sizes: [usize; 2],
    domains: &[DomainInventory],
    rates: [f64; 2],
) -> IndexMap<DomainId, DomainLayout> {
    plan_rebalance(RebalanceParams {
        engine: &engine(sizes),
        demand: &demand(rates),
        domains,
        loading: &IndexMap::new(),
    })
}

fn holders_of(layout: &DomainLayout, model: &str) -> usize {
    layout.holders.get(model).copied().unwrap_or(0)
}

/// Returns the number of targets that a plan moves.
fn moved(domains: &[DomainInventory], layouts: &IndexMap<DomainId, DomainLayout>) -> usize {
    let moved = domains.iter().map(|domain| {
        let before = domain.holders.get(SMALL).copied().unwrap_or(0);
        holders_of(&layouts[&domain.domain], SMALL).abs_diff(before)
    });
    moved.sum()
}

/// Guards against a model whose callers are refused while another model has unused groups.
#[gtest]
fn a_model_that_lacks_groups_gets_targets_of_one_with_excess_groups() {
    let domains = inventory(&[[27, 0], [15, 12], [27, 0], [15, 12], [15, 12], [15, 12]]);
    let layouts = plan([12, 6], &domains, [2.2, 9.0]);
    let small: usize = layouts
        .values()
        .map(|layout| holders_of(layout, SMALL) / 6)
        .sum();
    let large: usize = layouts
        .values()
        .map(|layout| holders_of(layout, LARGE) / 12)
        .sum();
    // One more than the demand needs, and twice what the demand for the other model needs.
    expect_that!(small, ge(10));
    expect_that!(large, ge(5));
    for domain in &domains {
        let layout = &layouts[&domain.domain];
        expect_that!(
            holders_of(layout, LARGE) + holders_of(layout, SMALL),
            eq(27),
            "{}",
            domain.domain
        );
    }
}

/// Guards against moves that improve service for no model.
#[gtest]
fn nothing_moves_if_capacity_matches_demand() {
    for (rates, holders) in [
        (
            [2.2, 9.0],
            [[27, 0], [27, 0], [0, 27], [0, 27], [0, 27], [0, 27]],
        ),
        (
            [1.0, 4.0],
            [[27, 0], [14, 13], [27, 0], [14, 13], [0, 27], [0, 27]],
        ),
    ] {
        let domains = inventory(&holders);
        expect_that!(
            moved(&domains, &plan([12, 6], &domains, rates)),
            eq(0),
            "{rates:?}"
        );
    }
}

/// Guards against a move that helps one model by leaving another short.
#[gtest]
fn a_model_keeps_the_groups_that_its_demand_needs() {
    for (targets, sizes) in DOMAIN_SHAPES {
        let max_large = targets / sizes[0];
        for large in 0..=max_large {
            let held = [large * sizes[0], targets - large * sizes[0]];
            let domains = inventory(&[held; DOMAINS]);
            let groups = [large * DOMAINS, held[1] / sizes[1] * DOMAINS];
            for part in [0.2, 0.5, 0.9] {
                let rates = [groups[0] as f64 * part, groups[1] as f64 * 1.3];
                let layouts = plan(sizes, &domains, rates);
                let remaining: usize = layouts
                    .values()
                    .map(|layout| layout.holders.get(LARGE).copied().unwrap_or(0) / sizes[0])
                    .sum();
                let needed = rates[0].min(groups[0] as f64);
                expect_that!(
                    remaining as f64,
                    ge(needed),
                    "{targets} {sizes:?} {large} {part}"
                );
            }
        }
    }
}

/// Guards against all domains reacting to the same shortage at once: loads that the
/// domains do not report must count.
#[gtest]
fn unreported_loads_are_not_requested_again() {
    let domains = inventory(&[[27, 0], [15, 12], [27, 0], [15, 12], [15, 12], [15, 12]]);
    let alone = moved(&domains, &plan([12, 6], &domains, [2.2, 9.0]));
    let loading = IndexMap::from([(SMALL.to_owned(), alone)]);
    let with_loads = plan_rebalance(RebalanceParams {
        engine: &engine([12, 6]),
        demand: &demand([2.2, 9.0]),
        domains: &domains,
        loading: &loading,
    });
    expect_that!(moved(&domains, &with_loads), le(alone / 3));
}

/// Simulates a fleet with changing demand for two models; a target serves its new model after the
/// load.
struct Simulation {
    sizes: [usize; 2],
    domains: Vec<DomainInventory>,
    smoothed_demand: [f64; 2],
    /// End in seconds, domain and new model of each active load.
    loads: Vec<(u64, usize, usize)>,
    moves: usize,
}

impl Simulation {
    fn new(sizes: [usize; 2], holders: [usize; 2]) -> Self {
        Self {
            sizes,
            domains: inventory(&[holders; DOMAINS]),
            smoothed_demand: [0.0; 2],
            loads: Vec::new(),
            moves: 0,
        }
    }

    /// Starts the loads of a plan; a target serves its old model until its load is complete.
    fn step(&mut self, second: u64, rates: [f64; 2], rebalances: bool) {
        let factor = if second == 0 {
            0.0
        } else {
            (-1.0 / SMOOTHING_S).exp()
        };
        for (smoothed, rate) in self.smoothed_demand.iter_mut().zip(rates) {
            *smoothed = *smoothed * factor + rate * (1.0 - factor);
        }
        self.loads.retain(|(end, _, _)| *end > second);
        if !rebalances || second < 3 {
            return;
        }
        let layouts = plan(self.sizes, &self.domains, self.smoothed_demand);
        for index in 0..self.domains.len() {
            let layout = &layouts[&self.domains[index].domain];
            for (to, model) in [LARGE, SMALL].into_iter().enumerate() {
                let holders = &mut self.domains[index].holders;
                let lacking = holders_of(layout, model).saturating_sub(holders[model]);
                let count = lacking.min(MAX_LOADS.saturating_sub(self.loads.len()));
                *holders.get_mut(model).expect("a model of the simulation") += count;
                *holders
                    .get_mut([LARGE, SMALL][1 - to])
                    .expect("a model of the simulation") -= count;
                self.loads
                    .extend(std::iter::repeat_n((second + LOAD_TIME, index, to), count));
                self.moves += count;
            }
        }
    }

    /// Returns the share of the demand that is served.
    fn served(&self, rates: [f64; 2]) -> f64 {
        let served = [LARGE, SMALL]
            .into_iter()
            .enumerate()
            .map(|(index, model)| {
                let groups = self.domains.iter().enumerate().map(|(domain, inventory)| {
                    let of_domain = self.loads.iter().filter(|(_, at, _)| *at == domain);
                    let (mut arriving, mut leaving) = (0, 0);
                    for (_, _, to) in of_domain {
                        arriving += usize::from(*to == index);
                        leaving += usize::from(*to != index);
                    }
                    // Until enough targets for a group have loaded, their old group keeps serving.
                    let serving = inventory.holders[model] - arriving + leaving;
                    serving / self.sizes[index]
                });
                (groups.sum::<usize>() as f64).min(rates[index])
            });
        served.sum::<f64>() / rates.iter().sum::<f64>()
    }
}

/// Simulates 90 seconds; returns the mean share of demand served, and the number of targets moved.
fn simulate(
    sizes: [usize; 2],
    holders: [usize; 2],
    rebalances: bool,
    rates: impl Fn(u64) -> [f64; 2],
) -> (f64, usize) {
    let mut simulation = Simulation::new(sizes, holders);
    let mut sum = 0.0;
    for second in 0..90 {
        simulation.step(second, rates(second), rebalances);
        sum += simulation.served(rates(second));
    }
    (sum / 90.0, simulation.moves)
}

/// Guards against keeping the declared split between models when demand differs from it: demand for
/// the smaller model exceeds its groups, and demand for the larger one needs a third of its groups.
#[gtest]
fn a_wrong_initial_split_is_corrected() {
    for (targets, sizes) in DOMAIN_SHAPES {
        let large = (targets / sizes[0]) * sizes[0];
        let holders = [large, targets - large];
        let holders = if holders[1] < sizes[1] {
            [large - sizes[0], targets - large + sizes[0]]
        } else {
            holders
        };
        let groups = [
            holders[0] / sizes[0] * DOMAINS,
            holders[1] / sizes[1] * DOMAINS,
        ];
        let rates = [groups[0] as f64 * 0.3, groups[1] as f64 * 2.0];
        let (without, _) = simulate(sizes, holders, false, |_| rates);
        let (with, _) = simulate(sizes, holders, true, |_| rates);
        expect_that!(with, gt(without + 0.05), "{targets} {sizes:?}");
    }
}

/// Guards against endless moves if demand changes faster or slower than a load takes.
#[gtest]
fn changing_demand_causes_few_moves_and_little_loss() {
    for period in [10, 30, 60] {
        let rates = |second: u64| {
            if second / period % 2 == 0 {
                [1.5, 7.0]
            } else {
                [3.0, 4.5]
            }
        };
        let (without, _) = simulate([12, 6], [12, 15], false, rates);
        let (with, moves) = simulate([12, 6], [12, 15], true, rates);
        expect_that!(with, ge(without - 0.01), "{period}");
        // At most one domain's targets per change of the demand.
        expect_that!(moves as u64, le(27 * (90 / period)), "{period}");
    }
}
