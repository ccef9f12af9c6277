//! What nodes believe and tell of targets that fell silent.

use std::time::Duration;

use briarswitch_fleet::gauge::GaugeMap;
use googletest::prelude::*;

/// Symptom: with 71 nodes the groups of lost members were ended 2.5 to 3.8 s after the loss.
/// Events: streams of the group fall silent at other nodes; none of them passes through the node that
/// gives the group its orders.
/// Cause: a controller asked the members of groups only that it suspected itself.
#[gtest]
fn suspicions_of_other_nodes_are_seen_but_not_forwarded() {
    let gauges = GaugeMap::default();
    let now = Duration::from_secs(10);
    let target = "t1".to_owned();
    gauges
        .get(&target)
        .suspect_from_peer(now + Duration::from_millis(500));
    expect_true!(gauges.all_suspects(now).contains(&target));
    // Told on, two nodes would keep each other's word alive.
    expect_that!(gauges.local_suspects(now), is_empty());
}
