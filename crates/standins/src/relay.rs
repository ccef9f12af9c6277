//! TCP relay that simulates a network link which can fail in both directions or one, or be slow.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;
use tokio::sync::watch;

const BUFFER_BYTES: usize = 16 << 10;

/// Behaviour of a link.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LinkMode {
    /// Forwards all data.
    #[default]
    Open,
    /// Drops data in both directions and keeps connections open, like a lost route.
    Cut,
    /// Drops data from the far side only.
    CutReverse,
    /// Delays every chunk of data by this many milliseconds.
    Slow(u64),
    /// Closes all connections, including new ones.
    Reset,
}

/// A running relay to one address.
pub struct LinkRelay {
    address: SocketAddr,
    mode: watch::Sender<LinkMode>,
    byte_count: Arc<AtomicU64>,
    runtime: Option<Runtime>,
}

impl LinkRelay {
    /// Starts a relay to `far`.
    ///
    /// # Errors
    ///
    /// Returns an error if the runtime cannot be started or no port can be bound.
    pub fn spawn(far: &str) -> io::Result<Self> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()?;
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let listener = {
            let _context = runtime.enter();
            TcpListener::from_std(listener)?
        };
        let (mode, mode_receiver) = watch::channel(LinkMode::Open);
        let byte_count = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&byte_count);
        runtime.spawn(accept(listener, far.to_owned(), mode_receiver, counter));
        Ok(Self {
            address,
            mode,
            byte_count,
            runtime: Some(runtime),
        })
    }

    /// Returns the address of the near side, to which clients connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of bytes received in both directions, including dropped ones.
    pub fn byte_count(&self) -> u64 {
        self.byte_count.load(Ordering::Relaxed)
    }

    /// Changes the behaviour, also of open connections.
    pub fn set_mode(&self, mode: LinkMode) {
        let _ = self.mode.send(mode);
    }
}

impl Drop for LinkRelay {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

async fn accept(
    listener: TcpListener,
    far: String,
    mode: watch::Receiver<LinkMode>,
    byte_count: Arc<AtomicU64>,
) {
    while let Ok((near, _)) = listener.accept().await {
        if *mode.borrow() == LinkMode::Reset {
            continue;
        }
        tokio::spawn(relay(
            near,
            far.clone(),
            mode.clone(),
            Arc::clone(&byte_count),
        ));
    }
}

async fn relay(
    near: TcpStream,
    far: String,
    mode: watch::Receiver<LinkMode>,
    byte_count: Arc<AtomicU64>,
) {
    let Ok(far) = TcpStream::connect(far).await else {
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let mut reset = mode.clone();
    let forward = forward_data(near_read, far_write, mode.clone(), false, &byte_count);
    let reverse = forward_data(far_read, near_write, mode, true, &byte_count);
    tokio::select! {
        _ = forward => {}
        _ = reverse => {}
        _ = reset.wait_for(|mode| *mode == LinkMode::Reset) => {}
    }
}

async fn forward_data(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mode: watch::Receiver<LinkMode>,
    is_reverse: bool,
    byte_count: &AtomicU64,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(count) = from.read(&mut buffer).await {
        if count == 0 {
            return;
        }
        byte_count.fetch_add(count as u64, Ordering::Relaxed);
        let current = *mode.borrow();
        match current {
            LinkMode::Cut => continue,
            LinkMode::CutReverse if is_reverse => continue,
            LinkMode::Slow(delay) => tokio::time::sleep(Duration::from_millis(delay)).await,
            _ => {}
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
