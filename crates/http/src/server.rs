//! An HTTP server around one handler.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use futures::future::BoxFuture;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use volo::context::Context;
use volo::net::incoming::DefaultIncoming;
use volo::service::Service;
use volo_http::body::Body;
use volo_http::context::ServerContext;
use volo_http::server::Server;

/// Headers the library parses at most; more are answered by it with a bare status 431. Handlers
/// that set a lower limit answer in their own shape.
const MOST_HEADERS: usize = 256;

/// A request as handlers get it.
pub type Request = http::Request<Body>;
/// A reply as handlers give it.
pub type Response = http::Response<Body>;

/// Answers every request of one listener.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(&self, request: Request) -> BoxFuture<'_, Response>;
}

/// A listener that is bound but does not answer yet.
#[derive(Debug)]
pub struct HttpServer {
    listener: TcpListener,
    address: SocketAddr,
}

/// A server that answers until this handle is dropped.
#[derive(Debug)]
pub struct ServerGuard {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl HttpServer {
    /// Binds a listener; port 0 lets the operating system choose.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error when the address cannot be bound.
    pub async fn bind(address: &str) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        Ok(Self { listener, address })
    }

    /// Takes over a listener bound by the standard library, on the present runtime.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error when the listener can not be used.
    pub fn from_std(listener: std::net::TcpListener) -> io::Result<Self> {
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let listener = TcpListener::from_std(listener)?;
        Ok(Self { listener, address })
    }

    /// Returns the address bound.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts to answer with `handler`.
    ///
    /// `stop` turns true when the process may close its listeners. The library begins to close as
    /// soon as the process is told to end; the hook holds it back until then, so that requests are
    /// still accepted while the balancer takes notice.
    pub fn spawn(self, handler: Arc<dyn Handler>, mut stop: watch::Receiver<bool>) -> ServerGuard {
        let incoming = DefaultIncoming::from(self.listener);
        let mut server = Server::new(HandlerService { handler });
        server.http1_config().set_max_headers(MOST_HEADERS);
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
        }
    }
}

impl ServerGuard {
    /// Returns the address the server listens at.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for ServerGuard {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Clone)]
struct HandlerService {
    handler: Arc<dyn Handler>,
}

impl Service<ServerContext, Request> for HandlerService {
    type Response = Response;
    type Error = Infallible;

    async fn call(
        &self,
        context: &mut ServerContext,
        mut request: Request,
    ) -> Result<Response, Infallible> {
        if let Some(address) = context.rpc_info().caller().address() {
            request.extensions_mut().insert(address);
        }
        Ok(self.handler.handle(request).await)
    }
}
