//! A server with few places and little memory, and callers that keep them.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use briarswitch_http::{
    read_body, reply_text, BodyError, ConnectionLimits, ConnectionPool, Handler, HttpServer,
    ListenerKind, ProcessLimits, Request, Response, ServerGuard,
};
use futures::future::BoxFuture;
use googletest::prelude::*;
use http::StatusCode;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

/// Connections of the server.
const PLACES: usize = 16;
/// Files of which a third are for callers.
const OPEN_FILES: usize = 3 * PLACES;
/// Memory of which a quarter is for callers' bytes.
const MEMORY_BYTES: usize = 4_000_000;
/// A body of which two do not fit in.
const BODY_BYTES: usize = 600_000;
/// Time after which a connection without progress may be closed for another one.
const STALL_TIME: Duration = Duration::from_millis(1_200);
/// Path whose requests never end.
const PENDING_PATH: &str = "/pending";

/// Reads bodies and answers with their size.
#[derive(Default)]
struct SizeApi {
    /// Requests whose bodies have been read and that never end.
    pending: AtomicUsize,
    /// Requests that were begun.
    begun: AtomicUsize,
}

impl SizeApi {
    async fn respond(&self, request: Request) -> Response {
        self.begun.fetch_add(1, Ordering::SeqCst);
        let (head, body) = request.into_parts();
        match read_body(body, BODY_BYTES).await {
            Ok(bytes) if head.uri.path() == PENDING_PATH => {
                self.pending.fetch_add(1, Ordering::SeqCst);
                std::future::pending::<()>().await;
                reply_text(StatusCode::OK, bytes.len().to_string())
            }
            Ok(bytes) => reply_text(StatusCode::OK, bytes.len().to_string()),
            Err(BodyError::NoRoom(error)) => {
                reply_text(StatusCode::SERVICE_UNAVAILABLE, error.to_string())
            }
            Err(error) => reply_text(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }
}

impl Handler for SizeApi {
    fn handle(&self, request: Request) -> BoxFuture<'_, Response> {
        Box::pin(self.respond(request))
    }
}

struct SmallServer {
    api: Arc<SizeApi>,
    guard: ServerGuard,
    pool: Arc<ConnectionPool>,
    _stop: watch::Sender<bool>,
}

impl SmallServer {
    async fn start() -> Self {
        Self::start_with(ConnectionLimits::default()).await
    }

    async fn start_with(limits: ConnectionLimits) -> Self {
        let process = ProcessLimits {
            memory_bytes: MEMORY_BYTES,
            open_files: OPEN_FILES,
        };
        let limits = ConnectionLimits {
            body_bytes: BODY_BYTES / 2,
            ..limits
        };
        let pool = ConnectionPool::new(ListenerKind::Callers, process, Arc::new(limits));
        let server = HttpServer::bind("127.0.0.1:0").await.expect("a port");
        let (stop, stopped) = watch::channel(false);
        let server = server.with_pool(Arc::clone(&pool));
        let api = Arc::new(SizeApi::default());
        let handler: Arc<dyn Handler> = Arc::clone(&api) as Arc<dyn Handler>;
        Self {
            api,
            guard: server.spawn(handler, stopped),
            pool,
            _stop: stop,
        }
    }

    async fn connect(&self) -> TcpStream {
        let connected = TcpStream::connect(self.guard.address()).await;
        connected.expect("a connection")
    }

    /// Connects and sends a request with a body of which `sent` bytes are sent.
    async fn send(&self, path: &str, length: usize, sent: usize) -> TcpStream {
        let mut stream = self.connect().await;
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.expect("a head");
        stream.write_all(&vec![b'b'; sent]).await.expect("a body");
        stream
    }

    async fn wait_for_pending(&self, count: usize) {
        while self.api.pending.load(Ordering::SeqCst) != count {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    async fn wait_for_connections(&self, count: usize) {
        while self.pool.open_connections() != count {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

/// Reads until the end of the connection, which may be a reset.
async fn read_answer(mut stream: TcpStream) -> String {
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

/// Guards against silent connections that lock ordinary callers out.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn the_connection_that_was_silent_longest_goes_for_a_new_one() {
    let server = SmallServer::start().await;
    let first = server.connect().await;
    server.wait_for_connections(1).await;
    let mut others = Vec::new();
    for count in 2..=PLACES {
        others.push(server.connect().await);
        server.wait_for_connections(count).await;
    }
    let answer = read_answer(server.send("/", 2, 2).await).await;
    expect_that!(answer, starts_with("HTTP/1.1 200"));
    expect_that!(read_answer(first).await, eq(""));
    // The others stayed: each still gets its answer.
    for mut stream in others {
        let request = b"GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        stream.write_all(request).await.expect("a request");
        expect_that!(read_answer(stream).await, starts_with("HTTP/1.1 200"));
    }
}

/// Guards against a connection that waits for a place until its deadline, or is refused without when to return.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_connection_is_refused_with_when_to_return_while_each_other_runs_a_request() {
    let server = SmallServer::start().await;
    let mut running = Vec::new();
    for count in 1..=PLACES {
        running.push(server.send(PENDING_PATH, 2, 2).await);
        server.wait_for_pending(count).await;
    }
    let answer = read_answer(server.connect().await).await;
    expect_that!(answer, starts_with("HTTP/1.1 503"));
    expect_that!(answer, contains_substring("retry-after: 1"));
    expect_that!(server.pool.open_connections(), eq(PLACES));
}

/// Guards against heads that are buffered far beyond their limit.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_head_beyond_its_limit_is_rejected() {
    let limits = ConnectionLimits::default().with_header_bytes(1 << 10);
    let server = SmallServer::start_with(limits).await;
    let mut stream = server.connect().await;
    let head = format!("GET / HTTP/1.1\r\nx: {}", "x".repeat(limits.head_bytes));
    stream.write_all(head.as_bytes()).await.expect("a head");
    expect_that!(read_answer(stream).await, starts_with("HTTP/1.1 431"));
}

/// Guards against a head within its limit that is rejected because empty lines precede it.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_after_an_empty_line_is_served() {
    let server = SmallServer::start().await;
    let mut stream = server.connect().await;
    let request = b"\r\nGET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    stream.write_all(request).await.expect("a request");
    expect_that!(read_answer(stream).await, starts_with("HTTP/1.1 200"));
}

/// Guards against bodies that fill the memory while their requests run.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_body_is_refused_while_running_requests_hold_the_room() {
    let server = SmallServer::start().await;
    let _running = server.send(PENDING_PATH, BODY_BYTES, BODY_BYTES).await;
    server.wait_for_pending(1).await;
    let answer = read_answer(server.send("/", BODY_BYTES, BODY_BYTES).await).await;
    expect_that!(answer, not(starts_with("HTTP/1.1 200")));
    let answer = read_answer(server.send("/", 2, 2).await).await;
    expect_that!(answer, starts_with("HTTP/1.1 200"));
}

/// Guards against bodies that stop short of their end and keep the room from others.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_body_without_progress_goes_for_another_one() {
    let server = SmallServer::start().await;
    let stalled = server.send("/", BODY_BYTES, BODY_BYTES - 1).await;
    tokio::time::sleep(STALL_TIME).await;
    let answer = read_answer(server.send("/", BODY_BYTES, BODY_BYTES).await).await;
    expect_that!(answer, starts_with("HTTP/1.1 200"));
    expect_that!(read_answer(stalled).await, eq(""));
}

/// Guards against a head that is never finished and a connection that is never used again.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_heads_and_idle_connections_are_closed_in_time() {
    let limits = ConnectionLimits {
        head_timeout: Duration::from_millis(100),
        idle_timeout: Duration::from_millis(100),
        ..ConnectionLimits::default()
    };
    let server = SmallServer::start_with(limits).await;
    let idle = server.connect().await;
    let mut unfinished = server.connect().await;
    unfinished.write_all(b"GET / HT").await.expect("a part");
    expect_that!(read_answer(idle).await, eq(""));
    expect_that!(read_answer(unfinished).await, eq(""));
    server.wait_for_connections(0).await;
}

/// Sends requests on one connection until it is closed, and returns how many were answered.
async fn count_answers(server: &SmallServer, requests: usize) -> usize {
    let mut stream = server.connect().await;
    let mut answer = [0; 1024];
    for answered in 0..requests {
        let request = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n";
        if stream.write_all(request).await.is_err() {
            return answered;
        }
        match stream.read(&mut answer).await {
            Ok(length) if answer[..length].starts_with(b"HTTP/1.1 200") => {}
            _ => return answered,
        }
    }
    requests
}

/// Guards against a request that is begun on a connection just as it is closed for another one.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn each_request_that_is_begun_is_answered_while_connections_are_displaced() {
    let server = Arc::new(SmallServer::start().await);
    let callers = (0..8).map(|_| {
        let server = Arc::clone(&server);
        tokio::spawn(async move {
            let mut answered = 0;
            for _ in 0..40 {
                answered += count_answers(&server, 50).await;
            }
            answered
        })
    });
    let callers: Vec<_> = callers.collect();
    let crowd = tokio::spawn({
        let server = Arc::clone(&server);
        async move {
            let mut silent = std::collections::VecDeque::new();
            for _ in 0..1_000 {
                silent.push_back(server.connect().await);
                if silent.len() > 4 * PLACES {
                    silent.pop_front();
                }
            }
        }
    });
    let mut answered = 0;
    for caller in callers {
        answered += caller.await.expect("a caller ends");
    }
    crowd.await.expect("the crowd ends");
    expect_that!(answered, gt(0));
    expect_that!(server.api.begun.load(Ordering::SeqCst), eq(answered));
}
