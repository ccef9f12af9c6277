//! When an active group is assumed to have lost a member.

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

/// Guards against taking a healthy group for silent while it processes other nodes' prompts. With a
/// full chunk in each step, a pass takes 370 ms; a limit that considered only this node's own
/// prompts was 205 ms. All nodes then left the group at once, the next group received all of their
/// prompts and looked silent as well, and first events of the larger model took 0.5 to 1 s with all
/// groups up.
#[gtest]
fn a_group_that_processes_other_nodes_prompts_is_not_silent() {
    let (engine, model) = (engine(), model());
    let activity = GroupActivity {
        active_requests: 10,
        local_requests: 1,
        ..GroupActivity::default()
    };
    let longest = engine.max_pass_time(&model, activity.active_requests);
    expect_that!(longest, gt(Duration::from_millis(370)));
    expect_that!(silence_limit(&engine, &model, &activity), gt(longest));
}

/// Guards against suspecting a healthy group that has just been sent its first request from this
/// node. The request arrives at the beginning of a 370 ms pass and its prompt is processed in the
/// next pass. A limit of one pass made nodes move prompts to other groups, which had to process
/// them again.
#[gtest]
fn a_node_without_a_running_stream_waits_for_two_passes() {
    let (engine, model) = (engine(), model());
    let activity = GroupActivity {
        active_requests: 24,
        local_requests: 2,
        prefill_requests: 2,
        ..GroupActivity::default()
    };
    let longest = engine.max_pass_time(&model, activity.active_requests);
    expect_that!(silence_limit(&engine, &model, &activity), gt(longest * 2));
    let with_active_stream = GroupActivity {
        prefill_requests: 1,
        ..activity
    };
    expect_that!(
        silence_limit(&engine, &model, &with_active_stream),
        lt(longest * 2)
    );
}

/// Guards against a limit that grows with the last observed interval. After a group has stalled
/// once, callers would wait for seconds until the engine's time-out when a member is lost.
#[gtest]
fn an_earlier_stall_does_not_extend_the_limit() {
    let (engine, model) = (engine(), model());
    let activity = GroupActivity {
        active_requests: 30,
        local_requests: 5,
        prefill_requests: 1,
        prefill_tokens: 1_460,
        max_interval: Duration::from_secs(4),
    };
    expect_that!(
        silence_limit(&engine, &model, &activity),
        lt(Duration::from_millis(500))
    );
}
