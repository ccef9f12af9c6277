//! What `briarctl explain` says of the speed of the chosen target.

use briarswitch_ctl::explain::{explain, LogLine};
use googletest::prelude::*;

/// Log lines of a request at a slow group, one at a normal target, and one that another node sent to a slow target.
const LINES: &str = r#"
ts=1.000 node=front-1 event=request_ended request=r1 target_id=i-1 group=g-1 outcome=answered speed_ratio=2.83
ts=2.000 node=front-1 event=request_ended request=r2 target_id=i-2 group="" outcome=answered speed_ratio=1
ts=3.000 node=front-2 event=request_ended request=r3 target_id=i-3 group="" forwarded_by=front-1 outcome=answered speed_ratio=1.54
ts=3.001 node=front-1 event=request_ended request=r3 target_id=i-3 group="" forwarded_to=front-2 outcome=answered speed_ratio=1
"#;

fn report(request: &str) -> String {
    let lines: Vec<LogLine> = LINES.lines().filter_map(LogLine::parse).collect();
    explain(&lines, request).expect("the request is found")
}

/// Guards against late responses of slow groups that nothing explains.
#[gtest]
fn the_ratio_of_a_slow_target_is_named() {
    expect_that!(
        report("r1"),
        contains_substring("the chosen group g-1 took 2.83 times as long")
    );
    expect_that!(report("r2"), not(contains_substring("as long")));
}

/// Guards against the ratio of the node that only relayed the response.
#[gtest]
fn the_node_that_sent_the_request_to_the_target_knows_its_ratio() {
    expect_that!(
        report("r3"),
        contains_substring("the chosen target i-3 took 1.54 times as long")
    );
}
