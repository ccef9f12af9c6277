//! State of a target in the tracker while another target responds at its address.

use std::time::Duration;

use briarswitch_core::assembly::TargetStatus;
use briarswitch_core::engine::EngineSpec;
use briarswitch_core::id::*;
use briarswitch_core::order::{OrderResult, TargetAction, TargetOrder};
use briarswitch_core::target::TargetRecord;
use briarswitch_fleet::ports::TargetReport;
use briarswitch_fleet::tracker::TargetTracker;
use googletest::prelude::*;

const TARGET: &str = "t1";

fn record() -> TargetRecord {
    TargetRecord {
        id: TARGET.to_owned(),
        incarnation: 0,
        service: "s".to_owned(),
        address: "10.0.0.1:80".to_owned(),
        zone: "z".to_owned(),
        is_draining: false,
        slots: 1,
        warmup_left: Duration::ZERO,
        domain: "d".to_owned(),
        staged: Vec::new(),
        models: Vec::new(),
        membership: None,
    }
}

fn report(sequence: u64) -> TargetReport {
    TargetReport {
        incarnation: 0,
        membership: None,
        model: None,
        staged: Vec::new(),
        sequence,
        is_busy: false,
        active: 0,
        queued: 0,
        pace: None,
    }
}

fn engine() -> EngineSpec {
    EngineSpec {
        report_lag: Duration::from_millis(200),
        ..EngineSpec::default()
    }
}

/// A tracker of one target, and the simulated time.
struct TrackerFixture {
    tracker: TargetTracker,
    now: Moment,
}

impl TrackerFixture {
    fn new() -> Self {
        let mut fixture = Self {
            tracker: TargetTracker::default(),
            now: Duration::from_secs(100),
        };
        fixture.list(&record());
        fixture
    }

    fn list(&mut self, record: &TargetRecord) {
        self.tracker
            .sync([record].into_iter(), std::iter::empty(), self.now);
    }

    fn is_polled(&mut self) -> bool {
        !self.tracker.take_due(self.now).is_empty()
    }

    fn report(&mut self, sequence: u64) {
        let report = Ok(report(sequence));
        self.tracker
            .record_report(TARGET, report, false, &engine(), self.now);
    }

    /// Requests a poll after a delay, and returns whether it is due.
    fn poll_after(&mut self, after: Duration) -> bool {
        self.now += after;
        self.tracker.poll_now(TARGET, self.now);
        self.is_polled()
    }

    fn order(&mut self, result: OrderResult) {
        let order = TargetOrder {
            target: TARGET.to_owned(),
            incarnation: 0,
            expected: 0,
            action: TargetAction::Stage {
                model: "m".to_owned(),
            },
            reason: "test",
        };
        self.tracker.record_order_result(&order, result, self.now);
    }

    fn status(&self) -> TargetStatus {
        self.tracker.targets()[TARGET].facts.status
    }
}

/// Guards against groups that are formed with a crashed target again and again, because another target at its
/// address responds to polls.
#[gtest]
fn a_target_whose_order_reached_another_one_is_silent() {
    let mut fixture = TrackerFixture::new();
    expect_true!(fixture.is_polled());
    fixture.report(0);
    expect_that!(fixture.status(), eq(TargetStatus::Live));
    fixture.order(OrderResult::OtherIncarnation);
    expect_that!(fixture.status(), eq(TargetStatus::Silent));
    expect_false!(fixture.poll_after(Duration::from_secs(10)));
}

/// Guards against the same failure before any order is sent: the order count of one incarnation never
/// decreases.
#[gtest]
fn a_target_whose_order_count_decreased_is_silent() {
    let mut fixture = TrackerFixture::new();
    expect_true!(fixture.is_polled());
    fixture.report(3);
    expect_true!(fixture.poll_after(Duration::from_secs(1)));
    fixture.report(0);
    expect_that!(fixture.status(), eq(TargetStatus::Silent));
}

/// Guards against taking a live target for silent because a report lags behind the previous one.
#[gtest]
fn a_lagging_order_count_does_not_make_a_target_silent() {
    let mut fixture = TrackerFixture::new();
    expect_true!(fixture.is_polled());
    fixture.report(3);
    expect_true!(fixture.poll_after(Duration::from_millis(100)));
    fixture.report(2);
    expect_that!(fixture.status(), eq(TargetStatus::Live));
}

/// Guards against ignoring a live target forever, although it writes its directory entry.
#[gtest]
fn a_replaced_target_that_writes_its_entry_is_live_again() {
    let mut fixture = TrackerFixture::new();
    expect_true!(fixture.is_polled());
    fixture.report(0);
    fixture.order(OrderResult::OtherIncarnation);
    fixture.list(&TargetRecord {
        slots: 2,
        ..record()
    });
    expect_that!(fixture.status(), eq(TargetStatus::Live));
    expect_true!(fixture.poll_after(Duration::from_secs(1)));
}
