//! What a node takes from single responses and reports on the speed of a target.

use std::time::Duration;

use briarswitch_core::speed::{
    slow_set, JudgedSpeed, ReportedSpeed, SpeedRatio, SpeedRecord, SpeedSample, MIN_SAMPLES,
    RATIO_TTL,
};
use googletest::prelude::*;

fn sample(begun_ms: u64, took_ms: u64) -> SpeedSample {
    let begun_at = Duration::from_millis(begun_ms);
    SpeedSample {
        begun_at,
        ended_at: begun_at + Duration::from_millis(took_ms),
        expected: Duration::from_millis(100),
    }
}

/// Guards against judging a target by fewer responses than needed.
#[gtest]
fn a_target_is_judged_after_five_responses() {
    let mut record = SpeedRecord::default();
    let mut speeds = [JudgedSpeed::default(); 8];
    for index in 0..MIN_SAMPLES {
        expect_that!(slow_set(&speeds), each(eq(&false)), "{index} responses");
        let sample = sample(u64::from(index) * 100, 1_200);
        record.record(&sample);
        speeds[0].own = record.ratio(sample.ended_at);
        speeds[0].is_judged = record.is_judged();
    }
    expect_that!(slow_set(&speeds)[0], eq(true));
}

/// Guards against a target that is set aside forever when nobody sends it a request.
#[gtest]
fn ratios_expire() {
    let mut record = SpeedRecord::default();
    let last = (0..8).map(|index| sample(index * 100, 1_200));
    let last = last.inspect(|sample| {
        record.record(sample);
    });
    let ended_at = last
        .last()
        .map(|sample| sample.ended_at)
        .unwrap_or_default();
    expect_that!(record.ratio(ended_at), gt(3.0));
    expect_that!(record.ratio(ended_at + RATIO_TTL), eq(1.0));
}

/// Guards against a late response from before the recovery that marks a target as slow again.
#[gtest]
fn a_response_that_was_overtaken_does_not_count() {
    let mut record = SpeedRecord::default();
    expect_that!(record.record(&sample(1_000, 100)), eq(true));
    expect_that!(record.record(&sample(500, 1_200)), eq(false));
    expect_that!(record.ratio(Duration::from_millis(1_700)), eq(1.0));
}

/// Guards against nodes that keep a target set aside after another node has seen it recover.
#[gtest]
fn the_newest_report_counts() {
    let now = Duration::from_secs(10);
    let mut reported = ReportedSpeed::default();
    reported.record(SpeedRatio::nearest(8.0), Duration::from_millis(400), now);
    reported.record(SpeedRatio::default(), Duration::from_millis(100), now);
    reported.record(SpeedRatio::nearest(8.0), Duration::from_millis(300), now);
    expect_that!(reported.ratio(now), eq(1.0));
}
