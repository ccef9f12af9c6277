//! Connections that the client of targets keeps.

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

/// Calls sent at once.
const CALLS: usize = 12;
/// Idle connections that a small target takes from one node.
const FEW: usize = 3;
/// Looks at the connections before a test gives up.
const LOOKS: usize = 500;

struct SlowAnswer;

impl Handler for SlowAnswer {
    fn handle(&self, _: Request) -> BoxFuture<'_, Response> {
        Box::pin(async {
            tokio::time::sleep(Duration::from_millis(30)).await;
            reply_text(StatusCode::OK, "done")
        })
    }
}

async fn call(client: &TargetClient, target: &TargetAddress) {
    let mut request = http::Request::new(full_body(Bytes::new()));
    let host = target.address.parse().expect("a header's value");
    request.headers_mut().insert("host", host);
    let reply = client.send(target, request, false).await;
    let body = reply.expect("an answer").body;
    body.read_all(1 << 10).await.expect("a whole body");
}

/// Symptom: calls are lost on a connection that the target resets at once.
/// Events: all nodes keep what a burst of calls has opened; together they hold more connections than
/// the target takes.
/// Cause guarded against: keeping the same number of connections for every target.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_burst_leaves_no_more_idle_connections_than_are_kept_of_the_target() {
    let server = HttpServer::bind("127.0.0.1:0").await.expect("a port");
    let target = TargetAddress {
        address: server.address().to_string(),
        incarnation: 0,
    };
    let (_stop, stopped) = watch::channel(false);
    let _guard = server.spawn(Arc::new(SlowAnswer), stopped);
    let client = TargetClient::new(TargetLimits {
        connect_timeout: Duration::from_secs(2),
        max_idle: CALLS,
    });
    let few = client.with_max_idle(FEW);
    join_all((0..CALLS).map(|_| call(&few, &target))).await;
    for _ in 0..LOOKS {
        if few.idle_connections(&target) == FEW {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    expect_that!(few.idle_connections(&target), eq(FEW));
    // The connections are shared: a client that may keep more finds them too.
    expect_that!(client.idle_connections(&target), eq(FEW));
}
