//! Bytes without an end that are no part of an answer to a call that the process makes for itself.

use std::time::Duration;

use briarswitch_http::{ApiClient, CallError, Codec};
use googletest::prelude::*;
use http::Method;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Time limit of a call.
const TIMEOUT: Duration = Duration::from_secs(4);
/// Most bytes that a server can send before its connection is closed: what a client reads of what is no answer, and
/// what the sockets hold.
const MAX_BYTES: usize = (1 << 20) + (16 << 20);
/// A head after which a body in chunks follows.
const CHUNKED_HEAD: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

/// Calls a server that sends `head` and then `noise` until the connection is closed, and checks that the call has no
/// response and how many bytes the server could send.
async fn check(name: &str, head: &'static str, noise: &'static str) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let serving = async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let _ = stream.read(&mut [0; 1024]).await;
        let _ = stream.write_all(head.as_bytes()).await;
        let noise = noise.repeat(1 << 10);
        let mut sent = 0;
        while stream.write_all(noise.as_bytes()).await.is_ok() {
            sent += noise.len();
        }
        sent
    };
    let serving = tokio::spawn(serving);
    let url = format!("http://{address}/");
    let client = ApiClient::new(Codec::Json, None);
    let called = client.call::<(), String>(Method::GET, &url, None, TIMEOUT);
    let error = called.await.expect_err("no response");
    expect_that!(error, pat!(CallError::NoResponse(_)), "{name}");
    let sent = serving.await.expect("the server ends");
    expect_that!(sent, le(MAX_BYTES), "{name}");
}

/// Guards against a process that is busy with interim responses until the time limit of its call.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn interim_responses_to_a_call_without_an_end_are_given_up() {
    check("interim", "", "HTTP/1.1 100 Continue\r\n\r\n").await;
    check("hints", "", "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n").await;
}

/// Guards against a process that is busy with the size of a chunk until the time limit of its call.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_chunk_size_of_an_answer_to_a_call_without_an_end_is_given_up() {
    check("a size", CHUNKED_HEAD, "0").await;
}

/// Guards against a head and lines without an end that a process reads until the time limit of its call.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_head_and_lines_of_an_answer_to_a_call_without_an_end_are_given_up() {
    check("a head", "HTTP/1.1 200 ", "x").await;
    check("empty lines", "", "\r\n").await;
    check("extensions", CHUNKED_HEAD, "1;a\r\nx\r\n").await;
    check("an extension", CHUNKED_HEAD, "1;a").await;
}
