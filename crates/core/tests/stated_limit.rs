//! What a node knows of a limit that a target states, from responses and from other nodes.

use std::time::Duration;

use briarswitch_core::id::Moment;
use briarswitch_core::request_limit::RequestLimit;
use briarswitch_core::stated_limit::{LimitChange, LimitHeader, StatedLimit};
use googletest::prelude::*;

fn at(millis: u64) -> Moment {
    Duration::from_millis(millis)
}

fn limit(rate: f64) -> RequestLimit {
    RequestLimit::per_second(rate)
}

/// Returns the knowledge of a node that a target has told at 10 s to take two requests a second.
fn limited() -> StatedLimit {
    let mut stated = StatedLimit::default();
    stated.record_response(LimitHeader::Stated(limit(2.0)), at(9_900), at(10_000));
    stated
}

/// Guards against a limit that a response ends which the target made before it stated the limit.
#[gtest]
fn a_response_that_was_overtaken_does_not_end_a_limit() {
    let mut stated = limited();
    expect_that!(
        stated.record_response(LimitHeader::Absent, at(9_990), at(10_200)),
        none()
    );
    expect_that!(stated.limit(at(10_200)), some(eq(limit(2.0))));
    expect_that!(
        stated.record_response(LimitHeader::Absent, at(10_050), at(10_300)),
        some(eq(LimitChange::Ended))
    );
    expect_that!(stated.limit(at(10_300)), none());
}

/// Guards against an unreadable value that ends a limit or sets one.
#[gtest]
fn an_unreadable_limit_changes_nothing() {
    let mut stated = limited();
    expect_that!(
        stated.record_response(LimitHeader::Unreadable, at(10_100), at(10_200)),
        none()
    );
    expect_that!(stated.limit(at(10_200)), some(eq(limit(2.0))));
    let mut unlimited = StatedLimit::default();
    unlimited.record_response(LimitHeader::Unreadable, at(10_100), at(10_200));
    expect_that!(unlimited.limit(at(10_200)), none());
}

/// Guards against an old value that is kept beside a newer one.
#[gtest]
fn the_latest_value_applies() {
    let mut stated = limited();
    let change = stated.record_response(LimitHeader::Stated(limit(0.5)), at(10_050), at(10_100));
    expect_that!(change, some(eq(LimitChange::Begun(limit(0.5)))));
    expect_that!(stated.limit(at(10_100)), some(eq(limit(0.5))));
}

/// Guards against a limit that outlasts the incarnation that stated it.
#[gtest]
fn another_incarnation_has_no_limit() {
    let mut stated = limited();
    stated.forget(at(10_100));
    expect_that!(stated.limit(at(10_100)), none());
}

/// Guards against a target that is limited for good because it never responds again.
#[gtest]
fn a_limit_that_no_response_confirms_is_forgotten() {
    let stated = limited();
    expect_that!(stated.limit(at(69_000)), some(eq(limit(2.0))));
    expect_that!(stated.limit(at(70_000)), none());
}

/// Guards against a node that does not believe another one, and against an old report that replaces newer knowledge.
#[gtest]
fn reports_of_other_nodes_count_if_they_are_newer() {
    let mut told = StatedLimit::default();
    let change = told.record_report(Some(limit(2.0)), at(300), at(10_000));
    expect_that!(change, some(eq(LimitChange::Begun(limit(2.0)))));
    expect_that!(told.age(at(10_000)), eq(at(300)));
    // The age of a report is an estimate, so one that is hardly newer may be older.
    expect_that!(told.record_report(None, at(100), at(10_000)), none());
    expect_that!(
        told.record_report(None, at(100), at(10_400)),
        some(eq(LimitChange::Ended))
    );
    expect_that!(
        told.record_report(Some(limit(2.0)), at(0), at(10_700)),
        none()
    );
    expect_that!(
        told.record_report(Some(limit(2.0)), at(0), at(11_000)),
        some(anything())
    );
}

/// Guards against reports that nodes renew for each other for ever, after the target has gone.
#[gtest]
fn only_what_a_node_heard_itself_is_reported_and_only_for_a_while() {
    let mut told = StatedLimit::default();
    told.record_report(Some(limit(2.0)), at(0), at(10_000));
    expect_that!(told.report(at(10_100)), none());
    let own = limited();
    expect_that!(
        own.report(at(10_400)),
        some(eq((Some(limit(2.0)), at(400))))
    );
    expect_that!(own.report(at(10_500)), none());
}

/// Guards against an end that other nodes never believe since it came right after the limit was last stated.
#[gtest]
fn further_responses_confirm_for_a_while_that_a_limit_has_ended() {
    let mut own = limited();
    own.record_response(LimitHeader::Absent, at(10_050), at(10_100));
    own.record_response(LimitHeader::Absent, at(10_950), at(11_000));
    expect_that!(own.report(at(11_000)), some(eq((None, at(50)))));
    own.record_response(LimitHeader::Absent, at(12_950), at(13_000));
    expect_that!(own.report(at(13_000)), none());
}

/// Guards against messages full of limits that all nodes know, and against nodes that take a target in use for silent.
#[gtest]
fn a_limit_that_is_stated_on_is_reported_again_after_a_while() {
    let mut own = limited();
    let restate = |own: &mut StatedLimit, millis| {
        own.record_response(LimitHeader::Stated(limit(2.0)), at(millis - 50), at(millis))
    };
    restate(&mut own, 12_000);
    expect_that!(own.report(at(12_000)), none());
    restate(&mut own, 13_000);
    expect_that!(
        own.report(at(13_100)),
        some(eq((Some(limit(2.0)), at(100))))
    );
    // Another node has just reported it, so this one need not.
    own.record_report(Some(limit(2.0)), at(0), at(16_000));
    restate(&mut own, 16_100);
    expect_that!(own.report(at(16_100)), none());
}
