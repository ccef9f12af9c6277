//! How a node's process ends that can't start.

use std::fs;
use std::process::Command;

use googletest::prelude::*;
use serde_json::json;

/// Numbers of files with which no node can start: each fails in another place.
const FEW_FILES: [usize; 3] = [6, 8, 10];

/// Guards against a process that ends without a line that says why.
#[gtest]
fn a_start_without_files_leaves_a_line_on_why_it_ended() {
    let settings = json!({
        "node": "front-1", "zone": "z1", "regions": {"z1": "r1"},
        "callers": "127.0.0.1:0", "health": "127.0.0.1:0", "peers": "127.0.0.1:0",
        "metrics": "127.0.0.1:0", "store": "127.0.0.1:1", "link_mbps": 1000,
        "is_first_start": true, "fails_closed": true, "key_validity_ms": 5000,
        "retry_ratio": 0.2, "retry_burst": 600, "retry_window_s": 10, "grace_s": 4,
        "log_level": "info",
    });
    let file = std::env::temp_dir().join(format!("briarswitch-files-{}.json", std::process::id()));
    fs::write(&file, settings.to_string()).expect("a settings file");
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
