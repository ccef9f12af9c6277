//! How a controller connects the observed speed of groups with the pace that their members report.

use std::time::Duration;

use briarswitch_core::engine::{EngineSpec, ModelSpec};
use briarswitch_core::id::*;
use briarswitch_core::speed::{JudgedSpeed, SpeedRatio};
use briarswitch_core::target::{
    Membership, MembershipState, TargetCache, TargetChange, TargetRecord,
};
use briarswitch_core::traffic::{CallerLimits, ServiceSpec, TrafficConfig};
use briarswitch_core::warmup::WarmupSpec;
use briarswitch_fleet::gauge_map::GaugeMap;
use briarswitch_fleet::pace_watch::PaceWatch;
use briarswitch_fleet::ports::TargetReport;
use briarswitch_fleet::routing_table::RoutingTable;
use briarswitch_fleet::tracker::TargetTracker;
use googletest::prelude::*;

const SERVICE: &str = "lm";
const MODEL: &str = "m";
const GROUP: &str = "g1";
const MEMBERS: [&str; 2] = ["t0", "t1"];

fn record(rank: usize) -> TargetRecord {
    TargetRecord {
        id: MEMBERS[rank].to_owned(),
        incarnation: 0,
        service: SERVICE.to_owned(),
        address: format!("127.0.0.1:{}", 9_000 + rank),
        zone: "z".to_owned(),
        is_draining: false,
        slots: 8,
        warmup_left: Duration::ZERO,
        domain: "d".to_owned(),
        staged: vec![MODEL.to_owned()],
        models: vec![MODEL.to_owned()],
        membership: Some(Membership {
            group: GROUP.to_owned(),
            epoch: 1,
            rank,
            state: MembershipState::Open,
        }),
    }
}

fn engine() -> EngineSpec {
    let model = ModelSpec {
        id: MODEL.to_owned(),
        group_size: MEMBERS.len(),
        ..ModelSpec::default()
    };
    EngineSpec {
        models: [(MODEL.to_owned(), model)].into(),
        ..EngineSpec::default()
    }
}

/// Returns the routing table of one group.
fn table() -> RoutingTable {
    let mut cache = TargetCache::default();
    for rank in 0..MEMBERS.len() {
        cache.apply(TargetChange::Put(Box::new(record(rank))), None);
    }
    let service = ServiceSpec {
        id: SERVICE.to_owned(),
        max_connections: 8,
        warmup: WarmupSpec::default(),
        engine: Some(engine()),
    };
    let config = TrafficConfig {
        version: 1,
        hosts: Default::default(),
        services: [(SERVICE.to_owned(), service)].into(),
        keys: None,
        limits: CallerLimits {
            header_bytes: 0,
            body_bytes: 0,
            send_time: Duration::ZERO,
            idle_time: Duration::ZERO,
        },
    };
    RoutingTable::build(
        &config,
        &cache,
        &RoutingTable::default(),
        &GaugeMap::default(),
    )
}

/// Guards against polls of a slow group in each control round, twenty times a second.
#[gtest]
fn the_members_of_a_slow_group_are_polled_once() {
    let table = table();
    let leader = table.all_groups().next().expect("a group");
    let set_slow = |is_slow| {
        let speed = JudgedSpeed::default();
        leader.gauge.speed().publish(&speed, 1.0, is_slow);
    };
    let mut watch = PaceWatch::default();
    expect_that!(watch.newly_slow(&table), is_empty());
    set_slow(true);
    expect_that!(watch.newly_slow(&table), eq(&MEMBERS.map(str::to_owned)));
    expect_that!(watch.newly_slow(&table), is_empty());
    set_slow(false);
    expect_that!(watch.newly_slow(&table), is_empty());
    set_slow(true);
    expect_that!(watch.newly_slow(&table).len(), eq(MEMBERS.len()));
}

/// Lets a member report paces one after the other; returns whether it has recovered after each.
fn recoveries(incarnations: &[(Incarnation, f64)]) -> Vec<bool> {
    let mut tracker = TargetTracker::default();
    let mut now = Duration::from_secs(100);
    tracker.sync([&record(0)].into_iter(), std::iter::empty(), now);
    let reports = incarnations.iter().map(|(incarnation, pace)| {
        now += Duration::from_secs(5);
        let report = TargetReport {
            incarnation: *incarnation,
            membership: None,
            model: None,
            staged: Vec::new(),
            sequence: 0,
            is_busy: false,
            active: 0,
            queued: 0,
            pace: Some(SpeedRatio::nearest(*pace)),
        };
        tracker.record_report(MEMBERS[0], Ok(report), false, &engine(), now);
        tracker.targets()[MEMBERS[0]].has_recovered()
    });
    reports.collect()
}

/// Guards against a ratio that is cleared by reports of a target that never noticed its slowness, and against one that
/// is not cleared at once.
#[gtest]
fn a_target_recovers_only_by_its_own_reports() {
    let same = [(0, 1.0), (0, 4.0), (0, 4.0), (0, 1.0), (0, 1.0)];
    let expected = vec![false, false, false, true, false];
    expect_that!(recoveries(&same), eq(&expected));
    let restarted = [(0, 4.0), (7, 1.0)];
    expect_that!(recoveries(&restarted), eq(&vec![false, false]));
}
