//! How a node's process ends that can't start, and for what it waits before.

use std::fs::{self, File};
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use serde_json::json;

/// Longest time that a test waits for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Numbers of files with which no node can start: each fails in another place.
const FEW_FILES: [usize; 3] = [6, 8, 10];

/// Returns the settings of a node whose store doesn't answer.
fn settings() -> String {
    let value = json!({
        "node": "front-1", "zone": "z1", "regions": {"z1": "r1"},
        "callers": "127.0.0.1:0", "health": "127.0.0.1:0", "peers": "127.0.0.1:0",
        "metrics": "127.0.0.1:0", "store": "127.0.0.1:1", "link_mbps": 1000,
        "is_first_start": true, "fails_closed": true, "key_validity_ms": 5000,
        "retry_ratio": 0.2, "retry_burst": 600, "retry_window_s": 10, "grace_s": 4,
        "log_level": "info",
    });
    value.to_string()
}

/// Guards against a process that ends without a line that says why.
#[gtest]
fn a_start_without_files_leaves_a_line_on_why_it_ended() {
    let file = std::env::temp_dir().join(format!("briarswitch-files-{}.json", std::process::id()));
    fs::write(&file, settings()).expect("a settings file");
    for limit in FEW_FILES {
        // The shell lowers the limit and becomes the node.
        let output = Command::new("sh")
            .arg("-c")
            .arg(format!("ulimit -n {limit}; exec \"$0\" --fleet \"$1\""))
            .arg(env!("CARGO_BIN_EXE_briarswitch-node"))
            .arg(&file)
            .output()
            .expect("the node starts");
        let log = String::from_utf8_lossy(&output.stdout);
        let has_reason = ["node_failed", "thread_panicked"]
            .iter()
            .any(|event| log.contains(&format!(" event={event} ")));
        expect_true!(has_reason, "{limit} files, {}: {log}", output.status);
    }
}

/// Guards against a process that ends because its settings are written while it starts.
#[gtest]
fn a_node_waits_for_settings_that_are_still_written() {
    let stem = std::env::temp_dir().join(format!("briarswitch-late-{}", std::process::id()));
    let (file, log) = (stem.with_extension("json"), stem.with_extension("log"));
    let _ = fs::remove_file(&file);
    let mut child = Command::new(env!("CARGO_BIN_EXE_briarswitch-node"))
        .arg("--fleet")
        .arg(&file)
        .stdout(File::create(&log).expect("a log"))
        .spawn()
        .expect("the node starts");
    let text = settings();
    for length in [0, text.len() / 2, text.len()] {
        // The process reads the file several times in each state.
        std::thread::sleep(Duration::from_millis(300));
        fs::write(&file, &text[..length]).expect("a settings file");
    }
    let start = Instant::now();
    while !has_started(&log) && start.elapsed() < WAIT_TIMEOUT {
        let ended = child.try_wait().expect("a child");
        assert_that!(ended, none());
        std::thread::sleep(Duration::from_millis(20));
    }
    expect_true!(has_started(&log));
    let _ = child.kill();
    let _ = child.wait();
}

fn has_started(log: &Path) -> bool {
    let log = fs::read_to_string(log).expect("a log");
    log.contains(" event=node_started ")
}
