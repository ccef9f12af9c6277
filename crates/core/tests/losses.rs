//! What callers of each model get while targets are lost and replaced by empty ones.

use std::time::Duration;

use briarswitch_core::engine::{EngineSpec, ModelSpec};
use briarswitch_core::id::*;
use briarswitch_core::layout::{plan_layout, DomainLayout, DomainStock, LayoutPhase};
use googletest::prelude::*;
use indexmap::IndexMap;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const LARGE: &str = "large";
const SMALL: &str = "small";
/// Zones, of two domains each.
const ZONES: [&str; 3] = ["a", "b", "c"];
/// Seconds of a play.
const PLAY_TIME: u64 = 60;
/// Seconds between two losses.
const LOSS_INTERVAL: u64 = 3;
/// Seconds that a load takes.
const LOAD_TIME: u64 = 16;
/// Seconds of a play in which a domain is dark, where one is.
const DARK_TIME: std::ops::Range<u64> = 11..18;
/// Plays of which a mean is taken.
const PLAYS: u64 = 40;
/// Part by which callers of one model may be served less often than those of another of the same service.
const FAIR_GAP: f64 = 0.05;

/// A fleet and what its callers ask for.
#[derive(Clone, Copy, Debug)]
struct FleetCase {
    /// Targets in one group of each model.
    sizes: [usize; 2],
    /// Part of the work that was declared for each model.
    shares: [f64; 2],
    /// Targets of a domain.
    targets: usize,
    /// Groups that the callers of each model fill.
    demand: [f64; 2],
    /// Targets lost at a time.
    lost: usize,
    /// Seconds until an empty target comes for a lost one.
    replaced_after: u64,
    /// Loads that may be under way.
    loads: usize,
    /// Whether a domain goes dark for some seconds.
    has_dark: bool,
}

const SMALL_DOMAINS: FleetCase = FleetCase {
    sizes: [4, 2],
    shares: [0.67, 0.33],
    targets: 8,
    demand: [6.0, 6.0],
    lost: 1,
    replaced_after: 0,
    loads: 6,
    has_dark: false,
};

/// Six domains of 37: the callers fill 4.3 groups of sixteen and 17 groups of four, 137 of 222 targets.
const LARGE_DOMAINS: FleetCase = FleetCase {
    sizes: [16, 4],
    shares: [0.5, 0.5],
    targets: 37,
    demand: [4.3, 17.0],
    lost: 3,
    replaced_after: 8,
    loads: 27,
    has_dark: false,
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

    fn stock(&self) -> Vec<DomainStock> {
        let names = ZONES.iter().flat_map(|zone| [(zone, 0), (zone, 1)]);
        let stock = names.map(|(zone, index)| DomainStock {
            domain: format!("{zone}{index}"),
            zone: (*zone).to_owned(),
            empty: self.targets,
            ..DomainStock::default()
        });
        stock.collect()
    }

    /// Returns what the domains should hold before the first caller.
    fn start(&self) -> IndexMap<DomainId, DomainLayout> {
        let stock = self.stock();
        plan_layout(&self.engine(), &IndexMap::new(), &stock, LayoutPhase::Start)
    }

    fn seen_demand(&self) -> IndexMap<ModelId, f64> {
        let names = [LARGE, SMALL].map(str::to_owned);
        names.into_iter().zip(self.demand).collect()
    }
}

/// What a play of losses starts with, and what new targets load.
#[derive(Clone, Copy, Debug)]
enum StartPolicy {
    /// Each domain serves one model.
    OneModel,
    /// The layout under test.
    Layout,
}

/// A load under way.
#[derive(Clone, Debug)]
struct LoadRun {
    domain: usize,
    model: ModelId,
    /// Second at which it ends.
    end: u64,
}

/// An empty target that is to come.
#[derive(Clone, Copy, Debug)]
struct ComingTarget {
    domain: usize,
    second: u64,
}

/// A fleet that loses targets every three seconds and gets empty ones for them.
struct LossPlay {
    rng: StdRng,
    case: FleetCase,
    stock: Vec<DomainStock>,
    policy: StartPolicy,
    loads: Vec<LoadRun>,
    coming: Vec<ComingTarget>,
    dark: Option<DomainStock>,
}

impl LossPlay {
    fn open(seed: u64, case: FleetCase, policy: StartPolicy) -> Self {
        let mut stock = case.stock();
        let layouts = case.start();
        for (index, domain) in stock.iter_mut().enumerate() {
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
            stock,
            policy,
            loads: Vec::new(),
            coming: Vec::new(),
            dark: None,
        }
    }

    /// Loses targets that hold weights; empty ones come for them.
    fn lose(&mut self, second: u64) {
        for _ in 0..self.case.lost {
            let index = self.rng.random_range(0..self.stock.len());
            let domain = &mut self.stock[index];
            let all: usize = domain.holders.values().sum();
            if all == 0 {
                continue;
            }
            let mut place = self.rng.random_range(0..all);
            for count in domain.holders.values_mut() {
                if place < *count {
                    *count -= 1;
                    break;
                }
                place -= *count;
            }
            self.coming.push(ComingTarget {
                domain: index,
                second: second + self.case.replaced_after,
            });
        }
    }

    fn replace(&mut self, second: u64) {
        let (come, rest) = std::mem::take(&mut self.coming)
            .into_iter()
            .partition(|target| target.second <= second);
        self.coming = rest;
        let come: Vec<ComingTarget> = come;
        for target in come {
            self.stock[target.domain].empty += 1;
        }
    }

    /// Begins and ends loads.
    fn load(&mut self, second: u64) {
        let (done, rest) = std::mem::take(&mut self.loads)
            .into_iter()
            .partition(|load| load.end <= second);
        self.loads = rest;
        let done: Vec<LoadRun> = done;
        for load in done {
            let holders = &mut self.stock[load.domain].holders;
            *holders.entry(load.model).or_insert(0) += 1;
        }
        let layouts = self.layouts();
        for index in 0..self.stock.len() {
            while self.stock[index].empty > 0 && self.loads.len() < self.case.loads {
                let Some(model) = self.next_model(index, &layouts) else {
                    break;
                };
                self.stock[index].empty -= 1;
                self.loads.push(LoadRun {
                    domain: index,
                    model,
                    end: second + LOAD_TIME,
                });
            }
        }
    }

    /// Returns what the domains should hold, loads under way counted as held.
    fn layouts(&self) -> IndexMap<DomainId, DomainLayout> {
        let mut held = self.stock.clone();
        for load in &self.loads {
            let holders = &mut held[load.domain].holders;
            *holders.entry(load.model.clone()).or_insert(0) += 1;
        }
        let demand = self.case.seen_demand();
        plan_layout(&self.case.engine(), &demand, &held, LayoutPhase::Serving)
    }

    fn next_model(
        &self,
        index: usize,
        layouts: &IndexMap<DomainId, DomainLayout>,
    ) -> Option<ModelId> {
        let domain = &self.stock[index];
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

    /// Takes a domain away, or gives it back with the weights it held.
    fn darken(&mut self, second: u64) {
        if !self.case.has_dark {
            return;
        }
        if second == DARK_TIME.start {
            let index = self.rng.random_range(0..self.stock.len());
            let emptied = DomainStock {
                holders: IndexMap::new(),
                empty: 0,
                ..self.stock[index].clone()
            };
            self.loads.retain(|load| load.domain != index);
            self.dark = Some(std::mem::replace(&mut self.stock[index], emptied));
        }
        if second == DARK_TIME.end {
            if let Some(dark) = self.dark.take() {
                let place = self.stock.iter_mut();
                let place = place.into_iter().find(|stock| stock.domain == dark.domain);
                *place.expect("the domain's place is kept") = dark;
            }
        }
    }

    /// Returns the part of each model's callers that find a place.
    fn served(&self) -> [f64; 2] {
        let mut parts = [0.0; 2];
        for (index, model) in [LARGE, SMALL].into_iter().enumerate() {
            let groups = self.stock.iter().map(|domain| {
                let holders = domain.holders.get(model).copied().unwrap_or(0);
                holders / self.case.sizes[index]
            });
            parts[index] = (groups.sum::<usize>() as f64 / self.case.demand[index]).min(1.0);
        }
        parts
    }
}

/// Returns the mean part of the callers of each model that find a place in a minute of losses.
fn play(case: FleetCase, policy: StartPolicy) -> [f64; 2] {
    let mut sums = [0.0; 2];
    for seed in 0..PLAYS {
        let mut play = LossPlay::open(seed, case, policy);
        for second in 0..PLAY_TIME {
            play.darken(second);
            if second % LOSS_INTERVAL == 0 {
                play.lose(second);
            }
            play.replace(second);
            play.load(second);
            for (sum, part) in sums.iter_mut().zip(play.served()) {
                *sum += part;
            }
        }
    }
    sums.map(|sum| sum / (PLAYS * PLAY_TIME) as f64)
}

/// Symptom: half of a model's callers are late or refused while the other model has twice the groups it
/// needs.
/// Events: a target is lost every three seconds and replaced by an empty one; a load takes 16 s.
/// Cause: each domain served one model, so three of seven targets stood idle after the first loss.
///
/// Callers that find a place, in the mean of forty plays of a minute in which each model's callers fill six
/// groups: of the large model 0.72 before and 0.90 after, of the small one 1.00 before and 0.98
/// after.
#[gtest]
fn losses_leave_more_callers_with_a_place() {
    let before = play(SMALL_DOMAINS, StartPolicy::OneModel);
    let after = play(SMALL_DOMAINS, StartPolicy::Layout);
    expect_that!(after[0], gt(before[0] + 0.15));
    expect_that!(after[1], gt(0.97));
    expect_that!(after.iter().sum::<f64>(), gt(1.86));
}

/// Symptom: in domains of 37 targets the callers of the model of large groups are late from the start, and
/// half of them are refused once targets are lost; the other model's groups are half empty.
/// Events: before the first caller weights are loaded for 4 groups of sixteen where 4.3 are filled, and for
/// 32 groups of four where 17 are.
/// Cause: the worth of a group counted by the callers that it serves. The model whose groups take four times
/// the targets was then best covered for 0.63 of the other, and spares took more. Now 6 and 27.
#[gtest]
fn each_model_starts_with_more_groups_than_its_callers_fill() {
    let case = LARGE_DOMAINS;
    let layouts = case.start();
    for (index, model) in [LARGE, SMALL].into_iter().enumerate() {
        let held = layouts
            .values()
            .map(|layout| layout.holders.get(model).copied().unwrap_or(0));
        let groups: usize = held.map(|held| held / case.sizes[index]).sum();
        // One may be lost and being mended at any time.
        expect_that!(groups as f64, ge(case.demand[index] + 1.0), "{model}");
    }
}

/// Symptom, events and cause as above, with the losses: three targets every three seconds.
///
/// Callers of the larger model that find a place, in the mean of forty plays: 0.92 before, 0.99 after.
#[gtest]
fn losses_in_large_domains_cost_both_models_alike() {
    for has_dark in [false, true] {
        let case = FleetCase {
            has_dark,
            ..LARGE_DOMAINS
        };
        let parts = play(case, StartPolicy::Layout);
        expect_that!(parts[0], ge(parts[1] - FAIR_GAP), "{parts:?}, {has_dark}");
        expect_that!(parts[1], ge(parts[0] - FAIR_GAP), "{parts:?}, {has_dark}");
    }
}
