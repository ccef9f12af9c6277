//! A thread of its own for each stand-in, so that one can be killed without the others.

use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use briarswitch_http::{Handler, HttpServer, ServerGuard};
use tokio::runtime::Runtime;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;

/// Time between looks at whether a killed stand-in still listens.
const CLOSE_PAUSE: Duration = Duration::from_millis(5);
/// Looks before a stand-in is taken for closed whatever it does.
const CLOSE_LOOKS: usize = 1000;

/// Waits until the process is told to end.
///
/// The HTTP library takes the signals that end a process for itself, so a stand-in that only parked
/// its thread would never end.
///
/// # Errors
///
/// Returns the operating system's error when signals can not be received.
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

/// One listener on a runtime of its own; dropping or killing it closes every connection.
pub struct StandinHost {
    address: SocketAddr,
    runtime: Option<Runtime>,
    server: Option<ServerGuard>,
    _stop: watch::Sender<bool>,
}

impl StandinHost {
    /// Starts a handler at an address; port 0 lets the operating system choose.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error when a thread or the address cannot be had.
    pub fn spawn(address: &str, handler: Arc<dyn Handler>) -> io::Result<Self> {
        // Bound before the runtime is made, which can not be dropped everywhere.
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

    /// Returns the address it listens at.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Runs work on the stand-in's runtime.
    pub fn run(&self, work: impl Future<Output = ()> + Send + 'static) {
        if let Some(runtime) = &self.runtime {
            runtime.spawn(work);
        }
    }

    /// Ends the stand-in at once, as a machine that loses power.
    pub fn kill(&mut self) {
        self.server.take();
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
            self.wait_until_refused();
        }
    }
}

impl StandinHost {
    /// Waits until nothing listens any more: the runtime closes its sockets a little later, and a
    /// connection taken meanwhile would be broken rather than refused.
    fn wait_until_refused(&self) {
        for _ in 0..CLOSE_LOOKS {
            if TcpStream::connect_timeout(&self.address, CLOSE_PAUSE).is_err() {
                return;
            }
            std::thread::sleep(CLOSE_PAUSE);
        }
    }
}

impl Drop for StandinHost {
    fn drop(&mut self) {
        self.kill();
    }
}
