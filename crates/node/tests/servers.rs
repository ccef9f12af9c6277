//! Servers that send bytes without an end, against a real process.
//!
//! Each test checks that the process lives, that its memory stays within what its machine has, and that an ordinary
//! request is answered meanwhile.

#[path = "clients/crowd.rs"]
#[allow(dead_code)]
mod crowd;
#[path = "clients/fleet.rs"]
#[allow(dead_code)]
mod fleet;
#[path = "clients/process.rs"]
mod process;
#[path = "clients/subject.rs"]
#[allow(dead_code)]
mod subject;
mod support;

use std::time::Duration;

use crowd::Crowd;
use fleet::{FleetProcess, UNENDED_EVENT_PATH};
use googletest::prelude::*;
use process::Bounds;
use subject::Subject;
use tokio::sync::{Mutex, MutexGuard};

/// Memory of the smallest machine of the deployments, in MB.
const MEMORY_MB: usize = 112;
/// Open files of that machine.
const OPEN_FILES: usize = 2_870;
/// Largest body that the configuration accepts, in bytes.
const BODY_BYTES: usize = 4 << 20;
/// Callers of streams whose event does not end.
const STREAM_CALLERS: usize = 200;
/// Time for which they do.
const NOISE_TIME: Duration = Duration::from_secs(6);
/// Time between two looks at the process.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// Status of an ordinary request that is served.
const SERVED: u16 = 200;

const BOUNDS: Bounds = Bounds {
    memory_bytes: MEMORY_MB * 1_000_000,
    open_files: OPEN_FILES,
};

/// Runs one test at a time: crowds of two tests would share the machine.
static TURN: Mutex<()> = Mutex::const_new(());

async fn turn() -> MutexGuard<'static, ()> {
    TURN.lock().await
}

/// Checks a node while bytes without an end arrive, and that it answers an ordinary request with a status then.
async fn check(subject: &Subject, expected: u16) {
    let mut peak = subject.usage();
    for _ in 0..NOISE_TIME.as_millis() / LOOK_INTERVAL.as_millis() {
        tokio::time::sleep(LOOK_INTERVAL).await;
        peak = peak.max(subject.usage());
    }
    let status = subject.ordinary_status().await;
    println!("usage: {peak:?}");
    expect_that!(status, eq(expected), "an ordinary request");
    expect_that!(subject.is_alive(), eq(true), "the process lives");
    expect_that!(peak.memory_bytes, le(BOUNDS.memory_bytes), "memory");
    expect_that!(peak.open_files, le(BOUNDS.open_files), "open files");
}

/// Guards against events without an end that are held for streams until the memory is used up.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn events_without_an_end_fill_no_memory() {
    let _turn = turn().await;
    let fleet = FleetProcess::start(BOUNDS, None).await;
    let subject = fleet.subject();
    let crowd = Crowd::of_lengths(STREAM_CALLERS, &subject.head(UNENDED_EVENT_PATH), 0);
    let _crowd = subject.meet(crowd).await;
    check(&subject, SERVED).await;
}
