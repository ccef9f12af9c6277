//! Crowds of clients that do not behave, against real processes.
//!
//! Each test checks that the process lives, that its memory and open files stay within what its
//! machine has, and that an ordinary request is answered while the crowd is still connected.

#[path = "clients/crowd.rs"]
mod crowd;
#[path = "clients/fleet.rs"]
mod fleet;
#[path = "clients/process.rs"]
mod process;
#[path = "clients/subject.rs"]
mod subject;
mod support;

use briarswitch_standins::LinkMode;
use briarswitch_wire::peer::FORWARD_PREFIX;
use crowd::{Crowd, CHUNK_BYTES, SMALL_CHUNK_BYTES};
use fleet::FleetProcess;
use googletest::prelude::*;
use process::Bounds;
use subject::Subject;
use support::{Cluster, ClusterSpec, SERVICE};
use tokio::sync::{Mutex, MutexGuard};

/// Memory of the smallest machine of the deployments, in MB.
const MEMORY_MB: usize = 112;
/// Open files of that machine.
const OPEN_FILES: usize = 2_870;
/// Open files where a crowd of connections uses them up.
const FEW_OPEN_FILES: usize = 256;
/// Largest body that the configuration accepts, in bytes.
const BODY_BYTES: usize = 4 << 20;
/// Callers that send a body and stop short of its end.
const BODY_CALLERS: usize = 60;
/// Largest message between nodes in bytes.
const MESSAGE_BYTES: usize = 1 << 20;
/// Callers that send such a message and stop short of its end.
const MESSAGE_CALLERS: usize = 160;
/// Callers that send a head without an end.
const HEAD_CALLERS: usize = 600;
/// Bytes of such a head.
const HEAD_BYTES: usize = 380_000;
/// Parts of a prompt that one request names; its headers stay within the limit.
const PROMPT_PARTS: usize = 3_900;
/// Callers that connect and send nothing.
const SILENT_CALLERS: usize = 600;
/// Callers that do not read a large answer.
const READING_CALLERS: usize = 60;

const BOUNDS: Bounds = Bounds {
    memory_bytes: MEMORY_MB * 1_000_000,
    open_files: OPEN_FILES,
};
const FEW_FILES_BOUNDS: Bounds = Bounds {
    open_files: FEW_OPEN_FILES,
    ..BOUNDS
};

/// Runs one test at a time: crowds of two tests would share the machine.
static TURN: Mutex<()> = Mutex::const_new(());

async fn turn() -> MutexGuard<'static, ()> {
    TURN.lock().await
}

async fn start_fleet() -> FleetProcess {
    FleetProcess::start(BOUNDS, None).await
}

/// Starts a fleet's node, lets a crowd loose at its listener for callers, and checks it.
async fn meet_at_fleet(crowd: impl FnOnce(&Subject) -> Crowd) {
    let _turn = turn().await;
    let fleet = start_fleet().await;
    let subject = fleet.subject();
    let crowd = crowd(&subject);
    check(&subject, crowd, BOUNDS).await;
}

/// Starts nodes whose settings name everything, with plain services.
async fn start_cluster(nodes: usize, services: usize, bounds: Bounds) -> Cluster {
    Cluster::start(ClusterSpec {
        nodes_per_zone: nodes,
        engines_per_zone: 0,
        services_per_zone: services,
        replicas_per_zone: 0,
        settings: vec![
            format!("limits.memory_mb={}", bounds.memory_bytes / 1_000_000),
            format!("limits.open_files={}", bounds.open_files),
            format!("requests.body_bytes={BODY_BYTES}"),
        ],
        ..ClusterSpec::default()
    })
    .await
}

/// Lets a crowd loose on a node and checks it while the crowd stays connected.
async fn check(subject: &Subject, crowd: Crowd, bounds: Bounds) {
    let crowd = subject.meet(crowd).await;
    let status = subject.ordinary_status().await;
    expect_that!(status, eq(200), "an ordinary request");
    let usage = subject.usage();
    println!("usage: {usage:?}, seen with the crowd: {:?}", crowd.peak);
    expect_that!(subject.is_alive(), eq(true), "the process lives");
    expect_that!(
        usage.memory_bytes.max(crowd.peak.memory_bytes),
        le(bounds.memory_bytes),
        "memory"
    );
    expect_that!(
        usage.open_files.max(crowd.peak.open_files),
        le(bounds.open_files),
        "open files"
    );
}

/// Checks that one request with the largest body is served.
async fn check_largest_body(subject: &Subject) {
    let status = subject.body_status(BODY_BYTES).await;
    expect_that!(status, eq(200), "a request with the largest body");
}

/// Guards against large bodies that are held until the process is out of memory, as their callers never finish them.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn fleet_bodies_that_stop_short_of_their_length_fill_no_memory() {
    let _turn = turn().await;
    let fleet = start_fleet().await;
    let subject = fleet.subject();
    check_largest_body(&subject).await;
    let crowd = Crowd::of_lengths(BODY_CALLERS, &subject.head("/look/x"), BODY_BYTES);
    check(&subject, crowd, BOUNDS).await;
}

/// Guards against bodies without a length that are held beyond the memory.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn fleet_bodies_in_large_chunks_without_an_end_fill_no_memory() {
    meet_at_fleet(|subject| {
        let head = subject.head("/look/x");
        Crowd::of_chunks(BODY_CALLERS, &head, BODY_BYTES - 1, CHUNK_BYTES)
    })
    .await;
}

/// Guards against chunks whose bookkeeping or buffers take more than their bytes.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn fleet_bodies_in_small_chunks_without_an_end_fill_no_memory() {
    meet_at_fleet(|subject| {
        let head = subject.head("/look/x");
        Crowd::of_chunks(BODY_CALLERS, &head, BODY_BYTES - 1, SMALL_CHUNK_BYTES)
    })
    .await;
}

/// Guards against heads that are buffered far beyond their limit and never given up.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn fleet_heads_without_an_end_fill_no_memory() {
    meet_at_fleet(|subject| Crowd::of_heads(HEAD_CALLERS, &subject.head("/look/x"), HEAD_BYTES))
        .await;
}

/// Guards against empty lines that are buffered while a request is waited for.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn fleet_empty_lines_without_an_end_fill_no_memory() {
    meet_at_fleet(|_| Crowd::of_empty_lines(HEAD_CALLERS, HEAD_BYTES)).await;
}

/// Guards against connections that use the descriptors up, and a listener that spins once they are.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn fleet_silent_connections_leave_open_files_for_others() {
    let _turn = turn().await;
    let fleet = FleetProcess::start(FEW_FILES_BOUNDS, Some(FEW_OPEN_FILES)).await;
    let subject = fleet.subject();
    check(
        &subject,
        Crowd::of_silence(SILENT_CALLERS),
        FEW_FILES_BOUNDS,
    )
    .await;
}

/// Guards against answers that are held until callers read them, which these never do.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn fleet_answers_that_nobody_reads_fill_no_memory() {
    meet_at_fleet(|subject| {
        let head = subject.head(fleet::LARGE_ANSWER_PATH);
        Crowd::of_lengths(READING_CALLERS, &head, 0)
    })
    .await;
}

/// Guards against streams of which much waits unread at the node while their callers do not read.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn fleet_streams_that_nobody_reads_fill_no_memory() {
    meet_at_fleet(|subject| {
        let head = subject.head(fleet::ENDLESS_STREAM_PATH);
        Crowd::of_lengths(READING_CALLERS, &head, 0)
    })
    .await;
}

/// Guards against headers that take many times their size while their requests wait.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn fleet_prompt_parts_of_waiting_requests_fill_no_memory() {
    meet_at_fleet(|subject| {
        let parts = fleet::prompt_parts_line(PROMPT_PARTS);
        let head = subject.head(fleet::SLOW_ANSWER_PATH) + &parts;
        Crowd::of_whole_bodies(HEAD_CALLERS, &head, 2)
    })
    .await;
}

/// Guards against forwarded requests that another node never finishes.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn fleet_bodies_of_forwarded_requests_fill_no_memory() {
    let _turn = turn().await;
    let fleet = start_fleet().await;
    let subject = fleet.subject_at(fleet.peers);
    let head = subject.head(fleet::FORWARD_PATH);
    let crowd = Crowd::of_lengths(BODY_CALLERS, &head, BODY_BYTES);
    check(&subject, crowd, BOUNDS).await;
}

/// Guards against messages between nodes that are never finished.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn fleet_bodies_of_messages_between_nodes_fill_no_memory() {
    let _turn = turn().await;
    let fleet = start_fleet().await;
    let subject = fleet.subject_at(fleet.peers);
    let head = subject.head(fleet::GOSSIP_PATH);
    let crowd = Crowd::of_lengths(MESSAGE_CALLERS, &head, MESSAGE_BYTES);
    check(&subject, crowd, BOUNDS).await;
}

/// Guards against listeners beside that for callers that buffer heads without a limit.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn fleet_heads_without_an_end_fill_no_memory_at_other_listeners() {
    let _turn = turn().await;
    let fleet = start_fleet().await;
    for listener in [fleet.health, fleet.peers, fleet.metrics] {
        let subject = fleet.subject_at(listener);
        let crowd = Crowd::of_heads(HEAD_CALLERS, &subject.head("/ready"), HEAD_BYTES);
        check(&subject, crowd, BOUNDS).await;
    }
}

/// Guards against large bodies that are held until the process is out of memory, as their callers never finish them.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn cluster_bodies_that_stop_short_of_their_length_fill_no_memory() {
    let _turn = turn().await;
    let cluster = start_cluster(1, 1, BOUNDS).await;
    let subject = Subject::of_cluster(&cluster, 0);
    check_largest_body(&subject).await;
    let crowd = Crowd::of_lengths(BODY_CALLERS, &subject.head("/x"), BODY_BYTES);
    check(&subject, crowd, BOUNDS).await;
}

/// Guards against bodies without a length that are held beyond the memory.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn cluster_bodies_in_chunks_without_an_end_fill_no_memory() {
    let _turn = turn().await;
    let cluster = start_cluster(1, 1, BOUNDS).await;
    let subject = Subject::of_cluster(&cluster, 0);
    let head = subject.head("/x");
    for chunk_bytes in [CHUNK_BYTES, SMALL_CHUNK_BYTES] {
        let crowd = Crowd::of_chunks(BODY_CALLERS, &head, BODY_BYTES - 1, chunk_bytes);
        check(&subject, crowd, BOUNDS).await;
    }
}

/// Guards against heads and empty lines that are buffered without a limit.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn cluster_heads_without_an_end_fill_no_memory() {
    let _turn = turn().await;
    let cluster = start_cluster(1, 1, BOUNDS).await;
    let subject = Subject::of_cluster(&cluster, 0);
    let crowd = Crowd::of_heads(HEAD_CALLERS, &subject.head("/x"), HEAD_BYTES);
    check(&subject, crowd, BOUNDS).await;
    let crowd = Crowd::of_empty_lines(HEAD_CALLERS, HEAD_BYTES);
    check(&subject, crowd, BOUNDS).await;
}

/// Guards against connections that use the descriptors up.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn cluster_silent_connections_leave_open_files_for_others() {
    let _turn = turn().await;
    let cluster = start_cluster(1, 1, FEW_FILES_BOUNDS).await;
    let subject = Subject::of_cluster(&cluster, 0);
    check(
        &subject,
        Crowd::of_silence(SILENT_CALLERS),
        FEW_FILES_BOUNDS,
    )
    .await;
}

/// Guards against answers that are held until callers read them, which these never do.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn cluster_answers_that_nobody_reads_fill_no_memory() {
    let _turn = turn().await;
    let cluster = start_cluster(1, 1, BOUNDS).await;
    for service in cluster.services.values() {
        service.update_faults(|faults| faults.answer_bytes = BODY_BYTES);
    }
    let subject = Subject::of_cluster(&cluster, 0);
    let crowd = Crowd::of_lengths(READING_CALLERS, &subject.head("/x"), 0);
    check(&subject, crowd, BOUNDS).await;
}

/// Guards against bodies at the listeners of operators and peers that are held beyond the memory.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn cluster_bodies_at_other_listeners_fill_no_memory() {
    let _turn = turn().await;
    let cluster = start_cluster(1, 1, BOUNDS).await;
    let ports = &cluster.nodes[0].ports;
    let operators = [("authorization", "Bearer operator")];
    let peers = [("authorization", "Bearer peer")];
    let forwarded = [
        ("x-peer-token", "peer"),
        ("authorization", "Bearer kayal-key"),
    ];
    let forward_path = format!("{FORWARD_PREFIX}/services/{SERVICE}/x");
    for (port, path, token, callers, bytes) in [
        (
            ports.operators,
            "/v1/edit",
            &operators[..],
            BODY_CALLERS,
            BODY_BYTES,
        ),
        (
            ports.peers,
            "/peer/exchange",
            &peers[..],
            MESSAGE_CALLERS,
            MESSAGE_BYTES,
        ),
        (
            ports.peers,
            &*forward_path,
            &forwarded[..],
            BODY_CALLERS,
            BODY_BYTES,
        ),
    ] {
        let subject = Subject::of_cluster(&cluster, 0).at(port);
        let head = subject.raw_head(path, token);
        let crowd = Crowd::of_lengths(callers, &head, bytes);
        check(&subject, crowd, BOUNDS).await;
    }
}

/// Guards against listeners beside that for callers that buffer heads without a limit.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn cluster_heads_without_an_end_fill_no_memory_at_other_listeners() {
    let _turn = turn().await;
    let cluster = start_cluster(1, 1, BOUNDS).await;
    let ports = &cluster.nodes[0].ports;
    for port in [ports.operators, ports.peers, ports.health] {
        let subject = Subject::of_cluster(&cluster, 0).at(port);
        let crowd = Crowd::of_heads(HEAD_CALLERS, &subject.head("/x"), HEAD_BYTES);
        check(&subject, crowd, BOUNDS).await;
    }
}

/// Guards against a forwarding node, or the one that runs its requests, that holds bodies beyond the memory.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn cluster_requests_of_a_partitioned_node_fill_no_memory_there_and_where_they_run() {
    let _turn = turn().await;
    let mut cluster = start_cluster(2, 2, BOUNDS).await;
    let (_list, links) = cluster.link_services(0);
    cluster.nodes[0].restart();
    cluster.wait_ready().await;
    let serves = async |cluster: &Cluster| {
        let answer = cluster.call_service(0, "/ping", &[]).await;
        answer.is_some_and(|answer| answer.status == 200)
    };
    cluster.wait("the node serves", serves).await;
    links.iter().for_each(|link| link.set_mode(LinkMode::Reset));
    let forwards = async |cluster: &Cluster| {
        let answer = cluster.call_service(0, "/ping", &[]).await;
        answer.is_some_and(|answer| {
            answer.status == 200
                && answer.headers.get("x-served-by") == Some(&cluster.nodes[1].name)
        })
    };
    cluster.wait("the other node serves", forwards).await;
    for service in cluster.services.values() {
        service.update_faults(|faults| faults.processing_time = std::time::Duration::from_secs(4));
    }
    let sender = Subject::of_cluster(&cluster, 0);
    let runner = Subject::of_cluster(&cluster, 1);
    let crowd = Crowd::of_whole_bodies(BODY_CALLERS, &sender.head("/x"), BODY_BYTES);
    check(&sender, crowd, BOUNDS).await;
    let usage = runner.usage();
    println!("usage where they run: {usage:?}");
    expect_that!(
        usage.memory_bytes,
        le(BOUNDS.memory_bytes),
        "the runner's memory"
    );
    check_largest_body(&sender).await;
}
