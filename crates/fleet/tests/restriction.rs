//! What a request can expect of targets that limit themselves.

use std::time::Duration;

use briarswitch_core::id::Moment;
use briarswitch_fleet::restriction::{PassedOver, Restriction, SlotError, TargetOutlook};
use googletest::prelude::*;

const NOW: Moment = Duration::from_secs(100);
/// Time at which a waiting request would be refused.
const REFUSE_AT: Moment = Duration::from_secs(101);

fn limited(free_in_ms: Option<u64>) -> Option<Restriction> {
    Some(Restriction::Limited {
        free_at: free_in_ms.map(|millis| NOW + Duration::from_millis(millis)),
        rate: 2.0,
        ends_at: None,
    })
}

fn outlook(targets: &[(Option<Restriction>, bool)]) -> TargetOutlook {
    let mut outlook = TargetOutlook::default();
    for (restriction, is_tried) in targets {
        outlook.add(*restriction, *is_tried);
    }
    outlook
}

fn refusal(targets: &[(Option<Restriction>, bool)], waiting: usize) -> Option<SlotError> {
    outlook(targets).refusal(waiting, REFUSE_AT, NOW)
}

/// Guards against requests that wait until their time is up for targets that will not take them.
#[gtest]
fn a_request_is_refused_at_once_if_no_target_is_free_in_time() {
    let targets = [(limited(Some(3_000)), false), (limited(Some(2_000)), false)];
    let refusal = refusal(&targets, 0).expect("a refusal");
    expect_that!(refusal.available_in, some(eq(Duration::from_secs(2))));
    expect_that!(
        refusal.passed_over,
        eq(PassedOver {
            limited: 2,
            ..PassedOver::default()
        })
    );
}

/// Guards against a refusal while a target may take the request in time.
#[gtest]
fn a_request_waits_for_a_target_that_is_free_in_time() {
    expect_that!(refusal(&[(limited(Some(500)), false)], 0), none());
    let open = [(None, false), (limited(None), false)];
    expect_that!(refusal(&open, 9), none());
}

/// Guards against more waiting requests than a limit lets through before they are refused.
#[gtest]
fn a_request_behind_others_is_refused_at_once() {
    let targets = [(limited(Some(100)), false)];
    expect_that!(refusal(&targets, 1), none());
    let refusal = refusal(&targets, 2).expect("a refusal");
    expect_that!(refusal.available_in, some(eq(Duration::from_millis(1_100))));
}

/// Guards against a refusal for the pace of a limit that ends before that matters.
#[gtest]
fn a_request_behind_others_waits_for_a_limit_that_ends_in_time() {
    let warming = Restriction::Limited {
        free_at: None,
        rate: 0.0,
        ends_at: Some(NOW + Duration::from_millis(700)),
    };
    expect_that!(refusal(&[(Some(warming), false)], 20), none());
}

/// Guards against a retry that waits for targets which it may not use again.
#[gtest]
fn a_target_that_has_been_tried_is_not_waited_for() {
    let targets = [(None, true), (limited(None), false)];
    let refusal = refusal(&targets, 0).expect("a refusal");
    expect_that!(refusal.available_in, none());
}

/// Guards against targets that take no requests yet and that requests wait for in vain.
#[gtest]
fn targets_to_back_off_from_are_waited_for_only_if_they_are_back_in_time() {
    let backing_off = |seconds| {
        let until = NOW + Duration::from_secs_f64(seconds);
        (Some(Restriction::BackingOff { until }), false)
    };
    expect_that!(refusal(&[backing_off(3.0), backing_off(0.5)], 0), none());
    let refusal = refusal(&[backing_off(3.0), (limited(None), false)], 0).expect("a refusal");
    expect_that!(refusal.available_in, some(eq(Duration::from_secs(3))));
    expect_that!(
        refusal.passed_over,
        eq(PassedOver {
            limited: 1,
            backing_off: 1,
            leaving: 0
        })
    );
}

/// Guards against requests that are refused while the targets that replace leaving ones are about to come.
#[gtest]
fn a_request_waits_for_what_replaces_targets_that_are_leaving() {
    let leaving = (Some(Restriction::Leaving), false);
    expect_that!(refusal(&[leaving, leaving], 0), none());
    expect_that!(outlook(&[leaving]).passed_over.leaving, eq(1));
    let limited = (limited(Some(3_000)), false);
    expect_that!(refusal(&[leaving, limited], 0), some(anything()));
}

/// Guards against restrictions that are blamed where there are none.
#[gtest]
fn targets_without_restrictions_refuse_nothing() {
    expect_that!(refusal(&[], 5), none());
    expect_that!(refusal(&[(None, false)], 5), none());
    expect_that!(refusal(&[(None, true)], 5), none());
}
