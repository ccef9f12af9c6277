//! The check of settings files reports every fault in one run, each with its path.

use std::process::Command;

use googletest::prelude::*;

/// Expected findings, one per line; FILE stands for the path of the settings file.
const EXPECTED: &str = "\
FILE: colour: no such setting
FILE: gate.probe_interval_ms: expected a whole number from 10 to 3600000, found -5
FILE: lease.duration_ms: expected a whole number from 100 to 3600000, found \"long\"
FILE: listen.callers: expected an address such as 127.0.0.1:7000, found \"localhost\"
FILE: listen.colour: no such setting
FILE: log_level: expected one of off, error, warn, info, debug, trace, found \"loud\"
FILE: peers[0].zone: missing; expected text that is not empty
FILE: peers[1].address: expected an address such as 127.0.0.1:7000, found 7
FILE: platform.table: expected a service such as http://127.0.0.1:7000, found \"ftp://x\"
FILE: traffic_threads: expected a whole number from 1 to 256, found 0
settings: lease.margin_ms: must be less than half of lease.duration_ms
settings: lease.renew_ms: with control.platform_timeout_ms must be less than lease.duration_ms less the margin
settings: peers: 127.0.0.1:7001 is used by listen.operators too
settings: peers[1].node: the name one is used twice";

const INVALID_SETTINGS: &str = r#"{
  "colour": "red",
  "gate": {"probe_interval_ms": -5},
  "lease": {"duration_ms": "long", "margin_ms": 5000},
  "listen": {"callers": "localhost", "colour": 1, "operators": "127.0.0.1:7001"},
  "log_level": "loud",
  "peers": [
    {"node": "one", "address": "127.0.0.1:7001"},
    {"node": "one", "zone": "z", "address": 7}
  ],
  "platform": {"table": "ftp://x"},
  "traffic_threads": 0
}"#;

#[test]
fn every_mistake_is_found_in_one_run() {
    let file = std::env::temp_dir().join(format!("mistaken-{}.json", std::process::id()));
    std::fs::write(&file, INVALID_SETTINGS).expect("a file");
    let output = Command::new(env!("CARGO_BIN_EXE_briarswitch-node"))
        .arg("--check")
        .arg(&file)
        .output()
        .expect("the program runs");
    let name = file.display().to_string();
    let text = String::from_utf8_lossy(&output.stderr).replace(&name, "FILE");
    let mut found: Vec<&str> = text.lines().collect();
    found.sort_unstable();
    let mut expected: Vec<&str> = EXPECTED.lines().collect();
    expected.sort_unstable();

    assert_that!(output.status.code(), some(eq(2)));
    for (found, expected) in found.iter().zip(&expected) {
        assert_that!(found, starts_with(*expected));
    }
    assert_that!(found, len(eq(expected.len())));
}

#[test]
fn example_settings_are_valid() {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/settings");
    let mut count = 0;
    for user in ["kayal", "kalahari"] {
        for entry in std::fs::read_dir(format!("{root}/{user}")).expect("a folder") {
            let path = entry.expect("an entry").path();
            if !path.to_string_lossy().ends_with("-node.json") {
                continue;
            }
            let output = Command::new(env!("CARGO_BIN_EXE_briarswitch-node"))
                .arg("--check")
                .arg(&path)
                .output()
                .expect("the program runs");
            let text = String::from_utf8_lossy(&output.stderr).into_owned();
            assert_that!(text, eq(""));
            assert_that!(output.status.code(), some(eq(0)));
            count += 1;
        }
    }
    assert_that!(count, eq(12));
}
