//! What a node holds of a target: suspicions, its own and those of other nodes, and requests that others know of.

use std::time::Duration;

use briarswitch_fleet::gauge::SlotGuard;
use briarswitch_fleet::gauge_map::GaugeMap;
use googletest::prelude::*;

/// Guards against late detection of lost members. Controllers polled only groups that they suspected
/// themselves; when all streams of a group passed through other nodes, the group was dissolved 2.5 to 3.8 s after
/// the loss (71 nodes).
#[gtest]
fn suspicions_of_other_nodes_are_seen_but_not_forwarded() {
    let gauges = GaugeMap::default();
    let now = Duration::from_secs(10);
    let target = "t1".to_owned();
    gauges
        .get(&target)
        .suspect_from_peer(now + Duration::from_millis(500));
    expect_true!(gauges.all_suspects(now).contains(&target));
    // If it were forwarded, two nodes would keep renewing each other's suspicion.
    expect_that!(gauges.local_suspects(now), is_empty());
}

/// Guards against a node that leaves free slots unused because requests of which the others know still count as unknown.
#[gtest]
fn requests_count_as_unreported_until_the_next_report_only() {
    let gauges = GaugeMap::default();
    let gauge = gauges.get("t1");
    let acquire = || SlotGuard::acquire(&gauge, 0, Duration::from_secs(10));
    let (first, second) = (acquire(), acquire());
    expect_that!(gauge.unreported_requests(), eq(2));
    expect_that!(gauge.replaced_requests(), eq(0));
    gauge.record_report();
    expect_that!(gauge.unreported_requests(), eq(0));
    drop(first);
    let third = acquire();
    expect_that!(gauge.unreported_requests(), eq(1));
    expect_that!(gauge.replaced_requests(), eq(1));
    gauge.record_report();
    expect_that!(gauge.unreported_requests(), eq(0));
    expect_that!(gauge.replaced_requests(), eq(0));
    drop((second, third));
}
