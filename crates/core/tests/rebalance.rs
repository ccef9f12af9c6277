//! What domains exchange between models while callers come, and what callers get by it.

use std::time::Duration;

use briarswitch_core::engine::{EngineSpec, ModelSpec};
use briarswitch_core::id::*;
use briarswitch_core::layout::{DomainLayout, DomainStock};
use briarswitch_core::rebalance::{plan_rebalance, RebalanceParams};
use googletest::prelude::*;
use indexmap::IndexMap;

const LARGE: &str = "large";
const SMALL: &str = "small";
/// Domains, two of each zone.
const DOMAINS: usize = 6;
/// Seconds that a load takes.
const LOAD_TIME: u64 = 14;
/// Loads that may be under way at once.
const LOADS: usize = 12;
/// Seconds over which demand is smoothed.
const WINDOW: f64 = 10.0;
/// Sizes of domains that are played, with those of the groups.
const SHAPES: [(usize, [usize; 2]); 3] = [(8, [4, 2]), (27, [12, 6]), (73, [32, 8])];

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

fn stock(holders: &[[usize; 2]]) -> Vec<DomainStock> {
    let domains = holders.iter().enumerate();
    let domains = domains.map(|(index, [large, small])| DomainStock {
        domain: format!("d{index}"),
        zone: format!("z{}", index / 2),
        holders: IndexMap::from([(LARGE.to_owned(), *large), (SMALL.to_owned(), *small)]),
        empty: 0,
        shows_loads: true,
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
    domains: &[DomainStock],
    rates: [f64; 2],
) -> IndexMap<DomainId, DomainLayout> {
    plan_rebalance(RebalanceParams {
        engine: &engine(sizes),
        demand: &demand(rates),
        domains,
        loading: &IndexMap::new(),
    })
}

fn held(layout: &DomainLayout, model: &str) -> usize {
    layout.holders.get(model).copied().unwrap_or(0)
}

/// Returns how many targets a plan moves.
fn moved(domains: &[DomainStock], layouts: &IndexMap<DomainId, DomainLayout>) -> usize {
    let moved = domains.iter().map(|domain| {
        let before = domain.holders.get(SMALL).copied().unwrap_or(0);
        held(&layouts[&domain.domain], SMALL).abs_diff(before)
    });
    moved.sum()
}

/// Guards against a model whose callers are refused all day while another has groups that nobody fills.
#[gtest]
fn a_model_that_lacks_groups_gets_targets_of_one_that_has_more_than_it_needs() {
    let domains = stock(&[[27, 0], [15, 12], [27, 0], [15, 12], [15, 12], [15, 12]]);
    let layouts = plan([12, 6], &domains, [2.2, 9.0]);
    let small: usize = layouts.values().map(|layout| held(layout, SMALL) / 6).sum();
    let large: usize = layouts
        .values()
        .map(|layout| held(layout, LARGE) / 12)
        .sum();
    // One more than callers fill, and twice what those of the other model fill.
    expect_that!(small, ge(10));
    expect_that!(large, ge(5));
    for domain in &domains {
        let layout = &layouts[&domain.domain];
        expect_that!(
            held(layout, LARGE) + held(layout, SMALL),
            eq(27),
            "{}",
            domain.domain
        );
    }
}

/// Guards against weights that change hands though nobody is served better by it.
#[gtest]
fn nothing_moves_where_stock_matches_callers() {
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
        let domains = stock(&holders);
        expect_that!(
            moved(&domains, &plan([12, 6], &domains, rates)),
            eq(0),
            "{rates:?}"
        );
    }
}

/// Guards against an exchange that helps one model by leaving another short.
#[gtest]
fn a_model_is_never_left_with_less_than_its_callers_fill() {
    for (targets, sizes) in SHAPES {
        let most = targets / sizes[0];
        for large in 0..=most {
            let held = [large * sizes[0], targets - large * sizes[0]];
            let domains = stock(&[held; DOMAINS]);
            let groups = [large * DOMAINS, held[1] / sizes[1] * DOMAINS];
            for part in [0.2, 0.5, 0.9] {
                let rates = [groups[0] as f64 * part, groups[1] as f64 * 1.3];
                let layouts = plan(sizes, &domains, rates);
                let left: usize = layouts
                    .values()
                    .map(|layout| layout.holders.get(LARGE).copied().unwrap_or(0) / sizes[0])
                    .sum();
                let needed = rates[0].min(groups[0] as f64);
                expect_that!(
                    left as f64,
                    ge(needed),
                    "{targets} {sizes:?} {large} {part}"
                );
            }
        }
    }
}

/// Guards against all domains answering the same lack at once: what others are loading counts.
#[gtest]
fn targets_that_load_elsewhere_are_not_asked_for_again() {
    let domains = stock(&[[27, 0], [15, 12], [27, 0], [15, 12], [15, 12], [15, 12]]);
    let alone = moved(&domains, &plan([12, 6], &domains, [2.2, 9.0]));
    let coming = IndexMap::from([(SMALL.to_owned(), alone)]);
    let told = plan_rebalance(RebalanceParams {
        engine: &engine([12, 6]),
        demand: &demand([2.2, 9.0]),
        domains: &domains,
        loading: &coming,
    });
    expect_that!(moved(&domains, &told), le(alone / 3));
}

/// A fleet whose callers swing between two models; what is loaded serves after the time of a load.
struct SwingPlay {
    sizes: [usize; 2],
    domains: Vec<DomainStock>,
    trend: [f64; 2],
    /// Second, domain, and the model left and taken, of each load under way.
    loads: Vec<(u64, usize, usize)>,
    moves: usize,
}

impl SwingPlay {
    fn open(sizes: [usize; 2], holders: [usize; 2]) -> Self {
        Self {
            sizes,
            domains: stock(&[holders; DOMAINS]),
            trend: [0.0; 2],
            loads: Vec::new(),
            moves: 0,
        }
    }

    /// Begins the loads of a plan; a target serves its old model until its load is done.
    fn step(&mut self, second: u64, rates: [f64; 2], exchanges: bool) {
        let factor = if second == 0 {
            0.0
        } else {
            (-1.0 / WINDOW).exp()
        };
        for (trend, rate) in self.trend.iter_mut().zip(rates) {
            *trend = *trend * factor + rate * (1.0 - factor);
        }
        self.loads.retain(|(end, _, _)| *end > second);
        if !exchanges || second < 3 {
            return;
        }
        let layouts = plan(self.sizes, &self.domains, self.trend);
        for index in 0..self.domains.len() {
            let layout = &layouts[&self.domains[index].domain];
            for (to, model) in [LARGE, SMALL].into_iter().enumerate() {
                let holders = &mut self.domains[index].holders;
                let lacking = held(layout, model).saturating_sub(holders[model]);
                let count = lacking.min(LOADS.saturating_sub(self.loads.len()));
                *holders.get_mut(model).expect("a model of the play") += count;
                *holders
                    .get_mut([LARGE, SMALL][1 - to])
                    .expect("a model of the play") -= count;
                self.loads
                    .extend(std::iter::repeat_n((second + LOAD_TIME, index, to), count));
                self.moves += count;
            }
        }
    }

    /// Returns the part of the callers, by the groups they fill, that find a place.
    fn served(&self, rates: [f64; 2]) -> f64 {
        let served = [LARGE, SMALL]
            .into_iter()
            .enumerate()
            .map(|(index, model)| {
                let groups = self.domains.iter().enumerate().map(|(domain, stock)| {
                    let of_domain = self.loads.iter().filter(|(_, at, _)| *at == domain);
                    let (mut here, mut gone) = (0, 0);
                    for (_, _, to) in of_domain {
                        here += usize::from(*to == index);
                        gone += usize::from(*to != index);
                    }
                    // Until a group's worth of targets has loaded, their old group serves on.
                    let serving = stock.holders[model] - here + gone;
                    serving / self.sizes[index]
                });
                (groups.sum::<usize>() as f64).min(rates[index])
            });
        served.sum::<f64>() / rates.iter().sum::<f64>()
    }
}

/// Plays a minute and a half; returns the mean part of callers served, and the targets moved.
fn play(
    sizes: [usize; 2],
    holders: [usize; 2],
    exchanges: bool,
    rates: impl Fn(u64) -> [f64; 2],
) -> (f64, usize) {
    let mut play = SwingPlay::open(sizes, holders);
    let mut sum = 0.0;
    for second in 0..90 {
        play.step(second, rates(second), exchanges);
        sum += play.served(rates(second));
    }
    (sum / 90.0, play.moves)
}

/// Guards against a stock that stays as it was declared while callers ask for something else.
///
/// The load: callers of the smaller model fill more groups than it has, those of the larger a third of theirs.
#[gtest]
fn wrong_shares_at_the_start_are_made_good() {
    for (targets, sizes) in SHAPES {
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
        let (still, _) = play(sizes, holders, false, |_| rates);
        let (moving, _) = play(sizes, holders, true, |_| rates);
        expect_that!(moving, gt(still + 0.05), "{targets} {sizes:?}");
    }
}

/// Guards against moves without end where callers swing faster or slower than a load takes.
#[gtest]
fn callers_that_swing_cost_little_and_few_moves() {
    for period in [10, 30, 60] {
        let rates = |second: u64| {
            if second / period % 2 == 0 {
                [1.5, 7.0]
            } else {
                [3.0, 4.5]
            }
        };
        let (still, _) = play([12, 6], [12, 15], false, rates);
        let (moving, moves) = play([12, 6], [12, 15], true, rates);
        expect_that!(moving, ge(still - 0.01), "{period}");
        // Not more than one domain's targets for each change of the callers.
        expect_that!(moves as u64, le(27 * (90 / period)), "{period}");
    }
}
