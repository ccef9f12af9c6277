//! Bytes without an end that are no part of a response.

use std::time::Duration;

use briarswitch_http::{full_body, TargetAddress, TargetClient, TargetLimits};
use bytes::Bytes;
use googletest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Time limit of a route.
const TIMEOUT: Duration = Duration::from_secs(4);
/// Largest body in bytes.
const MAX_BYTES: usize = 1 << 20;
/// An interim response.
const INTERIM: &str = "HTTP/1.1 100 Continue\r\n\r\n";
/// A head after which a body in chunks follows.
const CHUNKED_HEAD: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

/// Returns whether a request ends within its time limit at a server that sends `head` and then `noise` until the
/// connection is closed.
async fn ends(head: &'static str, noise: &'static str) -> bool {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let _ = stream.read(&mut [0; 1024]).await;
        let _ = stream.write_all(head.as_bytes()).await;
        let noise = noise.repeat(1 << 10);
        while stream.write_all(noise.as_bytes()).await.is_ok() {}
    });
    let client = TargetClient::new(TargetLimits {
        connect_timeout: TIMEOUT,
        max_idle: 4,
    });
    let target = TargetAddress {
        address,
        incarnation: 0,
    };
    let exchange = async {
        let request = http::Request::new(full_body(Bytes::new()));
        let response = client.send(&target, request, false).await?;
        let body = response.body.read_all(MAX_BYTES).await;
        expect_true!(body.is_err());
        Ok::<_, briarswitch_http::SendError>(())
    };
    tokio::time::timeout(TIMEOUT, exchange).await.is_ok()
}

/// Guards against a processor that is busy with interim responses until the time limit of their request.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn interim_responses_without_an_end_are_given_up() {
    expect_true!(ends("", INTERIM).await);
}

/// Guards against a processor that is busy with the size of a chunk until the time limit of its request.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_chunk_size_without_an_end_is_given_up() {
    expect_true!(ends(CHUNKED_HEAD, "0").await);
}

/// Guards against chunk extensions and empty lines that are read until the time limit of their request.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn lines_without_an_end_are_given_up() {
    expect_true!(ends("", "\r\n").await, "empty lines");
    expect_true!(ends(CHUNKED_HEAD, "1;a\r\nx\r\n").await, "extensions");
    expect_true!(ends(CHUNKED_HEAD, "1;a").await, "an extension");
}
