//! Releasing a quarantined request from the command line.

use std::process::{Command, Output};

use googletest::prelude::*;

fn release(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_briarctl"));
    command.args(["--node", "127.0.0.1:1", "release"]);
    command.args(arguments);
    command.output().expect("the program runs")
}

fn error_of(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[gtest]
fn a_node_that_can_not_be_reached_is_named() {
    let output = release(&["00112233445566778899aabbccddeeff"]);
    expect_false!(output.status.success());
    expect_that!(error_of(&output), contains_substring("127.0.0.1:1"));
}

#[gtest]
fn a_request_has_to_be_named() {
    let output = release(&[]);
    expect_false!(output.status.success());
    expect_that!(error_of(&output), contains_substring("missing required"));
}
