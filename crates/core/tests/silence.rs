//! When a group at work counts as having lost a member.

use std::time::Duration;

use briarswitch_core::engine::{EngineSpec, ModelSpec};
use briarswitch_core::silence::{silence_limit, GroupActivity};
use googletest::prelude::*;

fn engine() -> EngineSpec {
    EngineSpec {
        slots: 30,
        steps_per_pass: 8,
        step_time: Duration::from_micros(5_950),
        step_time_per_request: Duration::from_nanos(44_500),
        prefill_tokens_per_second: 50_700.0,
        prefill_tokens_per_step: 2_048,
        ..EngineSpec::default()
    }
}

fn model() -> ModelSpec {
    ModelSpec {
        group_size: 16,
        time_factor: 1.0,
        ..ModelSpec::default()
    }
}

/// Symptom: nodes leave a sound group all at once, the next one gets the prompts of all of them, looks
/// silent as well, and so on; the larger model's first events took 0.5 to 1 s with every group there.
/// Events: other nodes' prompts make a group read a full chunk in each step of a pass, 370 ms.
/// Cause: the limit knew of this node's own prompts only and was 205 ms.
#[gtest]
fn a_group_that_reads_other_nodes_prompts_is_not_silent() {
    let (engine, model) = (engine(), model());
    let work = GroupActivity {
        active_requests: 10,
        local_requests: 1,
        ..GroupActivity::default()
    };
    let longest = engine.max_pass_time(&model, work.active_requests);
    expect_that!(longest, gt(Duration::from_millis(370)));
    expect_that!(silence_limit(&engine, &model, &work), gt(longest));
}

/// Symptom: sound groups are suspected by nodes that have just sent their first request there; prompts
/// are moved and read again elsewhere while six groups are at work.
/// Events: the request comes at the beginning of a pass that reads for 370 ms, and is read in the next.
/// Cause: one pass was allowed for, though the node hears nothing of the one under way.
#[gtest]
fn a_node_without_a_running_stream_waits_for_two_passes() {
    let (engine, model) = (engine(), model());
    let work = GroupActivity {
        active_requests: 24,
        local_requests: 2,
        prefill_requests: 2,
        ..GroupActivity::default()
    };
    let longest = engine.max_pass_time(&model, work.active_requests);
    expect_that!(silence_limit(&engine, &model, &work), gt(longest * 2));
    let hears = GroupActivity {
        prefill_requests: 1,
        ..work
    };
    expect_that!(silence_limit(&engine, &model, &hears), lt(longest * 2));
}

/// Symptom: callers wait until the engine gives up, after seconds.
/// Events: a member is lost; nothing comes any more.
/// Cause guarded against: a limit that grows with whatever interval was seen last.
#[gtest]
fn a_group_that_has_stalled_before_is_not_waited_for_longer() {
    let (engine, model) = (engine(), model());
    let work = GroupActivity {
        active_requests: 30,
        local_requests: 5,
        prefill_requests: 1,
        prefill_tokens: 1_460,
        max_interval: Duration::from_secs(4),
    };
    expect_that!(
        silence_limit(&engine, &model, &work),
        lt(Duration::from_millis(500))
    );
}
