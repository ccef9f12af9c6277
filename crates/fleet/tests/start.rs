//! How a node handles requests that arrive before it has read its first configuration.

mod support;

use briarswitch_fleet::shared::FleetShared;
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
