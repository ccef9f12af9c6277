//! Nodes that answer a forwarded request with bytes without an end.

mod support;

use std::time::Duration;

use googletest::prelude::*;
use http::Method;

use support::noisy_front::Noise;
use support::path::PathState;
use support::peer::{PeerStub, QueueResponse};
use support::{listings_of, Fleet, TestRequest, TestResponse, SERVICE};

/// Targets, none of which the node reaches.
const TARGETS: usize = 4;
/// Most bytes of one response that a node takes: what it holds of a body, and what the sockets hold.
const MAX_BODY_BYTES: usize = (64 << 20) + (16 << 20);
/// The same for a head or one event of a stream.
const MAX_PART_BYTES: usize = (1 << 20) + (16 << 20);
/// Requests that are forwarded at the same time.
const REQUESTS: usize = 16;
/// Half of what they would hold if each of them held the largest body.
const MAX_BYTES_TOGETHER: usize = REQUESTS / 2 * (64 << 20);
/// Time for which a caller listens that only shows the node that it reaches no target.
const LISTENING_TIME: Duration = Duration::from_millis(600);

/// A head that is never complete.
const HEAD: Noise = Noise {
    start: "HTTP/1.1 200 ",
    rest: "x",
};
/// A target's response with a body that ends with the connection, which never ends.
const BODY: Noise = Noise {
    start: "HTTP/1.1 200 OK\r\nforward-result: response\r\n\r\n",
    rest: "x",
};
/// The same in chunks.
const CHUNKS: Noise = Noise {
    start: "HTTP/1.1 200 OK\r\nforward-result: response\r\ntransfer-encoding: chunked\r\n\r\n4\r\n",
    rest: "xxxx\r\n4\r\n",
};
/// A chunk whose extension does not end.
const EXTENSION: Noise = Noise {
    start: "HTTP/1.1 200 OK\r\nforward-result: response\r\ntransfer-encoding: chunked\r\n\r\n4;a=",
    rest: "x",
};
/// A node's own refusal, which does not end.
const REFUSAL: Noise = Noise {
    start: "HTTP/1.1 200 OK\r\nforward-result: refusal\r\n\r\n",
    rest: "x",
};

/// A node that reaches no target, and another one to which it forwards requests.
struct Forwarding {
    fleet: Fleet,
    peer: PeerStub,
}

impl Forwarding {
    async fn open() -> Self {
        let fleet = Fleet::open_with_paths(listings_of(SERVICE, TARGETS), &["z1"]).await;
        let peer = fleet.add_peer(|_| QueueResponse::Silence).await;
        fleet.set_paths(0, PathState::Silent);
        let forwarding = Self { fleet, peer };
        forwarding.wait_until_partitioned().await;
        forwarding
    }

    async fn wait_until_partitioned(&self) {
        let fleet = &self.fleet;
        fleet
            .wait_until("the node knows that it is partitioned", || async {
                let calls = (0..3).map(|_| fleet.request(0, look()));
                let calls = futures::future::join_all(calls);
                let _ = tokio::time::timeout(LISTENING_TIME, calls).await;
                let state = fleet.operator_request(0, Method::GET, "/state").await;
                state.body.contains("\"Partitioned\"")
            })
            .await;
    }

    /// Sends a request and waits until the node has closed the connection to the other one; returns the response and
    /// the number of bytes that the other one could send in each attempt.
    async fn exchange(&self, noise: Noise, request: TestRequest<'_>) -> (TestResponse, Vec<usize>) {
        let front = &self.peer.front;
        front.answer_with(noise);
        let response = self.fleet.request(0, request).await;
        let fleet = &self.fleet;
        fleet
            .wait_until("the node has closed the connection", || async {
                !front.sent().is_empty()
            })
            .await;
        (response, front.sent())
    }

    /// Checks that a request is not served, and that no answer to it may have more than `limit` bytes.
    async fn check(&self, name: &str, noise: Noise, request: TestRequest<'_>, limit: usize) {
        let (response, sent) = self.exchange(noise, request).await;
        let path = request.path;
        expect_that!(response.is_served(), eq(false), "{name} {path}");
        expect_that!(response.body, not(contains_substring("xxxx")), "{name}");
        expect_that!(sent, each(le(&limit)), "{name} {path}");
    }
}

fn look() -> TestRequest<'static> {
    TestRequest {
        path: "/look/x",
        ..chat()
    }
}

fn chat() -> TestRequest<'static> {
    TestRequest::chat("hello")
}

/// Guards against a node that reads another node's head or chunk extension without an end until its memory is used up.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_head_or_an_extension_of_a_node_without_an_end_is_given_up() {
    let forwarding = Forwarding::open().await;
    for request in [look(), chat()] {
        forwarding
            .check("a head", HEAD, request, MAX_PART_BYTES)
            .await;
        forwarding
            .check("an extension", EXTENSION, request, MAX_PART_BYTES)
            .await;
    }
}

/// Guards against a node that reads another node's body without an end until its memory is used up, or passes it on.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_body_of_a_node_without_an_end_is_given_up() {
    let forwarding = Forwarding::open().await;
    for (name, noise) in [("a body", BODY), ("chunks", CHUNKS), ("a refusal", REFUSAL)] {
        forwarding.check(name, noise, look(), MAX_BODY_BYTES).await;
    }
}

/// Guards against a node that holds an event without an end from another node until its memory is used up.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_of_a_node_of_one_event_without_an_end_is_given_up() {
    let forwarding = Forwarding::open().await;
    for (name, noise) in [("a body", BODY), ("chunks", CHUNKS)] {
        forwarding.check(name, noise, chat(), MAX_PART_BYTES).await;
    }
}

/// Guards against bodies without an end that are each within the limit of one and fill the memory together.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn bodies_of_a_node_without_an_end_share_one_account() {
    let forwarding = Forwarding::open().await;
    let front = &forwarding.peer.front;
    for noise in [BODY, REFUSAL] {
        front.answer_with(noise);
        let calls = (0..REQUESTS).map(|_| forwarding.fleet.request(0, look()));
        let responses = futures::future::join_all(calls).await;
        let served = responses.iter().filter(|response| response.is_served());
        expect_that!(served.count(), eq(0));
        expect_that!(front.peak(), all![gt(0), le(MAX_BYTES_TOGETHER)]);
    }
}
