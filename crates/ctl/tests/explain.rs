//! Log queries of `briarctl explain` and `briarctl timeline`.

use briarswitch_ctl::explain::{explain, timeline, LogLine};
use googletest::prelude::*;

/// Log lines of two nodes, out of order and mixed with lines of other requests.
const LINES: &str = r#"
ts=12.300 level=info node=front-2 event=request_ended request=r1 organisation=acme rule=chat config=7 config_age_ms=310 service=lm target_id=i-9 group=g-4 outcome=unknown reason=stream_broken sent=2 events=11 wait_ms=0 first_ms=74 pause_ms=310 ms=1250
ts=11.050 level=info node=front-2 event=stream_resumed request=r1 from=i-4 to=i-9 reason=stream_silent after_event=3 silence_ms=205
ts=11.000 level=warn node=front-2 event=target_suspected target_id=i-4 group=g-2 silence_ms=204 writers=6
ts=11.900 level=info node=front-1 event=request_ended request=r2 outcome=not_run reason=no_target
ts=11.400 level=info node=front-1 event=order_sent target_id=i-4 order=leave group=g-2 expected=3 reason=member_lost
ts=11.402 level=info node=front-1 event=order_answered target_id=i-4 order=leave group=g-2 result=held ms=2
not a log line at all
"#;

fn lines() -> Vec<LogLine> {
    LINES.lines().filter_map(LogLine::parse).collect()
}

#[gtest]
fn the_lines_of_a_request_are_sorted_and_its_cause_is_named() {
    let report = explain(&lines(), "r1").expect("the request is found");
    let events: Vec<&str> = report.lines().collect();
    expect_that!(events[0], contains_substring("stream_resumed"));
    expect_that!(events[0], contains_substring("silence_ms=205"));
    expect_that!(events[1], contains_substring("+1.250 s"));
    expect_that!(
        report,
        contains_substring("unknown, because of stream_broken")
    );
    expect_that!(report, not(contains_substring("r2")));
}

#[gtest]
fn the_lines_of_a_group_come_from_all_nodes() {
    let report = timeline(&lines(), "g-2").expect("the group is found");
    let events: Vec<&str> = report.lines().collect();
    expect_that!(events.len(), eq(3));
    expect_that!(events[0], contains_substring("target_suspected"));
    expect_that!(events[2], contains_substring("result=held"));
}

#[gtest]
fn an_id_without_log_lines_is_not_found() {
    expect_that!(explain(&lines(), "r3"), none());
    expect_that!(timeline(&lines(), "g-9"), none());
}

/// Log lines of a request that passed over two targets, and of what targets said at its node and at another one.
const PASSED_OVER_LINES: &str = r#"
ts=1.000 node=front-1 event=target_limit_changed target_id=i-3 heard=response change=begun per_second=9
ts=70.000 node=front-1 event=target_limit_changed target_id=i-1 heard=peer change=begun per_second=2.4 age_ms=90
ts=71.000 node=front-2 event=target_leaving request=r8 target_id=i-2
ts=72.000 node=front-1 event=target_backoff_begun request=r7 target_id=i-4 asked_ms=3000 left_ms=3100
ts=73.000 node=front-1 event=request_ended request=r9 outcome=not_run reason=no_target limited=1 backing_off=1 leaving=0
ts=74.000 node=front-1 event=target_leaving request=r8 target_id=i-5
"#;

#[gtest]
fn a_request_that_passed_targets_over_is_explained_by_what_they_had_said() {
    let lines = PASSED_OVER_LINES.lines().filter_map(LogLine::parse);
    let lines: Vec<LogLine> = lines.collect();
    let report = explain(&lines, "r9").expect("the request is found");
    expect_that!(
        report,
        contains_substring("(limited=1, backing_off=1, leaving=0) had said at front-1")
    );
    expect_that!(report, contains_substring("-3.000 s  front-1"));
    expect_that!(report, contains_substring("per_second=2.4"));
    expect_that!(report, contains_substring("target_id=i-4"));
    for other in ["i-2", "i-3", "i-5"] {
        expect_that!(report, not(contains_substring(other)));
    }
}

/// Log lines of a request that one node forwarded to another, whose end is logged last.
const FORWARDED_LINES: &str = r#"
ts=5.000 node=front-1 event=request_forwarded request=r5 peer=front-2 tries=0 attempts=0 after_event="" ms=0
ts=5.300 node=front-1 event=request_ended request=r5 forwarded_to=front-2 forwarded_by="" outcome=answered reason="" sent=1
ts=5.301 node=front-2 event=request_ended request=r5 forwarded_to="" forwarded_by=front-1 outcome=caller_left reason="" sent=1
"#;

/// Guards against an outcome that is read from the node which only relayed the response.
#[gtest]
fn a_forwarded_request_is_followed_across_both_nodes() {
    let lines: Vec<LogLine> = FORWARDED_LINES.lines().filter_map(LogLine::parse).collect();
    let report = explain(&lines, "r5").expect("the request is found");
    expect_that!(report, contains_substring("peer=front-2"));
    expect_that!(report, contains_substring("forwarded_by=front-1"));
    expect_that!(report, contains_substring("answered"));
    expect_that!(
        report.lines().last(),
        some(not(contains_substring("caller_left")))
    );
}

/// Log lines of a request that was refused because of a part of its prompt, and of others with and without it.
const QUARANTINE_LINES: &str = r#"
ts=1.000 node=front-1 event=end_counted request=r1 print=70aa kind=part target_id=i-1 ends=1
ts=1.000 node=front-1 event=end_counted request=r1 print=11bb kind=request target_id=i-1 ends=1
ts=2.000 node=front-2 event=quarantine_begun print=70aa kind=part ends=5 left_ms=599000
ts=3.000 node=front-1 event=quarantine_refused request=r9 print=70aa kind=part left_ms=598000
ts=3.000 node=front-1 event=request_ended request=r9 print=22cc outcome=not_run reason=quarantined
"#;

#[gtest]
fn a_request_that_was_barred_is_explained_by_the_crashes_put_down_to_its_part() {
    let lines: Vec<LogLine> = QUARANTINE_LINES
        .lines()
        .filter_map(LogLine::parse)
        .collect();
    let report = explain(&lines, "r9").expect("the request is found");
    expect_that!(
        report,
        contains_substring("not_run, because of quarantined")
    );
    expect_that!(report, contains_substring("the part 70aa is quarantined"));
    expect_that!(report, contains_substring("-2.000 s  front-1"));
    expect_that!(report, contains_substring("left_ms=599000"));
    expect_that!(report, not(contains_substring("11bb")));
}

/// Guards against a refusal by forecast that looks like one after a full wait.
#[gtest]
fn a_refusal_by_forecast_is_explained() {
    let end = |forecast_ms: &str| {
        let line = format!("ts=1.000 node=front-1 event=request_ended request=r1 outcome=not_run reason=no_target forecast_ms={forecast_ms} ms=40");
        let lines = LogLine::parse(&line).into_iter().collect::<Vec<_>>();
        explain(&lines, "r1").expect("the request is found")
    };
    expect_that!(end("1250"), contains_substring("only after 1250 ms"));
    expect_that!(end("-1"), contains_substring("no slot was expected"));
    expect_that!(end("-1"), contains_substring("forecast_checked of front-1"));
    expect_that!(end("0"), not(contains_substring("refused by forecast")));
}
