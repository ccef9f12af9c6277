//! Measures the time to plan the layout of all domains by number of targets.
//!
//! Run with `cargo run --release -p briarswitch-core --example layout`.

use std::time::{Duration, Instant};

use briarswitch_core::engine::{EngineSpec, ModelSpec};
use briarswitch_core::id::{DomainId, ModelId};
use briarswitch_core::layout::{plan_layout, DomainInventory, DomainLayout, LayoutPhase};
use indexmap::IndexMap;

/// Targets per domain.
const TARGETS_PER_DOMAIN: usize = 36;
/// Targets per zone.
const TARGETS_PER_ZONE: usize = 360;
/// Number of timed runs.
const TIMED_RUNS: usize = 5;

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

fn inventory(targets: usize) -> Vec<DomainInventory> {
    let zones = (targets / TARGETS_PER_ZONE).max(1);
    let domains = (0..targets / TARGETS_PER_DOMAIN).map(|index| DomainInventory {
        domain: format!("d{index}"),
        zone: format!("z{}", index % zones),
        empty: TARGETS_PER_DOMAIN,
        ..DomainInventory::default()
    });
    domains.collect()
}

/// Returns the inventory after the layout was carried out and every tenth domain got a new target.
fn filled_inventory(
    inventory: &[DomainInventory],
    layouts: &IndexMap<DomainId, DomainLayout>,
) -> Vec<DomainInventory> {
    let filled = inventory
        .iter()
        .enumerate()
        .map(|(index, domain)| DomainInventory {
            holders: layouts[&domain.domain].holders.clone(),
            empty: usize::from(index % 10 == 0),
            ..domain.clone()
        });
    filled.collect()
}

fn median(mut decide: impl FnMut()) -> Duration {
    let mut times: Vec<Duration> = (0..TIMED_RUNS)
        .map(|_| {
            let start = Instant::now();
            decide();
            start.elapsed()
        })
        .collect();
    times.sort_unstable();
    times[TIMED_RUNS / 2]
}

fn main() {
    let engine = engine();
    let demand: IndexMap<ModelId, f64> = IndexMap::new();
    println!("targets  before callers  while serving");
    for targets in [360, 3_600, 12_240] {
        let empty = inventory(targets);
        let first = plan_layout(&engine, &demand, &empty, LayoutPhase::Start);
        let serving = filled_inventory(&empty, &first);
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
