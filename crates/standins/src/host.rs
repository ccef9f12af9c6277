//! Runs each fake server on a runtime of its own, so that it can be killed independently.

use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use briarswitch_http::{Handler, HttpServer, ServerGuard};
use tokio::runtime::Runtime;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;

/// Interval between checks whether a killed server still listens.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Number of checks after which `kill` returns even if the server still listens.
const MAX_CLOSE_POLLS: usize = 1000;

/// Waits until the process receives SIGTERM or SIGINT.
///
/// The HTTP library installs handlers for these signals, so they no longer end the process by
/// themselves: a program that only parked its main thread would never exit.
///
/// # Errors
///
/// Returns an error if the signal handlers cannot be installed.
pub fn wait_for_shutdown_signal() -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        Ok(())
    })
}

/// A server on its own runtime; dropping or killing it closes all connections.
pub struct StandinHost {
    address: SocketAddr,
    runtime: Option<Runtime>,
    server: Option<ServerGuard>,
    _stop: watch::Sender<bool>,
}

impl StandinHost {
    /// Starts a server; with port 0 the operating system chooses a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound or the runtime cannot be started.
    pub fn spawn(address: &str, handler: Arc<dyn Handler>) -> io::Result<Self> {
        // Bind before creating the runtime: on an early return the runtime would be dropped, which
        // panics in an asynchronous context.
        let listener = TcpListener::bind(address)?;
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()?;
        let (stop_sender, stop) = watch::channel(false);
        let address = listener.local_addr()?;
        let guard = {
            let _context = runtime.enter();
            HttpServer::from_std(listener)?.spawn(handler, stop)
        };
        Ok(Self {
            address,
            runtime: Some(runtime),
            server: Some(guard),
            _stop: stop_sender,
        })
    }

    /// Returns the address the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Spawns a future on the runtime of the server.
    pub fn run(&self, future: impl Future<Output = ()> + Send + 'static) {
        if let Some(runtime) = &self.runtime {
            runtime.spawn(future);
        }
    }

    /// Stops the server immediately, as if its machine lost power.
    pub fn kill(&mut self) {
        self.server.take();
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
            self.wait_until_refused();
        }
    }
}

impl StandinHost {
    /// Waits until connections are refused. The runtime closes its sockets with a delay, and a
    /// connection accepted in the meantime would be reset rather than refused.
    fn wait_until_refused(&self) {
        for _ in 0..MAX_CLOSE_POLLS {
            if TcpStream::connect_timeout(&self.address, CLOSE_POLL_INTERVAL).is_err() {
                return;
            }
            std::thread::sleep(CLOSE_POLL_INTERVAL);
        }
    }
}

impl Drop for StandinHost {
    fn drop(&mut self) {
        self.kill();
    }
}
