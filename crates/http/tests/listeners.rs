//! Listeners whose address can't be bound at the start, and whose task panics.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use briarswitch_http::{
    reply_text, ConnectionLimits, ConnectionPool, Handler, HttpServer, LimitSource, ListenerKind,
    ProcessLimits, Request, Response,
};
use futures::future::BoxFuture;
use googletest::prelude::*;
use http::StatusCode;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

/// Longest time that a test waits for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

struct PlainHandler;

impl Handler for PlainHandler {
    fn handle(&self, _: Request) -> BoxFuture<'_, Response> {
        Box::pin(async { reply_text(StatusCode::OK, "ok") })
    }
}

/// Sends a request on a new connection; returns what was received, nothing if there is no listener.
async fn answer_of(address: SocketAddr) -> String {
    let mut bytes = Vec::new();
    if let Ok(mut stream) = TcpStream::connect(address).await {
        let request = b"GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        let _ = stream.write_all(request).await;
        let _ = stream.read_to_end(&mut bytes).await;
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

async fn wait_until_answered(address: SocketAddr) {
    let answering = async {
        while !answer_of(address).await.starts_with("HTTP/1.1 200 ") {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let answered = tokio::time::timeout(WAIT_TIMEOUT, answering).await;
    answered.expect("the listener answers");
}

/// Limits that panic the first few times that a listener asks for them.
#[derive(Default)]
struct FaultyLimits {
    calls: AtomicUsize,
}

impl FaultyLimits {
    /// Calls that panic; the first one is that of the pool itself.
    const FAULTY_CALLS: std::ops::RangeInclusive<usize> = 1..=3;
}

impl LimitSource for FaultyLimits {
    fn connection_limits(&self) -> ConnectionLimits {
        let call = self.calls.fetch_add(1, Ordering::SeqCst);
        assert!(!Self::FAULTY_CALLS.contains(&call), "a fault of the test");
        ConnectionLimits::default()
    }
}

/// Guards against a listener that is closed for good by a panic of the task that accepts its connections.
#[gtest]
#[tokio::test]
async fn a_listener_goes_on_after_its_task_panicked() {
    let limits = Arc::new(FaultyLimits::default());
    let source: Arc<dyn LimitSource> = Arc::clone(&limits) as Arc<dyn LimitSource>;
    let pool = ConnectionPool::new(ListenerKind::Callers, ProcessLimits::default(), source);
    let server = HttpServer::bind("127.0.0.1:0").await.expect("a port");
    let (_stop, stopped) = watch::channel(false);
    let guard = server
        .with_pool(pool)
        .spawn(Arc::new(PlainHandler), stopped);
    wait_until_answered(guard.address()).await;
    expect_that!(
        limits.calls.load(Ordering::SeqCst),
        gt(*FaultyLimits::FAULTY_CALLS.end())
    );
}

/// Guards against a listener that never serves because its address was held at the start.
#[gtest]
#[tokio::test]
async fn a_held_address_is_bound_as_soon_as_it_is_free() {
    let held = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = held.local_addr().expect("an address");
    let opened = HttpServer::open("callers", &address.to_string()).await;
    let server = opened.expect("a server that waits");
    let status = Arc::clone(server.status());
    let (_stop, stopped) = watch::channel(false);
    let guard = server.spawn(Arc::new(PlainHandler), stopped);
    expect_false!(status.is_bound());
    expect_that!(
        status.to_string(),
        starts_with(format!("callers at {address} ("))
    );
    expect_that!(guard.address(), eq(address));
    drop(held);
    wait_until_answered(address).await;
    expect_true!(status.is_bound());
    expect_that!(status.to_string(), eq(&format!("callers at {address}")));
}

/// Guards against a process that waits forever for what is no address.
#[gtest]
#[tokio::test]
async fn what_is_no_address_is_an_error() {
    for text in ["no address", "127.0.0.1", "127.0.0.1:99999", ""] {
        let opened = HttpServer::open("callers", text).await;
        expect_that!(opened, err(anything()), "{text}");
    }
}

/// Guards against a server that waits for an address that nobody could learn later.
#[gtest]
#[tokio::test]
async fn an_address_whose_port_the_system_chooses_is_never_waited_for() {
    let opened = HttpServer::open("callers", "192.0.2.1:0").await;
    expect_that!(opened, err(anything()));
}
