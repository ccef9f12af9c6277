//! Output of `briarctl costs`.

use std::process::Command;

use briarswitch_ctl::show;
use briarswitch_wire::operator::CostLine;
use googletest::prelude::*;

fn line(name: &str, count: u64) -> CostLine {
    CostLine {
        name: name.to_owned(),
        count,
        bytes: count * 10,
        micros: 3,
    }
}

#[gtest]
fn costs_are_shown_with_the_most_frequent_first() {
    let text = show::costs(&[line("gossip_far", 2), line("gossip_near", 40)]);
    let lines: Vec<Vec<&str>> = text
        .lines()
        .map(|line| line.split_whitespace().collect())
        .collect();
    expect_that!(
        lines,
        elements_are![
            eq(&["cause", "count", "bytes", "microseconds"]),
            eq(&["gossip_near", "40", "400", "3"]),
            eq(&["gossip_far", "2", "20", "3"]),
        ]
    );
}

#[gtest]
fn an_unreachable_node_is_named() {
    let output = Command::new(env!("CARGO_BIN_EXE_briarctl"))
        .args(["--node", "127.0.0.1:1", "costs"])
        .output()
        .expect("briarctl runs");
    expect_false!(output.status.success());
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    expect_that!(text, contains_substring("127.0.0.1:1"));
}
