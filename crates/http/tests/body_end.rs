//! How the client recognises the end of a response's body.

use std::time::Duration;

use briarswitch_http::{
    full_body, BodyEnd, BodyError, TargetAddress, TargetClient, TargetLimits, WholeBody,
};
use bytes::Bytes;
use googletest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Largest body in bytes.
const MAX_BYTES: usize = 1 << 10;

/// Sends a request to a server that writes `response` and closes the connection; returns the body and the number of
/// idle connections afterwards.
async fn exchange(response: &'static str) -> (Result<WholeBody, BodyError>, usize) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let _ = stream.read(&mut [0; 1024]).await;
        stream.write_all(response.as_bytes()).await.expect("a peer");
    });
    let client = TargetClient::new(TargetLimits {
        connect_timeout: Duration::from_secs(2),
        max_idle: 4,
    });
    let target = TargetAddress {
        address,
        incarnation: 0,
    };
    let request = http::Request::new(full_body(Bytes::new()));
    let sent = client.send(&target, request, false).await;
    let body = sent.expect("a response").body.read_all(MAX_BYTES).await;
    server.await.expect("the server ends");
    tokio::task::yield_now().await;
    (body, client.idle_connections(&target))
}

fn body(bytes: &'static str, end: BodyEnd) -> WholeBody {
    WholeBody {
        bytes: Bytes::from_static(bytes.as_bytes()),
        end,
    }
}

/// Guards against a crash that is taken for the end of a body, which is then passed on as complete.
#[gtest]
#[tokio::test]
async fn only_a_length_or_a_last_chunk_marks_the_end() {
    let responses = [
        ("HTTP/1.1 200 OK\r\n\r\nhalf", "half", BodyEnd::Closed),
        ("HTTP/1.0 200 OK\r\n\r\nhalf", "half", BodyEnd::Closed),
        ("HTTP/1.1 200 OK\r\n\r\n", "", BodyEnd::Closed),
        (
            "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf",
            "half",
            BodyEnd::Closed,
        ),
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\nhalf",
            "half",
            BodyEnd::Closed,
        ),
        (
            "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole",
            "whole",
            BodyEnd::Marked,
        ),
        (
            "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
            "",
            BodyEnd::Marked,
        ),
        ("HTTP/1.1 204 No Content\r\n\r\n", "", BodyEnd::Marked),
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
            "whole",
            BodyEnd::Marked,
        ),
    ];
    for (response, bytes, end) in responses {
        let (read, _) = exchange(response).await;
        expect_that!(read, ok(eq(&body(bytes, end))), "{response:?}");
    }
}

/// Guards against a truncated body whose missing part is not noticed.
#[gtest]
#[tokio::test]
async fn a_marked_body_that_ends_early_is_incomplete() {
    let responses = [
        "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
    ];
    for response in responses {
        let (read, _) = exchange(response).await;
        expect_that!(read, err(eq(&BodyError::Incomplete)), "{response:?}");
    }
}

/// Guards against a request that is lost on a connection which ended with the response before it.
#[gtest]
#[tokio::test]
async fn a_connection_that_ends_with_its_response_is_not_kept() {
    let responses = [
        "HTTP/1.1 200 OK\r\n\r\nwhole",
        "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 5\r\n\r\nwhole",
    ];
    for response in responses {
        let (_, idle) = exchange(response).await;
        expect_that!(idle, eq(0), "{response:?}");
    }
}
