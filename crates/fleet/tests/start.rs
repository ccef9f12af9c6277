//! What a node that has just started does with callers that come before it knows anything.

mod support;

use briarswitch_fleet::shared::FleetShared;
use briarswitch_kernel::BootClock;
use googletest::prelude::*;

use support::platform::PlatformStub;
use support::{book, settings};

/// Guards against callers being refused by a node whose first configuration is on its way.
#[gtest]
#[tokio::test]
async fn a_caller_that_comes_at_once_waits_for_the_first_configuration() {
    let door = PlatformStub::new(book()).link("n0");
    let shared = FleetShared::new(settings("n0", "z1"), 1, door.platform());
    let waiting = shared.initial_config();
    let reading = async {
        tokio::task::yield_now().await;
        shared.apply_config(book());
        shared.confirm_config(BootClock::now());
    };
    let (known, ()) = tokio::join!(waiting, reading);
    expect_true!(known.is_some());
    expect_true!(shared.trusts_keys());
}

/// Guards against callers held by a node that can not learn a configuration.
#[gtest]
#[tokio::test]
async fn a_caller_of_a_node_that_learns_nothing_is_not_held_beyond_its_start() {
    let door = PlatformStub::new(book()).link("n0");
    let shared = FleetShared::new(settings("n0", "z1"), 1, door.platform());
    expect_true!(shared.initial_config().await.is_none());
    expect_true!(shared.initial_config().await.is_none());
}
