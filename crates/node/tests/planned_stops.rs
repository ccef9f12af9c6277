//! Planned stops of a node: what its callers get until its process ends.

mod support;

use std::time::Duration;

use briarswitch_standins::EngineSettings;
use briarswitch_wire::caller::MINT_PATH;
use googletest::prelude::*;
use nix::sys::signal::Signal;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpSocket;

use support::{chat_body, read_response, Cluster, ClusterSpec, SERVICE, WAIT_TIMEOUT};

/// Work that outlasts the time for which requests in flight are waited for, though not their time limit.
const LONG_WORK: Duration = Duration::from_secs(20);
/// Longest time for which requests in flight are waited for, where they outlast it.
const SHORT_DRAIN: &str = "shutdown.drain_ms=1500";
/// The same, where a caller reads slowly.
const LONG_DRAIN: &str = "shutdown.drain_ms=20000";
/// Time in which a node still accepts requests.
const NOTICE: &str = "shutdown.notice_ms=1000";
/// Time after the signal after which a node has nothing to do but wait for its callers.
const IDLE_AFTER: Duration = Duration::from_secs(3);
/// Size of a large answer in bytes.
const ANSWER_BYTES: usize = 4 << 20;
/// Receive buffer of a caller that reads slowly, in bytes.
const SMALL_BUFFER_BYTES: u32 = 4 << 10;
/// Path of chat requests.
const CHAT_PATH: &str = "/v1/chat/completions";
/// Headers of a request.
const HEADERS: [(&str, &str); 1] = [("authorization", "Bearer kayal-key")];

fn service_spec(drain: &str) -> ClusterSpec {
    ClusterSpec {
        engines_per_zone: 0,
        services_per_zone: 1,
        settings: vec![NOTICE.to_owned(), drain.to_owned()],
        ..ClusterSpec::default()
    }
}

async fn wait_for_exit(cluster: &mut Cluster) {
    let start = std::time::Instant::now();
    while !cluster.nodes[0].has_exited() {
        assert_that!(start.elapsed(), lt(WAIT_TIMEOUT));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against connections that are closed without an answer at the end of a planned stop: requests taken before the
/// signal, or while the load balancer had not noticed, ran at targets for longer than they were waited for.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_outlast_the_drain_get_a_whole_answer() {
    let mut cluster = Cluster::start(service_spec(SHORT_DRAIN)).await;
    let service = cluster.services.values().next().expect("a service");
    service.update_faults(|faults| faults.processing_time = LONG_WORK);
    let stopping = async {
        cluster
            .wait("the call runs", async |cluster| {
                cluster.calls("/before") == 1
            })
            .await;
        cluster.nodes[0].signal(Signal::SIGTERM);
        cluster
            .wait("the readiness check fails", async |cluster| {
                !cluster.is_ready(0).await
            })
            .await;
        cluster.call_service(0, "/during", &[]).await
    };
    let (before, during) = tokio::join!(cluster.call_service(0, "/before", &[]), stopping);
    for answer in [before, during] {
        let answer = answer.expect("an answer");
        expect_that!(answer.status, eq(504));
        expect_that!(answer.is_complete, eq(true));
        expect_that!(answer.outcome(), eq("unknown"));
        expect_that!(answer.headers["connection"], eq("close"));
    }
    expect_that!(cluster.calls("/before"), eq(1));
    expect_that!(cluster.calls("/during"), eq(1));
    wait_for_exit(&mut cluster).await;
}

/// Guards against connections that are closed without an answer while another node, which minted the key, runs the
/// request: such a request was not waited for.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_another_node_runs_gets_a_whole_answer() {
    let spec = ClusterSpec {
        nodes_per_zone: 2,
        ..service_spec(SHORT_DRAIN)
    };
    let mut cluster = Cluster::start(spec).await;
    let minted = cluster
        .send(&cluster.callers(1), "POST", MINT_PATH, &HEADERS, "")
        .await;
    let minted = minted.expect("a key").body;
    let minted: serde_json::Value = serde_json::from_str(&minted).expect("valid JSON");
    let key = minted["key"].as_str().expect("a key");
    let service = cluster.services.values().next().expect("a service");
    service.update_faults(|faults| faults.processing_time = LONG_WORK);
    let stopping = async {
        cluster
            .wait("the call runs", async |cluster| cluster.calls("/hop") == 1)
            .await;
        cluster.nodes[0].signal(Signal::SIGTERM);
    };
    let headers = [("idempotency-key", key)];
    let (answer, ()) = tokio::join!(cluster.call_service(0, "/hop", &headers), stopping);
    let answer = answer.expect("an answer");
    expect_that!(answer.status, eq(504));
    expect_that!(answer.is_complete, eq(true));
    expect_that!(answer.outcome(), eq("unknown"));
    expect_that!(cluster.calls("/hop"), eq(1));
    wait_for_exit(&mut cluster).await;
}

/// Guards against an answer that is lost though its target has given it whole: the process exits while the caller still
/// reads.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_waits_for_a_caller_that_reads_slowly() {
    let mut cluster = Cluster::start(service_spec(LONG_DRAIN)).await;
    let service = cluster.services.values().next().expect("a service");
    service.update_faults(|faults| faults.answer_bytes = ANSWER_BYTES);
    let socket = TcpSocket::new_v4().expect("a socket");
    socket
        .set_recv_buffer_size(SMALL_BUFFER_BYTES)
        .expect("a small buffer");
    let address = cluster.callers(0).parse().expect("an address");
    let mut stream = socket.connect(address).await.expect("a connection");
    let head = format!(
        "POST /services/{SERVICE}/slow HTTP/1.1\r\nhost: {address}\r\n\
         authorization: Bearer kayal-key\r\nconnection: close\r\ncontent-length: 2\r\n\r\n{{}}"
    );
    let written = stream.write_all(head.as_bytes()).await;
    written.expect("the request is taken");
    cluster
        .wait("the call runs", async |cluster| cluster.calls("/slow") == 1)
        .await;
    cluster.nodes[0].signal(Signal::SIGTERM);
    tokio::time::sleep(IDLE_AFTER).await;
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer).await;
    expect_that!(read.is_ok(), eq(true));
    expect_that!(answer.len(), gt(ANSWER_BYTES));
    wait_for_exit(&mut cluster).await;
}

/// Guards against a stream that a planned stop cuts and that looks complete, or does not say why it ends.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_outlasts_the_drain_ends_visibly_broken() {
    let spec = ClusterSpec {
        engines_per_zone: 0,
        settings: vec![NOTICE.to_owned(), SHORT_DRAIN.to_owned()],
        ..ClusterSpec::default()
    };
    let mut cluster = Cluster::start_unconfigured(&spec).await;
    for index in 0..2 {
        let mut settings = EngineSettings::quick(&format!("slow-{index}"));
        settings.token_time = Duration::from_millis(100);
        cluster.add_engine("kakkanad", "kakkanad-fabric", settings);
    }
    let mut cluster = cluster.configured(&spec).await;
    cluster.wait_routable(1).await;
    let body = chat_body(1_000, true);
    let address = cluster.callers(0);
    let begun = cluster
        .send_for_head(&address, "POST", CHAT_PATH, &HEADERS, &body)
        .await;
    let (head, body) = begun.expect("a head");
    cluster.nodes[0].signal(Signal::SIGTERM);
    let answer = read_response(head, body).await;
    expect_that!(answer.is_complete, eq(false));
    expect_that!(answer.has_done_marker(), eq(false));
    expect_that!(answer.body, contains_substring("\"outcome\":\"unknown\""));
    wait_for_exit(&mut cluster).await;
}
