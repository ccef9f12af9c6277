//! HTTP server with a single handler per listener.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::pin::{pin, Pin};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use futures::FutureExt;
use http::header::{CONNECTION, RETRY_AFTER};
use http::{HeaderValue, StatusCode, Version};
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::MissedTickBehavior;
use volo_http::body::Body;

use crate::answer_body::AnswerBody;
use crate::caller_body::CallerBody;
use crate::connection_limits::ConnectionLimits;
use crate::connection_pool::{ConnectionPool, PoolPlace};
use crate::connection_record::ConnectionRecord;
use crate::limits::{ListenerKind, ProcessLimits};
use crate::listener_socket::{ListenerSocket, ListenerStatus};
use crate::message::{Request, Response};
use crate::reply::{buffered_response, panic_response, reply_text};
use crate::tracked_stream::TrackedStream;

/// Maximum number of headers. The library rejects requests with more by an empty 431 response, so
/// handlers that set a lower limit can return an error body of their own.
const MAX_HEADERS: usize = 256;
/// Largest response to an HTTP/1.0 request in bytes.
const MAX_BUFFERED_BYTES: usize = 64 << 20;
/// Smallest bound on the bytes that a connection reads ahead, and on those it has yet to write.
const MIN_BUFFER_BYTES: usize = 32 << 10;
/// Seconds after which a caller of a stopped server is asked to try another one.
const CLOSED_RETRY_AFTER_S: u64 = 1;
/// Response to a connection for which there is no place.
const FULL_RESPONSE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\n\
    connection: close\r\ncontent-length: 0\r\n\r\n";
/// Time after which a listener that could accept no connection, or whose task panicked, tries again.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which connections are checked for their time limits.
const OVERDUE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Handles the requests of one listener.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request.
    fn handle(&self, request: Request) -> BoxFuture<'_, Response>;

    /// Returns the response to a request whose handling panicked.
    ///
    /// Nobody knows how far the request came, so that the response must not say that it has not run.
    fn after_panic(&self) -> Response {
        panic_response()
    }
}

/// Name of the listener of a server that was given none.
const UNNAMED_LISTENER: &str = "unnamed";

/// A server that has its address, or waits for it, but is not started.
#[derive(Debug)]
pub struct HttpServer {
    socket: ListenerSocket,
    pool: Arc<ConnectionPool>,
}

/// A running server; it is stopped when this guard is dropped.
#[derive(Debug)]
pub struct ServerGuard {
    address: SocketAddr,
    task: JoinHandle<()>,
    is_closed: Arc<AtomicBool>,
    pool: Arc<ConnectionPool>,
}

impl HttpServer {
    /// Binds a listener; with port 0 the operating system chooses a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn bind(address: &str) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        Ok(Self::new(ListenerSocket::of(UNNAMED_LISTENER, listener)?))
    }

    /// Binds a listener now or, if its address can't be bound for a reason that can pass, as soon as it can.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound for another reason, or if its port is 0.
    ///
    /// ```
    /// use briarswitch_http::HttpServer;
    ///
    /// # tokio::runtime::Builder::new_current_thread().enable_all().build()?.block_on(async {
    /// let held = std::net::TcpListener::bind("127.0.0.1:0")?;
    /// let address = held.local_addr()?;
    /// let server = HttpServer::open("metrics", &address.to_string()).await?;
    /// assert_eq!(server.address(), address);
    /// assert!(!server.status().is_bound());
    /// # Ok::<(), std::io::Error>(())
    /// # })?;
    /// # Ok::<(), std::io::Error>(())
    /// ```
    pub async fn open(name: &'static str, address: &str) -> io::Result<Self> {
        Ok(Self::new(ListenerSocket::open(name, address).await?))
    }

    /// Creates a server from a listener of the standard library, on the current runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener cannot be registered with the runtime.
    pub fn from_std(listener: std::net::TcpListener) -> io::Result<Self> {
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        Ok(Self::new(ListenerSocket::of(UNNAMED_LISTENER, listener)?))
    }

    fn new(socket: ListenerSocket) -> Self {
        let limits = Arc::new(ConnectionLimits::default());
        Self {
            socket,
            pool: ConnectionPool::new(ListenerKind::Callers, ProcessLimits::default(), limits),
        }
    }

    /// Uses a pool for the connections in place of one with the default limits.
    #[must_use]
    pub fn with_pool(self, pool: Arc<ConnectionPool>) -> Self {
        Self { pool, ..self }
    }

    /// Returns the address that is bound, or is to be.
    pub fn address(&self) -> SocketAddr {
        self.status().address()
    }

    /// Returns whether the listener is bound, which stays up to date while the server runs.
    pub fn status(&self) -> &Arc<ListenerStatus> {
        self.socket.status()
    }

    /// Starts to serve requests with `handler` as soon as the listener is bound, until `stop` becomes true.
    pub fn spawn(self, handler: Arc<dyn Handler>, stop: watch::Receiver<bool>) -> ServerGuard {
        let is_closed = Arc::new(AtomicBool::new(false));
        let acceptor = ConnectionAcceptor {
            pool: Arc::clone(&self.pool),
            service: RequestService {
                handler,
                is_closed: Arc::clone(&is_closed),
            },
            stop,
        };
        ServerGuard {
            address: self.socket.status().address(),
            task: tokio::spawn(acceptor.run(self.socket)),
            is_closed,
            pool: self.pool,
        }
    }
}

impl ServerGuard {
    /// Returns the address the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of connections on which part of an answer has yet to be written.
    pub fn unwritten_answers(&self) -> usize {
        self.pool.unwritten_answers()
    }
}

impl Drop for ServerGuard {
    fn drop(&mut self) {
        // Connections that are open outlive the task that accepts them.
        self.is_closed.store(true, Ordering::Relaxed);
        self.task.abort();
    }
}

/// Accepts the connections of one listener.
struct ConnectionAcceptor {
    pool: Arc<ConnectionPool>,
    service: RequestService,
    stop: watch::Receiver<bool>,
}

impl ConnectionAcceptor {
    /// Accepts connections until the server is to stop; a panic ends the turn it occurs in, not the listener.
    async fn run(self, socket: ListenerSocket) {
        let mut stopped = pin!(wait_for_stop(self.stop.clone()));
        let listener = tokio::select! {
            listener = socket.bound() => listener,
            () = &mut stopped => return,
        };
        loop {
            let accepting = self.accept_until(&listener, stopped.as_mut());
            if AssertUnwindSafe(accepting).catch_unwind().await.is_ok() {
                return;
            }
            log::error!(listener = self.pool.name(); "acceptor_failed");
            tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
        }
    }

    async fn accept_until(
        &self,
        listener: &TcpListener,
        mut stopped: Pin<&mut (impl Future<Output = ()> + Send)>,
    ) {
        let mut checks = tokio::time::interval(OVERDUE_CHECK_INTERVAL);
        checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => self.admit(stream).await,
                    Err(error) => self.wait_after(&error).await,
                },
                _ = checks.tick() => self.pool.enforce_limits(),
                () = stopped.as_mut() => return,
            }
        }
    }

    async fn admit(&self, stream: TcpStream) {
        let Some(place) = self.pool.take_place().await else {
            // There is no place to wait in until the socket takes it.
            let _ = SockRef::from(&stream).send(FULL_RESPONSE);
            return;
        };
        let _ = stream.set_nodelay(true);
        let connection = CallerConnection {
            limits: self.pool.limits(),
            service: self.service.clone(),
            stop: self.stop.clone(),
        };
        tokio::spawn(connection.run(stream, place));
    }

    /// Makes room after an error and waits: the listener stays readable, so that without a pause
    /// this task would leave the processor to no other.
    async fn wait_after(&self, error: &io::Error) {
        let has_closed = self.pool.close_longest_waiting();
        log::warn!(error:% = error, closed_one = has_closed; "accept_failed");
        tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
    }
}

/// Waits until a server is to stop; a sender that is gone stops nothing.
async fn wait_for_stop(mut stop: watch::Receiver<bool>) {
    if stop.wait_for(|stopped| *stopped).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Serves one connection.
struct CallerConnection {
    limits: ConnectionLimits,
    service: RequestService,
    stop: watch::Receiver<bool>,
}

impl CallerConnection {
    async fn run(self, stream: TcpStream, place: PoolPlace) {
        let record = Arc::clone(place.record());
        let serving = self.serve(stream, Arc::clone(&record));
        tokio::select! {
            // A connection that is to be closed reads no further request.
            biased;
            () = record.closed() => {}
            result = record.serve(serving) => {
                if let Err(error) = result {
                    log::debug!(error:% = error; "connection_failed");
                }
            }
        }
    }

    async fn serve(self, stream: TcpStream, record: Arc<ConnectionRecord>) -> hyper::Result<()> {
        let io = TokioIo::new(TrackedStream::new(stream, Arc::clone(&record)));
        let head_bytes = self.limits.head_bytes;
        let service = self.service;
        let service = service_fn(move |request| {
            let (service, record) = (service.clone(), Arc::clone(&record));
            async move { Ok::<_, Infallible>(service.call(request, record).await) }
        });
        let connection = Builder::new()
            .max_headers(MAX_HEADERS)
            .max_header_size(head_bytes)
            .max_buf_size(head_bytes.max(MIN_BUFFER_BYTES))
            .serve_connection(io, service);
        let mut connection = pin!(connection);
        tokio::select! {
            result = connection.as_mut() => return result,
            () = wait_for_stop(self.stop) => connection.as_mut().graceful_shutdown(),
        }
        connection.await
    }
}

/// Returns the response to a request that arrives after the server or its connection was closed.
fn closed_response() -> Response {
    let mut response = reply_text(StatusCode::SERVICE_UNAVAILABLE, "the connection is closed");
    let headers = response.headers_mut();
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
    headers.insert(RETRY_AFTER, HeaderValue::from(CLOSED_RETRY_AFTER_S));
    response
}

#[derive(Clone)]
struct RequestService {
    handler: Arc<dyn Handler>,
    is_closed: Arc<AtomicBool>,
}

impl RequestService {
    async fn call(
        &self,
        request: http::Request<Incoming>,
        record: Arc<ConnectionRecord>,
    ) -> http::Response<AnswerBody> {
        let may_run = record.begin_request();
        let body_record = Arc::clone(&record);
        let request = request.map(|body| Body::from_body(CallerBody::new(body, body_record)));
        let response = if may_run {
            self.respond(request).await
        } else {
            closed_response()
        };
        response.map(|body| AnswerBody::new(body, record))
    }

    async fn respond(&self, request: Request) -> Response {
        if self.is_closed.load(Ordering::Relaxed) {
            return closed_response();
        }
        // The panic itself is logged by the process's hook. What the request held was given back as its future was unwound.
        let answering = AssertUnwindSafe(self.answer(request)).catch_unwind().await;
        answering.unwrap_or_else(|_| self.handler.after_panic())
    }

    async fn answer(&self, request: Request) -> Response {
        let has_chunks = request.version() > Version::HTTP_10;
        let response = self.handler.handle(request).await;
        if has_chunks {
            return response;
        }
        // HTTP/1.0 has no chunks, so that a body without a length which breaks would end like a complete one.
        buffered_response(response, MAX_BUFFERED_BYTES).await
    }
}
