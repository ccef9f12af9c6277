//! An engine with one model of large groups.

use std::time::Duration;

use briarswitch_core::engine::{EngineSpec, ModelSpec};

/// Returns an engine whose groups run so many requests concurrently.
pub fn large_engine(slots: u32) -> EngineSpec {
    let large = ModelSpec {
        id: "large".to_owned(),
        group_size: 32,
        expected_share: 0.5,
        time_factor: 1.0,
        ..ModelSpec::default()
    };
    EngineSpec {
        slots,
        steps_per_pass: 11,
        step_time: Duration::from_micros(5_950),
        step_time_per_request: Duration::from_nanos(44_500),
        prefill_tokens_per_second: 50_700.0,
        models: [(large.id.clone(), large)].into_iter().collect(),
        ..EngineSpec::default()
    }
}
