//! Time that one decision on what all domains should hold takes, by the number of targets.
//!
//! Run with `cargo run --release -p briarswitch-core --example layout`.

use std::time::{Duration, Instant};

use briarswitch_core::engine::{EngineSpec, ModelSpec};
use briarswitch_core::id::{DomainId, ModelId};
use briarswitch_core::layout::{plan_layout, DomainLayout, DomainStock, LayoutPhase};
use indexmap::IndexMap;

/// Targets of a domain.
const DOMAIN_TARGETS: usize = 36;
/// Targets for each zone.
const ZONE_TARGETS: usize = 360;
/// Decisions that are timed.
const TRIALS: usize = 5;

fn engine() -> EngineSpec {
    let model = |id: &str, size: usize| {
        let spec = ModelSpec {
            id: id.to_owned(),
            group_size: size,
            expected_share: 0.5,
            time_factor: 1.0,
            load_time: Duration::from_secs(16),
            warmup: Duration::from_millis(1_600),
        };
        (spec.id.clone(), spec)
    };
    EngineSpec {
        models: IndexMap::from([model("large", 16), model("small", 4)]),
        ..EngineSpec::default()
    }
}

fn stock(targets: usize) -> Vec<DomainStock> {
    let zones = (targets / ZONE_TARGETS).max(1);
    let domains = (0..targets / DOMAIN_TARGETS).map(|index| DomainStock {
        domain: format!("d{index}"),
        zone: format!("z{}", index % zones),
        empty: DOMAIN_TARGETS,
        ..DomainStock::default()
    });
    domains.collect()
}

/// Returns the stock after the layout was carried out and each tenth domain has a new target.
fn held(stock: &[DomainStock], layouts: &IndexMap<DomainId, DomainLayout>) -> Vec<DomainStock> {
    let held = stock.iter().enumerate().map(|(index, domain)| DomainStock {
        holders: layouts[&domain.domain].holders.clone(),
        empty: usize::from(index % 10 == 0),
        ..domain.clone()
    });
    held.collect()
}

fn median(mut decide: impl FnMut()) -> Duration {
    let mut times: Vec<Duration> = (0..TRIALS)
        .map(|_| {
            let begun = Instant::now();
            decide();
            begun.elapsed()
        })
        .collect();
    times.sort_unstable();
    times[TRIALS / 2]
}

fn main() {
    let engine = engine();
    let demand: IndexMap<ModelId, f64> = IndexMap::new();
    println!("targets  before callers  while serving");
    for targets in [360, 3_600, 12_240] {
        let empty = stock(targets);
        let first = plan_layout(&engine, &demand, &empty, LayoutPhase::Start);
        let serving = held(&empty, &first);
        let start = median(|| drop(plan_layout(&engine, &demand, &empty, LayoutPhase::Start)));
        let later = median(|| {
            drop(plan_layout(
                &engine,
                &demand,
                &serving,
                LayoutPhase::Serving,
            ));
        });
        println!("{targets:>7}  {start:>14.1?}  {later:>13.1?}");
    }
}
