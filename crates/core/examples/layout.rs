//! Measures the time to plan the layout of all domains by number of targets.
//!
//! Run with `cargo run --release -p briarswitch-core --example layout`.

use std::time::{Duration, Instant};

use briarswitch_core::engine::{EngineModel, ModelSpec};
use briarswitch_core::id::{DomainId, ModelId};
use briarswitch_core::layout::{plan_layout, DomainInventory, DomainLayout, LayoutPhase};
use indexmap::IndexMap;

/// Targets per domain.
const DOMAIN_TARGETS: usize = 36;
/// Targets per zone.
const ZONE_TARGETS: usize = 360;
/// Number of timed runs.
const TRIALS: usize = 5;

fn engine() -> EngineModel {
    let model = |id: &str, size: usize| {
        let spec = ModelSpec {
            id: id.to_owned(),
            size,
            share: 0.5,
            pace: 1.0,
            load_time: Duration::from_secs(16),
            warmup: Duration::from_millis(1_600),
        };
        (spec.id.clone(), spec)
    };
    EngineModel {
        models: IndexMap::from([model("large", 16), model("small", 4)]),
        ..EngineModel::default()
    }
}

fn stock(targets: usize) -> Vec<DomainInventory> {
    let zones = (targets / ZONE_TARGETS).max(1);
    let domains = (0..targets / DOMAIN_TARGETS).map(|index| DomainInventory {
        domain: format!("d{index}"),
        zone: format!("z{}", index % zones),
        empty: DOMAIN_TARGETS,
        ..DomainInventory::default()
    });
    domains.collect()
}

/// Returns the inventory after the layout was carried out and every tenth domain got a new target.
fn held(
    stock: &[DomainInventory],
    layouts: &IndexMap<DomainId, DomainLayout>,
) -> Vec<DomainInventory> {
    let held = stock
        .iter()
        .enumerate()
        .map(|(index, domain)| DomainInventory {
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
