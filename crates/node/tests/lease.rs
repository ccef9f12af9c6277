//! The calls of a zone's controller on its lease, without a platform.

use std::time::Duration;

use briarswitch_node::layers::SettingsLayers;
use briarswitch_node::lease::LeaseDriver;
use googletest::prelude::*;

/// Guards against a node that takes the lease again while it leaves, because its controller was renewed after a panic.
#[gtest]
fn a_renewed_controller_of_a_leaving_node_asks_for_no_lease() {
    let settings = SettingsLayers::with_defaults().build();
    let settings = settings.expect("settings by default are valid");
    let now = Duration::from_secs(1_000);
    let mut driver = LeaseDriver::new(&settings, 1);
    expect_true!(driver.renew(&settings).next_call(now).is_some());
    driver.release(now);
    expect_true!(driver.renew(&settings).next_call(now).is_none());
}
