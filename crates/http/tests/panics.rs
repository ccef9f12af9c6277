//! Requests whose handlers panic.

use std::sync::Arc;
use std::time::Duration;

use briarswitch_http::{
    read_body, reply_text, stream_body, ConnectionLimits, ConnectionPool, Handler, HttpServer,
    ListenerKind, ProcessLimits, Request, Response, ServerGuard, PANIC_TEXT,
};
use futures::future::BoxFuture;
use futures::stream;
use googletest::prelude::*;
use http::StatusCode;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

/// Memory of which a quarter is for callers' bytes.
const MEMORY_BYTES: usize = 4_000_000;
/// Files that the server may open.
const OPEN_FILES: usize = 48;
/// A body of which three do not fit in.
const BODY_BYTES: usize = 300_000;
/// Panics after which no body would fit in if their bytes stayed claimed, and no place were free if they kept it.
const PANICS: usize = 20;

/// Panics where the path says so.
struct FaultyHandler;

impl Handler for FaultyHandler {
    fn handle(&self, request: Request) -> BoxFuture<'_, Response> {
        let path = request.uri().path().to_owned();
        assert_ne!(path, "/at-once", "a fault of the test");
        Box::pin(async move {
            let body = read_body(request.into_body(), BODY_BYTES).await;
            tokio::task::yield_now().await;
            assert_ne!(path, "/later", "a fault of the test");
            if path == "/in-the-body" {
                let chunks = stream::once(async { panic!("a fault of the test") });
                return Response::new(stream_body(chunks));
            }
            match body {
                Ok(bytes) => reply_text(StatusCode::OK, format!("{} bytes", bytes.len())),
                Err(error) => reply_text(StatusCode::SERVICE_UNAVAILABLE, error.to_string()),
            }
        })
    }
}

struct Server {
    guard: ServerGuard,
    pool: Arc<ConnectionPool>,
    _stop: watch::Sender<bool>,
}

impl Server {
    async fn start() -> Self {
        let process = ProcessLimits {
            memory_bytes: MEMORY_BYTES,
            open_files: OPEN_FILES,
        };
        let limits = Arc::new(ConnectionLimits {
            body_bytes: BODY_BYTES,
            ..ConnectionLimits::default()
        });
        let pool = ConnectionPool::new(ListenerKind::Callers, process, limits);
        let server = HttpServer::bind("127.0.0.1:0").await.expect("a port");
        let server = server.with_pool(Arc::clone(&pool));
        let (stop, stopped) = watch::channel(false);
        Self {
            guard: server.spawn(Arc::new(FaultyHandler), stopped),
            pool,
            _stop: stop,
        }
    }

    /// Sends a request with a small body by HTTP/1.1; returns what was received.
    async fn answer_to(&self, path: &str) -> String {
        self.answer_by("HTTP/1.1", path, 1).await
    }

    /// Sends a request on a connection of its own; returns what was received.
    async fn answer_by(&self, version: &str, path: &str, length: usize) -> String {
        let connected = TcpStream::connect(self.guard.address()).await;
        let mut stream = connected.expect("a connection");
        let head = format!(
            "POST {path} {version}\r\nhost: x\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n"
        );
        let mut answer = Vec::new();
        let (reader, writer) = &mut stream.split();
        let sending = async {
            let _ = writer.write_all(head.as_bytes()).await;
            let _ = writer.write_all(&vec![b'b'; length]).await;
        };
        let reading = async {
            let _ = reader.read_to_end(&mut answer).await;
        };
        tokio::join!(sending, reading);
        String::from_utf8_lossy(&answer).into_owned()
    }

    async fn wait_until_unused(&self) {
        while self.pool.open_connections() > 0 || self.guard.unwritten_answers() > 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

/// Guards against a request that is lost without a word because its handler panicked, and against an answer by which
/// its caller would take it for not run.
#[gtest]
#[tokio::test]
async fn a_request_whose_handler_panics_is_answered_and_the_next_one_is_served() {
    let server = Server::start().await;
    for path in ["/later", "/at-once"] {
        let answer = server.answer_to(path).await;
        expect_that!(answer, starts_with("HTTP/1.1 500 "), "{path}");
        expect_that!(answer, ends_with(PANIC_TEXT), "{path}");
        expect_that!(answer, not(contains_substring("retry-after")), "{path}");
        let next = server.answer_to("/").await;
        expect_that!(next, starts_with("HTTP/1.1 200 "), "after {path}");
    }
}

/// Guards against a request by HTTP/1.0 that is lost without a word because the body of its answer panicked before
/// any of it was sent.
#[gtest]
#[tokio::test]
async fn an_answer_whose_body_panics_before_it_is_sent_is_replaced() {
    let server = Server::start().await;
    let answer = server.answer_by("HTTP/1.0", "/in-the-body", 1).await;
    expect_that!(answer, starts_with("HTTP/1.0 500 "));
    expect_that!(answer, ends_with(PANIC_TEXT));
}

/// Guards against a server that is full for good after panics, since their places and bytes were never given back.
#[gtest]
#[tokio::test]
async fn places_and_bytes_of_requests_whose_handlers_panic_are_given_back() {
    let server = Server::start().await;
    for _ in 0..PANICS {
        server.answer_by("HTTP/1.1", "/later", BODY_BYTES).await;
    }
    server.wait_until_unused().await;
    let next = server.answer_by("HTTP/1.1", "/", BODY_BYTES).await;
    expect_that!(next, ends_with(format!("{BODY_BYTES} bytes")));
}
