//! The socket of a listener, which waits for its address where that can't be bound yet.
//!
//! An address may be held by a process that still ends, or may not be on the machine yet. A process
//! that ended for it would serve nobody, and none of its other listeners either.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use nix::errno::Errno;
use socket2::SockRef;
use tokio::net::TcpListener;

/// Interval at which an address that can't be bound is tried again.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Interval after which an unchanged error is logged again.
const REPEAT_INTERVAL: Duration = Duration::from_secs(5);
/// Shortest interval between two lines on one listener.
const MIN_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Receive buffer of a connection in bytes; the system doubles it.
const RECEIVE_BUFFER_BYTES: usize = 32 << 10;
/// Errors of the system that pass without a change of the settings or of the process's rights.
const PASSING_ERRORS: [Errno; 8] = [
    Errno::EADDRINUSE,
    Errno::EADDRNOTAVAIL,
    Errno::EMFILE,
    Errno::ENFILE,
    Errno::ENOBUFS,
    Errno::ENOMEM,
    Errno::EAGAIN,
    Errno::EINTR,
];

/// Returns whether a listener that failed with an error can be bound later.
fn can_pass(error: &io::Error) -> bool {
    let code = error.raw_os_error().map(Errno::from_raw);
    code.is_some_and(|code| PASSING_ERRORS.contains(&code))
}

/// Whether a listener is bound, as others see it.
#[derive(Debug)]
pub struct ListenerStatus {
    name: &'static str,
    address: SocketAddr,
    error: Mutex<Option<String>>,
}

impl ListenerStatus {
    fn new(name: &'static str, address: SocketAddr, error: Option<String>) -> Arc<Self> {
        Arc::new(Self {
            name,
            address,
            error: Mutex::new(error),
        })
    }

    /// Returns the address that is bound, or is to be.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns whether the listener accepts connections.
    pub fn is_bound(&self) -> bool {
        self.error().is_none()
    }

    fn error(&self) -> MutexGuard<'_, Option<String>> {
        self.error.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl fmt::Display for ListenerStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at {}", self.name, self.address)?;
        match self.error().as_ref() {
            Some(error) => write!(f, " ({error})"),
            None => Ok(()),
        }
    }
}

/// The socket of a listener, bound or to be bound.
#[derive(Debug)]
pub(crate) struct ListenerSocket {
    status: Arc<ListenerStatus>,
    state: SocketState,
}

#[derive(Debug)]
enum SocketState {
    Bound(TcpListener),
    Pending(PendingBind),
}

impl ListenerSocket {
    /// Binds an address, or keeps it for later if it can't be bound yet.
    ///
    /// An address whose port the system chooses is bound now or never, since nobody could be told of it later.
    pub(crate) async fn open(name: &'static str, address: &str) -> io::Result<Self> {
        let addresses: Vec<SocketAddr> = tokio::net::lookup_host(address).await?.collect();
        let error = match TcpListener::bind(&addresses[..]).await {
            Ok(listener) => return Self::of(name, listener),
            Err(error) => error,
        };
        match addresses.first() {
            Some(first) if first.port() != 0 && can_pass(&error) => {
                let status = ListenerStatus::new(name, *first, Some(error.to_string()));
                let pending = PendingBind::new(Arc::clone(&status), addresses, &error);
                Ok(Self {
                    status,
                    state: SocketState::Pending(pending),
                })
            }
            _ => Err(error),
        }
    }

    /// Takes a listener that is bound.
    pub(crate) fn of(name: &'static str, listener: TcpListener) -> io::Result<Self> {
        limit_receive_buffer(&listener);
        Ok(Self {
            status: ListenerStatus::new(name, listener.local_addr()?, None),
            state: SocketState::Bound(listener),
        })
    }

    pub(crate) fn status(&self) -> &Arc<ListenerStatus> {
        &self.status
    }

    /// Waits until the address is bound.
    pub(crate) async fn bound(self) -> TcpListener {
        match self.state {
            SocketState::Bound(listener) => listener,
            SocketState::Pending(pending) => pending.bind().await,
        }
    }
}

/// Connections inherit the buffer. Bytes that wait in it are the process's memory too.
fn limit_receive_buffer(listener: &TcpListener) {
    if let Err(error) = SockRef::from(listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES) {
        log::warn!(error:% = error; "receive_buffer_unset");
    }
}

/// An address that is tried until it is bound.
#[derive(Debug)]
struct PendingBind {
    status: Arc<ListenerStatus>,
    addresses: Vec<SocketAddr>,
    attempts: u64,
    since: Instant,
    logged_at: Instant,
    logged_error: String,
}

impl PendingBind {
    fn new(status: Arc<ListenerStatus>, addresses: Vec<SocketAddr>, error: &io::Error) -> Self {
        let now = Instant::now();
        let pending = Self {
            status,
            addresses,
            attempts: 1,
            since: now,
            logged_at: now,
            logged_error: error.to_string(),
        };
        pending.log_error();
        pending
    }

    /// Tries until the address is bound, whatever the error: nothing else would bind it.
    async fn bind(mut self) -> TcpListener {
        loop {
            tokio::time::sleep(BIND_RETRY_INTERVAL).await;
            self.attempts += 1;
            match TcpListener::bind(&self.addresses[..]).await {
                Ok(listener) => {
                    limit_receive_buffer(&listener);
                    self.finish();
                    return listener;
                }
                Err(error) => self.record_error(&error, Instant::now()),
            }
        }
    }

    fn record_error(&mut self, error: &io::Error, now: Instant) {
        let error = error.to_string();
        let since_line = now.saturating_duration_since(self.logged_at);
        let is_changed = error != self.logged_error && since_line >= MIN_LOG_INTERVAL;
        *self.status.error() = Some(error.clone());
        if is_changed || since_line >= REPEAT_INTERVAL {
            self.logged_at = now;
            self.logged_error = error;
            self.log_error();
        }
    }

    fn log_error(&self) {
        log::warn!(
            listener = self.status.name,
            address:% = self.status.address,
            error = self.logged_error.as_str(),
            attempts = self.attempts;
            "listener_unbound"
        );
    }

    fn finish(&self) {
        *self.status.error() = None;
        log::info!(
            listener = self.status.name,
            address:% = self.status.address,
            attempts = self.attempts,
            waited_ms = self.since.elapsed().as_millis() as u64;
            "listener_bound"
        );
    }
}
