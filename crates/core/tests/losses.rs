//! Share of each model's callers that are served while targets are lost and replaced by empty ones.

use std::time::Duration;

use briarswitch_core::engine::{EngineSpec, ModelSpec};
use briarswitch_core::id::*;
use briarswitch_core::layout::{plan_layout, DomainInventory, DomainLayout, LayoutPhase};
use googletest::prelude::*;
use indexmap::IndexMap;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const LARGE: &str = "large";
const SMALL: &str = "small";
/// Zones, with two domains each.
const ZONES: [&str; 3] = ["a", "b", "c"];
/// Duration of a simulation in seconds.
const SIMULATION_S: u64 = 60;
/// Seconds between two losses.
const LOSS_INTERVAL_S: u64 = 3;
/// Seconds per load.
const LOAD_TIME_S: u64 = 16;
/// Seconds of a simulation in which one domain is unreachable, if any.
const OUTAGE_S: std::ops::Range<u64> = 11..18;
/// Simulations per mean.
const SIMULATIONS: u64 = 40;
/// Allowed difference between the shares of callers served of two models of the same service.
const MAX_SERVED_GAP: f64 = 0.05;

/// A fleet and its demand.
#[derive(Clone, Copy, Debug)]
struct FleetCase {
    /// Targets per group of each model.
    sizes: [usize; 2],
    /// Declared share of the work of each model.
    shares: [f64; 2],
    /// Targets per domain.
    targets: usize,
    /// Groups that the callers of each model fill.
    demand: [f64; 2],
    /// Targets lost at a time.
    targets_lost: usize,
    /// Seconds until an empty target replaces a lost one.
    replacement_delay_s: u64,
    /// Maximum number of concurrent loads.
    loads: usize,
    /// Whether a domain is unreachable for some seconds.
    has_outage: bool,
}

const SMALL_DOMAINS: FleetCase = FleetCase {
    sizes: [4, 2],
    shares: [0.67, 0.33],
    targets: 8,
    demand: [6.0, 6.0],
    targets_lost: 1,
    replacement_delay_s: 0,
    loads: 6,
    has_outage: false,
};

/// Six domains of 37 targets. The callers fill 4.3 groups of sixteen and 17 groups of four: 137 of
/// 222 targets.
const LARGE_DOMAINS: FleetCase = FleetCase {
    sizes: [16, 4],
    shares: [0.5, 0.5],
    targets: 37,
    demand: [4.3, 17.0],
    targets_lost: 3,
    replacement_delay_s: 8,
    loads: 27,
    has_outage: false,
};

impl FleetCase {
    fn engine(&self) -> EngineSpec {
        let models = [LARGE, SMALL].into_iter().enumerate();
        let models = models.map(|(index, id)| {
            let spec = ModelSpec {
                id: id.to_owned(),
                group_size: self.sizes[index],
                expected_share: self.shares[index],
                time_factor: 1.0,
                load_time: Duration::from_secs(LOAD_TIME_S),
                warmup: Duration::from_millis(1_600),
            };
            (spec.id.clone(), spec)
        });
        EngineSpec {
            models: models.collect(),
            ..EngineSpec::default()
        }
    }

    fn inventory(&self) -> Vec<DomainInventory> {
        let names = ZONES.iter().flat_map(|zone| [(zone, 0), (zone, 1)]);
        let inventory = names.map(|(zone, index)| DomainInventory {
            domain: format!("{zone}{index}"),
            zone: (*zone).to_owned(),
            empty: self.targets,
            ..DomainInventory::default()
        });
        inventory.collect()
    }

    /// Returns the layout before the first request.
    fn start(&self) -> IndexMap<DomainId, DomainLayout> {
        let inventory = self.inventory();
        plan_layout(
            &self.engine(),
            &IndexMap::new(),
            &inventory,
            LayoutPhase::Start,
        )
    }

    fn observed_demand(&self) -> IndexMap<ModelId, f64> {
        let names = [LARGE, SMALL].map(str::to_owned);
        names.into_iter().zip(self.demand).collect()
    }
}

/// Initial layout, and choice of weights for new targets.
#[derive(Clone, Copy, Debug)]
enum StartPolicy {
    /// Each domain serves one model.
    OneModel,
    /// The layout under test.
    Layout,
}

/// A load in progress.
#[derive(Clone, Debug)]
struct ActiveLoad {
    domain: usize,
    model: ModelId,
    /// Second in which it ends.
    end: u64,
}

/// An empty target that will arrive.
#[derive(Clone, Copy, Debug)]
struct ArrivingTarget {
    domain: usize,
    second: u64,
}

/// Simulation of a fleet that loses targets every three seconds and gets empty replacements.
struct LossSimulation {
    rng: StdRng,
    case: FleetCase,
    inventory: Vec<DomainInventory>,
    policy: StartPolicy,
    loads: Vec<ActiveLoad>,
    arriving: Vec<ArrivingTarget>,
    unreachable: Option<DomainInventory>,
}

impl LossSimulation {
    fn new(seed: u64, case: FleetCase, policy: StartPolicy) -> Self {
        let mut inventory = case.inventory();
        let layouts = case.start();
        for (index, domain) in inventory.iter_mut().enumerate() {
            let model = if index % 2 == 0 { LARGE } else { SMALL };
            domain.holders = match policy {
                StartPolicy::OneModel => IndexMap::from([(model.to_owned(), case.targets)]),
                StartPolicy::Layout => layouts[&domain.domain].holders.clone(),
            };
            domain.empty = 0;
        }
        Self {
            rng: StdRng::seed_from_u64(seed),
            case,
            inventory,
            policy,
            loads: Vec::new(),
            arriving: Vec::new(),
            unreachable: None,
        }
    }

    /// Removes targets that hold weights and schedules their replacements.
    fn lose(&mut self, second: u64) {
        for _ in 0..self.case.targets_lost {
            let index = self.rng.random_range(0..self.inventory.len());
            let domain = &mut self.inventory[index];
            let all: usize = domain.holders.values().sum();
            if all == 0 {
                continue;
            }
            let mut index_lost = self.rng.random_range(0..all);
            for count in domain.holders.values_mut() {
                if index_lost < *count {
                    *count -= 1;
                    break;
                }
                index_lost -= *count;
            }
            self.arriving.push(ArrivingTarget {
                domain: index,
                second: second + self.case.replacement_delay_s,
            });
        }
    }

    fn replace(&mut self, second: u64) {
        let (arrived, rest) = std::mem::take(&mut self.arriving)
            .into_iter()
            .partition(|target| target.second <= second);
        self.arriving = rest;
        let arrived: Vec<ArrivingTarget> = arrived;
        for target in arrived {
            self.inventory[target.domain].empty += 1;
        }
    }

    /// Completes and starts loads.
    fn load(&mut self, second: u64) {
        let (done, rest) = std::mem::take(&mut self.loads)
            .into_iter()
            .partition(|load| load.end <= second);
        self.loads = rest;
        let done: Vec<ActiveLoad> = done;
        for load in done {
            let holders = &mut self.inventory[load.domain].holders;
            *holders.entry(load.model).or_insert(0) += 1;
        }
        let layouts = self.layouts();
        for index in 0..self.inventory.len() {
            while self.inventory[index].empty > 0 && self.loads.len() < self.case.loads {
                let Some(model) = self.next_model(index, &layouts) else {
                    break;
                };
                self.inventory[index].empty -= 1;
                self.loads.push(ActiveLoad {
                    domain: index,
                    model,
                    end: second + LOAD_TIME_S,
                });
            }
        }
    }

    /// Returns the layout, with loads in progress counted as held.
    fn layouts(&self) -> IndexMap<DomainId, DomainLayout> {
        let mut held = self.inventory.clone();
        for load in &self.loads {
            let holders = &mut held[load.domain].holders;
            *holders.entry(load.model.clone()).or_insert(0) += 1;
        }
        let demand = self.case.observed_demand();
        plan_layout(&self.case.engine(), &demand, &held, LayoutPhase::Serving)
    }

    fn next_model(
        &self,
        index: usize,
        layouts: &IndexMap<DomainId, DomainLayout>,
    ) -> Option<ModelId> {
        let domain = &self.inventory[index];
        let held = |model: &ModelId| {
            let loads = self.loads.iter();
            let loads = loads.filter(|load| load.domain == index && load.model == *model);
            domain.holders.get(model).copied().unwrap_or(0) + loads.count()
        };
        match self.policy {
            StartPolicy::OneModel => domain
                .holders
                .keys()
                .max_by_key(|model| held(model))
                .cloned(),
            StartPolicy::Layout => {
                let mut wanted = layouts[&domain.domain].holders.iter();
                let lacking = wanted.find(|(model, count)| held(model) < **count);
                lacking.map(|(model, _)| model.clone())
            }
        }
    }

    /// Makes a domain unreachable, or restores it with the weights it held.
    fn update_outage(&mut self, second: u64) {
        if !self.case.has_outage {
            return;
        }
        if second == OUTAGE_S.start {
            let index = self.rng.random_range(0..self.inventory.len());
            let emptied = DomainInventory {
                holders: IndexMap::new(),
                empty: 0,
                ..self.inventory[index].clone()
            };
            self.loads.retain(|load| load.domain != index);
            self.unreachable = Some(std::mem::replace(&mut self.inventory[index], emptied));
        }
        if second == OUTAGE_S.end {
            if let Some(unreachable) = self.unreachable.take() {
                let mut domains = self.inventory.iter_mut();
                let domain = domains.find(|inventory| inventory.domain == unreachable.domain);
                *domain.expect("the entry of the domain is kept") = unreachable;
            }
        }
    }

    /// Returns the share of each model's callers that find a group.
    fn served(&self) -> [f64; 2] {
        let mut shares_served = [0.0; 2];
        for (index, model) in [LARGE, SMALL].into_iter().enumerate() {
            let groups = self.inventory.iter().map(|domain| {
                let holders = domain.holders.get(model).copied().unwrap_or(0);
                holders / self.case.sizes[index]
            });
            shares_served[index] =
                (groups.sum::<usize>() as f64 / self.case.demand[index]).min(1.0);
        }
        shares_served
    }
}

/// Returns the mean share of each model's callers that find a group during a minute of losses.
fn simulate(case: FleetCase, policy: StartPolicy) -> [f64; 2] {
    let mut sums = [0.0; 2];
    for seed in 0..SIMULATIONS {
        let mut simulation = LossSimulation::new(seed, case, policy);
        for second in 0..SIMULATION_S {
            simulation.update_outage(second);
            if second % LOSS_INTERVAL_S == 0 {
                simulation.lose(second);
            }
            simulation.replace(second);
            simulation.load(second);
            for (sum, share) in sums.iter_mut().zip(simulation.served()) {
                *sum += share;
            }
        }
    }
    sums.map(|sum| sum / (SIMULATIONS * SIMULATION_S) as f64)
}

/// If each domain serves a single model, three of seven targets are unusable after the first loss,
/// and half of a model's callers are late or refused while the other model has twice the groups it
/// needs.
///
/// A target is lost every three seconds and replaced by an empty one; a load takes 16 s. Mean
/// shares of callers served in forty simulations of a minute, with callers filling six groups of
/// each model: 0.72 for the large model with one model per domain and 0.90 with the layout; 1.00
/// and 0.98 for the small one.
#[gtest]
fn a_mixed_layout_serves_more_callers_during_losses() {
    let before = simulate(SMALL_DOMAINS, StartPolicy::OneModel);
    let after = simulate(SMALL_DOMAINS, StartPolicy::Layout);
    expect_that!(after[0], gt(before[0] + 0.15));
    expect_that!(after[1], gt(0.97));
    expect_that!(after.iter().sum::<f64>(), gt(1.86));
}

/// The weight of a group must not be only the number of callers that it serves. A model whose
/// groups take four times the targets then gets the best utility at 0.63 of the other's coverage.
/// In domains of 37 targets it starts with 4 groups of sixteen where 4.3 are filled, while the
/// other has 32 groups of four where 17 are filled: its callers are late from the start, and half
/// of them are refused once targets are lost. The layout should have 6 and 27 groups.
#[gtest]
fn each_model_starts_with_more_groups_than_its_callers_fill() {
    let case = LARGE_DOMAINS;
    let layouts = case.start();
    for (index, model) in [LARGE, SMALL].into_iter().enumerate() {
        let held = layouts
            .values()
            .map(|layout| layout.holders.get(model).copied().unwrap_or(0));
        let groups: usize = held.map(|held| held / case.sizes[index]).sum();
        // One group may be lost and under repair at any time.
        expect_that!(groups as f64, ge(case.demand[index] + 1.0), "{model}");
    }
}

/// As above, while three targets are lost every three seconds: both models must be affected alike.
///
/// Mean shares of the large model's callers served in forty simulations: 0.92 when groups were
/// weighted by callers only, 0.99 with the geometric mean.
#[gtest]
fn losses_in_large_domains_affect_both_models_alike() {
    for has_outage in [false, true] {
        let case = FleetCase {
            has_outage,
            ..LARGE_DOMAINS
        };
        let shares_served = simulate(case, StartPolicy::Layout);
        expect_that!(
            shares_served[0],
            ge(shares_served[1] - MAX_SERVED_GAP),
            "{shares_served:?}, {has_outage}"
        );
        expect_that!(
            shares_served[1],
            ge(shares_served[0] - MAX_SERVED_GAP),
            "{shares_served:?}, {has_outage}"
        );
    }
}
