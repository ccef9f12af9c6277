//! Idle connections in the pool of the target client.

use std::sync::Arc;
use std::time::Duration;

use briarswitch_http::{
    full_body, reply_text, Handler, HttpServer, Request, Response, TargetAddress, TargetClient,
    TargetLimits,
};
use bytes::Bytes;
use futures::future::{join_all, BoxFuture};
use googletest::prelude::*;
use http::StatusCode;
use tokio::sync::watch;

/// Number of concurrent requests.
const REQUESTS: usize = 12;
/// Limit of idle connections for a small target.
const MAX_IDLE: usize = 3;
/// Number of polls, 10 ms apart, before the test stops waiting.
const MAX_POLLS: usize = 500;

struct SlowHandler;

impl Handler for SlowHandler {
    fn handle(&self, _: Request) -> BoxFuture<'_, Response> {
        Box::pin(async {
            tokio::time::sleep(Duration::from_millis(30)).await;
            reply_text(StatusCode::OK, "done")
        })
    }
}

async fn send(client: &TargetClient, target: &TargetAddress) {
    let mut request = http::Request::new(full_body(Bytes::new()));
    let host = target.address.parse().expect("a valid header value");
    request.headers_mut().insert("host", host);
    let response = client.send(target, request, false).await;
    let body = response.expect("a response").body;
    body.read_all(1 << 10).await.expect("a complete body");
}

/// Guards against requests that are lost because the target resets the connection at once. It happens
/// when every node keeps all connections that a burst of requests opened, so that together they
/// exceed the connection limit of the target. The limit of idle connections must be set per target.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_burst_leaves_no_more_idle_connections_than_the_limit_of_the_target() {
    let server = HttpServer::bind("127.0.0.1:0").await.expect("a port");
    let target = TargetAddress {
        address: server.address().to_string(),
        incarnation: 0,
    };
    let (_stop, stopped) = watch::channel(false);
    let _guard = server.spawn(Arc::new(SlowHandler), stopped);
    let client = TargetClient::new(TargetLimits {
        connect_timeout: Duration::from_secs(2),
        max_idle: REQUESTS,
    });
    let limited = client.with_max_idle(MAX_IDLE);
    join_all((0..REQUESTS).map(|_| send(&limited, &target))).await;
    for _ in 0..MAX_POLLS {
        if limited.idle_connections(&target) == MAX_IDLE {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    expect_that!(limited.idle_connections(&target), eq(MAX_IDLE));
    // The pool is shared: the client with the higher limit sees the same connections.
    expect_that!(client.idle_connections(&target), eq(MAX_IDLE));
}

/// Guards against connections to processes that are gone and are kept for as long as the client lives.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn connections_that_are_idle_for_long_are_closed_when_another_is_kept() {
    let (_stop, stopped) = watch::channel(false);
    let mut targets = Vec::new();
    for _ in 0..2 {
        let server = HttpServer::bind("127.0.0.1:0").await.expect("a port");
        let target = TargetAddress {
            address: server.address().to_string(),
            incarnation: 0,
        };
        let guard = server.spawn(Arc::new(SlowHandler), stopped.clone());
        targets.push((target, guard));
    }
    let client = TargetClient::new(TargetLimits {
        connect_timeout: Duration::from_secs(2),
        max_idle: MAX_IDLE,
    });
    for (idle_time, kept) in [(Duration::ZERO, 0), (Duration::MAX, 1)] {
        let client = client.with_idle_time(idle_time);
        for (target, _) in &targets {
            send(&client, target).await;
            for _ in 0..MAX_POLLS {
                if client.idle_connections(target) == 1 {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
            expect_that!(client.idle_connections(target), eq(1));
        }
        expect_that!(client.idle_connections(&targets[0].0), eq(kept));
    }
}
