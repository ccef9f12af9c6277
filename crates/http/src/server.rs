//! HTTP server with a single handler per listener.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use futures::future::BoxFuture;
use http::header::{CONNECTION, RETRY_AFTER};
use http::{HeaderValue, StatusCode, Version};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use volo::context::Context;
use volo::net::incoming::DefaultIncoming;
use volo::service::Service;
use volo_http::context::ServerContext;
use volo_http::server::Server;

use crate::message::{Request, Response};
use crate::reply::{buffered_response, reply_text};

/// Maximum number of headers. The library rejects requests with more by an empty 431 response, so
/// handlers that set a lower limit can return an error body of their own.
const MAX_HEADERS: usize = 256;

/// Largest response to an HTTP/1.0 request in bytes.
const MAX_BUFFERED_BYTES: usize = 64 << 20;

/// Seconds after which a caller of a stopped server is asked to try another one.
const CLOSED_RETRY_AFTER_S: u64 = 1;

/// Handles the requests of one listener.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request.
    fn handle(&self, request: Request) -> BoxFuture<'_, Response>;
}

/// A server that is bound to its address but not started.
#[derive(Debug)]
pub struct HttpServer {
    listener: TcpListener,
    address: SocketAddr,
}

/// A running server; it is stopped when this guard is dropped.
#[derive(Debug)]
pub struct ServerGuard {
    address: SocketAddr,
    task: JoinHandle<()>,
    is_closed: Arc<AtomicBool>,
}

impl HttpServer {
    /// Binds a listener; with port 0 the operating system chooses a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn bind(address: &str) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        Ok(Self { listener, address })
    }

    /// Creates a server from a listener of the standard library, on the current runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener cannot be registered with the runtime.
    pub fn from_std(listener: std::net::TcpListener) -> io::Result<Self> {
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let listener = TcpListener::from_std(listener)?;
        Ok(Self { listener, address })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts to serve requests with `handler`.
    ///
    /// `stop` becomes true when the listener may be closed. The library starts its shutdown as soon
    /// as the process receives a termination signal; the shutdown hook delays it until `stop` is
    /// true, so that requests are still accepted until load balancers have noticed the shutdown.
    pub fn spawn(self, handler: Arc<dyn Handler>, mut stop: watch::Receiver<bool>) -> ServerGuard {
        let incoming = DefaultIncoming::from(self.listener);
        let is_closed = Arc::new(AtomicBool::new(false));
        let mut server = Server::new(HandlerService {
            handler,
            is_closed: Arc::clone(&is_closed),
        });
        server.http1_config().set_max_headers(MAX_HEADERS);
        let server = server.register_shutdown_hook(move || {
            Box::pin(async move {
                let _ = stop.wait_for(|stopped| *stopped).await;
            })
        });
        let task = tokio::spawn(async move {
            let _ = server.run(incoming).await;
        });
        ServerGuard {
            address: self.address,
            task,
            is_closed,
        }
    }
}

impl ServerGuard {
    /// Returns the address the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for ServerGuard {
    fn drop(&mut self) {
        // Connections that are open outlive the task that accepts them.
        self.is_closed.store(true, Ordering::Relaxed);
        self.task.abort();
    }
}

/// Returns the response to a request that arrives after the server was stopped.
fn closed_response() -> Response {
    let mut response = reply_text(StatusCode::SERVICE_UNAVAILABLE, "the server has stopped");
    let headers = response.headers_mut();
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
    headers.insert(RETRY_AFTER, HeaderValue::from(CLOSED_RETRY_AFTER_S));
    response
}

#[derive(Clone)]
struct HandlerService {
    handler: Arc<dyn Handler>,
    is_closed: Arc<AtomicBool>,
}

impl Service<ServerContext, Request> for HandlerService {
    type Response = Response;
    type Error = Infallible;

    async fn call(
        &self,
        context: &mut ServerContext,
        mut request: Request,
    ) -> Result<Response, Infallible> {
        if self.is_closed.load(Ordering::Relaxed) {
            return Ok(closed_response());
        }
        if let Some(address) = context.rpc_info().caller().address() {
            request.extensions_mut().insert(address);
        }
        let has_chunks = request.version() > Version::HTTP_10;
        let response = self.handler.handle(request).await;
        if has_chunks {
            return Ok(response);
        }
        // HTTP/1.0 has no chunks, so that a body without a length which breaks would end like a complete one.
        Ok(buffered_response(response, MAX_BUFFERED_BYTES).await)
    }
}
