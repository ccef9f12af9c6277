//! `briarctl release`, which releases a request from quarantine.

use std::process::{Command, Output};

use googletest::prelude::*;

fn release(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_briarctl"));
    command.args(["--node", "127.0.0.1:1", "release"]);
    command.args(arguments);
    command.output().expect("briarctl runs")
}

fn stderr_of(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[gtest]
fn an_unreachable_node_is_named() {
    let output = release(&["00112233445566778899aabbccddeeff"]);
    expect_false!(output.status.success());
    expect_that!(stderr_of(&output), contains_substring("127.0.0.1:1"));
}

#[gtest]
fn the_request_is_a_required_argument() {
    let output = release(&[]);
    expect_false!(output.status.success());
    expect_that!(stderr_of(&output), contains_substring("missing required"));
}
