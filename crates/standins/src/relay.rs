//! A link between two processes that can be cut, slowed or cut in one direction.

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

const CHUNK: usize = 16 << 10;

/// What a link does.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LinkMode {
    /// Carries everything.
    #[default]
    Open,
    /// Swallows what is sent either way and keeps connections open, as a lost route does.
    Cut,
    /// Swallows what flows back from the far side.
    CutReverse,
    /// Carries everything after a delay, in milliseconds.
    Slow(u64),
    /// Closes every connection and accepts none.
    Reset,
}

/// A running link to one address.
pub struct LinkRelay {
    address: SocketAddr,
    mode: watch::Sender<LinkMode>,
    carried: Arc<AtomicU64>,
    runtime: Option<Runtime>,
}

impl LinkRelay {
    /// Starts a link to `far`.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error when a thread or a port cannot be had.
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
        let (mode, watched) = watch::channel(LinkMode::Open);
        let carried = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&carried);
        runtime.spawn(accept(listener, far.to_owned(), watched, counter));
        Ok(Self {
            address,
            mode,
            carried,
            runtime: Some(runtime),
        })
    }

    /// Returns the near address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the bytes carried, both ways.
    pub fn bytes_forwarded(&self) -> u64 {
        self.carried.load(Ordering::Relaxed)
    }

    /// Changes what the link does, for open connections too.
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
    carried: Arc<AtomicU64>,
) {
    while let Ok((near, _)) = listener.accept().await {
        if *mode.borrow() == LinkMode::Reset {
            continue;
        }
        tokio::spawn(carry(near, far.clone(), mode.clone(), Arc::clone(&carried)));
    }
}

async fn carry(
    near: TcpStream,
    far: String,
    mode: watch::Receiver<LinkMode>,
    carried: Arc<AtomicU64>,
) {
    let Ok(far) = TcpStream::connect(far).await else {
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let mut reset = mode.clone();
    let out = pump(near_read, far_write, mode.clone(), false, &carried);
    let back = pump(far_read, near_write, mode, true, &carried);
    tokio::select! {
        _ = out => {}
        _ = back => {}
        _ = reset.wait_for(|mode| *mode == LinkMode::Reset) => {}
    }
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mode: watch::Receiver<LinkMode>,
    is_back: bool,
    carried: &AtomicU64,
) {
    let mut chunk = vec![0; CHUNK];
    while let Ok(count) = from.read(&mut chunk).await {
        if count == 0 {
            return;
        }
        carried.fetch_add(count as u64, Ordering::Relaxed);
        let present = *mode.borrow();
        match present {
            LinkMode::Cut => continue,
            LinkMode::CutReverse if is_back => continue,
            LinkMode::Slow(delay) => tokio::time::sleep(Duration::from_millis(delay)).await,
            _ => {}
        }
        if to.write_all(&chunk[..count]).await.is_err() {
            return;
        }
    }
}
