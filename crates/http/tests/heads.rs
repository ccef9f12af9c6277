//! Large heads of responses.

use std::time::Duration;

use briarswitch_http::{full_body, TargetAddress, TargetClient, TargetLimits};
use bytes::Bytes;
use googletest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Headers of the response, as many as callers may send.
const HEADERS: usize = 64;
/// Bytes of their values together, as many as callers' headers may have.
const HEADER_BYTES: usize = 16 << 10;

/// Guards against responses that are given up because the target sends back what it may be sent.
#[gtest]
#[tokio::test]
async fn a_response_may_have_as_many_headers_as_a_request() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let value = "v".repeat(HEADER_BYTES / HEADERS);
    let headers: String = (0..HEADERS)
        .map(|index| format!("x-header-with-a-name-{index}: {value}\r\n"))
        .collect();
    let response = format!("HTTP/1.1 200 OK\r\n{headers}content-length: 2\r\n\r\nok");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await?;
        let _ = stream.read(&mut [0; 1024]).await?;
        stream.write_all(response.as_bytes()).await
    });
    let client = TargetClient::new(TargetLimits {
        connect_timeout: Duration::from_secs(10),
        max_idle: 1,
    });
    let target = TargetAddress {
        address,
        incarnation: 0,
    };
    let request = http::Request::new(full_body(Bytes::new()));
    let response = client.send(&target, request, true).await;
    let response = response.expect("a response");
    expect_that!(response.head.headers.len(), eq(HEADERS + 1));
    let body = response.body.read_all(2).await.expect("a whole body");
    expect_that!(&body.bytes[..], eq(b"ok"));
}
