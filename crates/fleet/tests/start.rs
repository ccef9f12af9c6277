//! How a node starts: requests that arrive before its first configuration, and why it is not ready.

mod support;

use briarswitch_fleet::readiness::ReadinessCondition;
use briarswitch_fleet::shared::FleetPhase;
use briarswitch_fleet::shared::FleetShared;
use briarswitch_fleet::FleetSettings;
use briarswitch_kernel::BootClock;
use googletest::prelude::*;

use support::platform::PlatformStub;
use support::{config, settings};

/// Guards against requests being refused while the first configuration is being read.
#[gtest]
#[tokio::test]
async fn a_request_waits_for_the_first_configuration() {
    let link = PlatformStub::new(config()).link("n0");
    let shared = FleetShared::new(settings("n0", "z1"), 1, link.platform());
    let waiting = shared.initial_config();
    let reading = async {
        tokio::task::yield_now().await;
        shared.apply_config(config());
        shared.confirm_config(BootClock::now());
    };
    let (config, ()) = tokio::join!(waiting, reading);
    expect_true!(config.is_some());
    expect_true!(shared.trusts_keys());
}

/// Guards against requests waiting without end at a node that cannot read a configuration.
#[gtest]
#[tokio::test]
async fn a_request_waits_for_a_configuration_only_after_the_start() {
    let link = PlatformStub::new(config()).link("n0");
    let shared = FleetShared::new(settings("n0", "z1"), 1, link.platform());
    expect_true!(shared.initial_config().await.is_none());
    expect_true!(shared.initial_config().await.is_none());
}

/// Guards against a node that is not ready and does not say why.
#[gtest]
#[tokio::test]
async fn a_node_names_every_condition_that_keeps_it_from_being_ready() {
    let link = PlatformStub::new(config()).link("n0");
    let shared = FleetShared::new(settings("n0", "z1"), 1, link.platform());
    shared.set_phase(FleetPhase::Leaving);
    let readiness = shared.readiness();
    expect_that!(
        readiness.conditions(),
        contains_each![
            eq(&ReadinessCondition::Running),
            eq(&ReadinessCondition::Configuration),
            eq(&ReadinessCondition::Directory),
        ]
    );
    expect_that!(
        readiness.to_string(),
        contains_substring("waits for the first list of targets")
    );
    shared.apply_config(config());
    shared.confirm_config(BootClock::now());
    expect_that!(
        shared.readiness().conditions(),
        unordered_elements_are![
            eq(&ReadinessCondition::Running),
            eq(&ReadinessCondition::Directory)
        ]
    );
}

/// Guards against a process that panics before its first log line because a setting is no possible time.
#[gtest]
fn settings_with_a_time_out_of_range_are_rejected() {
    let text = r#"{"grace_s": 1e300, "retry_window_s": 1e300, "key_validity_ms": 1e300}"#;
    let findings = FleetSettings::parse("node.json", text).expect_err("settings are missing");
    let findings: Vec<String> = findings.iter().map(ToString::to_string).collect();
    for field in ["grace_s", "retry_window_s", "key_validity_ms"] {
        expect_that!(
            findings,
            contains(all![
                contains_substring(field),
                contains_substring("at most a year")
            ])
        );
    }
}
