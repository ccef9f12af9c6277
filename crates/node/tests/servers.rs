//! Servers, peers and a store that send bytes without an end, against a real process.
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
use fleet::{FleetProcess, StoreNoise, ENGINE_SERVICE, HUGE_EVENT_PATH, UNENDED_EVENT_PATH};
use googletest::prelude::*;
use process::Bounds;
use serde_json::json;
use subject::Subject;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Mutex, MutexGuard};

/// Memory of the smallest machine of the deployments, in MB.
const MEMORY_MB: usize = 112;
/// Open files of that machine.
const OPEN_FILES: usize = 2_870;
/// Largest body that the configuration accepts, in bytes.
const BODY_BYTES: usize = 4 << 20;
/// Callers of streams whose event does not end.
const STREAM_CALLERS: usize = 200;
/// As many callers as the listener takes heads of.
const MANY_STREAM_CALLERS: usize = 600;
/// Servers and nodes that answer without an end.
const NOISY_PEERS: usize = 60;
/// Time for which they do.
const NOISE_TIME: Duration = Duration::from_secs(6);
/// Time between two looks at the process.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// Status of an ordinary request that is served.
const SERVED: u16 = 200;
/// Status of an ordinary request whose key is no longer valid, since its table has not been read for so long.
const KEYS_EXPIRED: u16 = 503;

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

/// Starts a server that answers each request with a body without an end; returns its address.
async fn noisy_server() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(send_noise(stream));
        }
    });
    address
}

async fn send_noise(mut stream: TcpStream) -> std::io::Result<()> {
    let noise = vec![b'x'; 64 << 10];
    let _ = stream.read(&mut [0; 4_096]).await?;
    let head = "HTTP/1.1 200 OK\r\ncontent-length: 60000000\r\n\r\n";
    stream.write_all(head.as_bytes()).await?;
    loop {
        stream.write_all(&noise).await?;
    }
}

async fn meet_streams(path: &str, callers: usize) {
    let _turn = turn().await;
    let fleet = FleetProcess::start(BOUNDS, None).await;
    let subject = fleet.subject();
    let crowd = Crowd::of_lengths(callers, &subject.head(path), 0);
    let _crowd = subject.meet(crowd).await;
    check(&subject, SERVED).await;
}

/// Guards against events without an end that are held for streams until the memory is used up.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn events_without_an_end_fill_no_memory() {
    meet_streams(UNENDED_EVENT_PATH, STREAM_CALLERS).await;
}

/// Guards against streams that fill the memory beside what is claimed for their events.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn events_without_an_end_of_many_streams_fill_no_memory() {
    meet_streams(UNENDED_EVENT_PATH, MANY_STREAM_CALLERS).await;
}

/// Guards against large events for callers that read nothing, which are held until the memory is used up.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn large_events_that_nobody_reads_fill_no_memory() {
    meet_streams(HUGE_EVENT_PATH, STREAM_CALLERS).await;
}

/// Guards against bodies without an end from the store that are held until the memory is used up.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn bodies_of_the_store_without_an_end_fill_no_memory() {
    let _turn = turn().await;
    let fleet = FleetProcess::start(BOUNDS, None).await;
    fleet.store.send_noise(StoreNoise::Bodies);
    check(&fleet.subject(), KEYS_EXPIRED).await;
}

/// Guards against a table without a last page that is read until the memory is used up.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_table_without_a_last_page_fills_no_memory() {
    let _turn = turn().await;
    let fleet = FleetProcess::start(BOUNDS, None).await;
    fleet.store.send_noise(StoreNoise::Pages);
    fleet.store.restore(fleet.store.version());
    check(&fleet.subject(), KEYS_EXPIRED).await;
}

/// Guards against gossip without an end from many nodes that is held until the memory is used up.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn gossip_without_an_end_fills_no_memory() {
    let _turn = turn().await;
    let fleet = FleetProcess::start(BOUNDS, None).await;
    for index in 0..NOISY_PEERS {
        let address = noisy_server().await;
        let node = format!("front-noisy-{index}");
        let entry = json!({"zone": "z1", "address": address, "incarnation": 1, "link_mbps": 1000});
        fleet.store.put("nodes", &node, &entry);
    }
    check(&fleet.subject(), SERVED).await;
}

/// Guards against reports without an end from many servers that are held until the memory is used up.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn reports_without_an_end_fill_no_memory() {
    let _turn = turn().await;
    let fleet = FleetProcess::start(BOUNDS, None).await;
    for index in 0..NOISY_PEERS {
        let address = noisy_server().await;
        let id = format!("i-noisy-{index}");
        let entry = json!({
            "service": ENGINE_SERVICE, "address": address, "zone": "z1", "version": "v1",
            "slots": 8, "state": "ready", "cold_remaining_ms": 0, "sequence": 1,
            "models": [], "domain": format!("d{index}"), "staged": [], "group": null, "born": 1,
        });
        fleet.store.put("servers", &id, &entry);
    }
    check(&fleet.subject(), SERVED).await;
}
