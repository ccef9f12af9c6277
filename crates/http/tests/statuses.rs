//! Calls and requests that get no response: its status is not that of a final one, or the URL can't be called.

use std::time::Duration;

use briarswitch_http::{
    full_body, ApiClient, CallError, Codec, SendError, TargetAddress, TargetClient, TargetLimits,
};
use bytes::Bytes;
use googletest::prelude::*;
use http::Method;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Longer than a response within this machine takes.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Statuses that no final response has.
const STATUSES: [&str; 13] = [
    "000", "007", "099", "100", "101", "199", "600", "700", "999", "1000", "-1", "200x", "",
];

/// Returns the address of a server that responds to one request with a status and then closes the connection.
async fn serve(status: &str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let response = format!("HTTP/1.1 {status}\r\ncontent-length: 4\r\n\r\n\"no\"");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let _ = stream.read(&mut [0; 1024]).await;
        let _ = stream.write_all(response.as_bytes()).await;
    });
    address
}

/// Guards against an answer with a status outside the protocol that is taken for the answer to a request.
#[gtest]
#[tokio::test]
async fn a_request_gets_no_response_whose_status_is_not_final() {
    for status in STATUSES {
        let target = TargetAddress {
            address: serve(status).await,
            incarnation: 0,
        };
        let client = TargetClient::new(TargetLimits {
            connect_timeout: TIMEOUT,
            max_idle: 4,
        });
        let request = http::Request::new(full_body(Bytes::new()));
        let sent = client.send(&target, request, false).await;
        let error = sent.err().map(|error| error.to_string());
        let expected = [SendError::Broken, SendError::InvalidHead].map(|error| error.to_string());
        expect_true!(
            error.as_ref().is_some_and(|error| expected.contains(error)),
            "{status:?}: {error:?}"
        );
        tokio::task::yield_now().await;
        expect_that!(client.idle_connections(&target), eq(0), "{status:?}");
    }
}

/// Guards against a write that counts as rejected although its answer says nothing about it.
#[gtest]
#[tokio::test]
async fn a_call_gets_no_response_whose_status_is_not_final() {
    for status in STATUSES {
        let url = format!("http://{}/", serve(status).await);
        let client = ApiClient::new(Codec::Json, None);
        let called = client.call::<(), String>(Method::GET, &url, None, TIMEOUT);
        let error = called.await.expect_err("no response");
        expect_true!(
            matches!(error, CallError::NoResponse(_)),
            "{status:?}: {error:?}"
        );
    }
}

/// Guards against a call that is sent in the clear although its URL says that it must be encrypted.
#[gtest]
#[tokio::test]
async fn a_call_that_must_be_encrypted_is_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let url = format!("https://{}/", listener.local_addr().expect("an address"));
    let client = ApiClient::new(Codec::Json, None);
    let called = client.call::<(), String>(Method::GET, &url, None, TIMEOUT);
    let error = called.await.expect_err("no response");
    expect_that!(error, pat!(CallError::NoResponse(_)));
    listener.into_std().map_or_else(
        |error| panic!("{error}"),
        |listener| expect_true!(listener.accept().is_err(), "a connection"),
    );
}
