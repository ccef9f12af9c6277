//! A network path from one node to one target, which can be cut in several ways.

use std::net::SocketAddr;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Connections that may wait to be accepted while a path is open.
const BACKLOG: i32 = 1024;
/// Time after which an attempt to fill the backlog of a cut path shows that it is full.
const FILL_TIMEOUT: Duration = Duration::from_millis(50);

/// Whether bytes and connections pass along a path.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PathState {
    /// Everything passes.
    #[default]
    Open,
    /// Connections stall, and new ones are neither accepted nor refused.
    Silent,
    /// Connections are reset, and new ones are neither accepted nor refused.
    Reset,
    /// Connections go on, and new ones are refused.
    Refusing,
    /// Connections are reset, and new ones are refused.
    Down,
}

/// A path that relays connections to a target; it ends when it is dropped.
pub struct TargetPath {
    address: SocketAddr,
    state: watch::Sender<PathState>,
    task: JoinHandle<()>,
}

impl TargetPath {
    /// Opens a path to a target.
    pub async fn open(target: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
        let address = listener.local_addr().expect("local address");
        let (state, watched) = watch::channel(PathState::Open);
        let task = tokio::spawn(run(listener, address, target.to_owned(), watched));
        Self {
            address,
            state,
            task,
        }
    }

    /// Returns the address at which the node reaches the target.
    pub fn address(&self) -> String {
        self.address.to_string()
    }

    /// Changes what passes along the path.
    pub fn set(&self, state: PathState) {
        self.state.send_replace(state);
    }
}

impl Drop for TargetPath {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn run(
    listener: TcpListener,
    address: SocketAddr,
    target: String,
    mut state: watch::Receiver<PathState>,
) {
    let mut listener = listener;
    loop {
        let current = *state.borrow_and_update();
        match current {
            PathState::Open => accept(&listener, &target, &state).await,
            PathState::Silent | PathState::Reset => block(&listener, address, &mut state).await,
            PathState::Refusing | PathState::Down => {
                drop(listener);
                if state.changed().await.is_err() {
                    return;
                }
                listener = bind_again(address).await;
            }
        }
    }
}

async fn bind_again(address: SocketAddr) -> TcpListener {
    loop {
        if let Ok(listener) = TcpListener::bind(address).await {
            return listener;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Relays connections until the path is no longer open.
async fn accept(listener: &TcpListener, target: &str, state: &watch::Receiver<PathState>) {
    let mut changed = state.clone();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    tokio::spawn(relay(stream, target.to_owned(), state.clone()));
                }
            }
            _ = changed.wait_for(|state| *state != PathState::Open) => return,
        }
    }
}

/// Lets connections to the path hang until its state changes: packets of new ones are dropped when the backlog is full.
async fn block(
    listener: &TcpListener,
    address: SocketAddr,
    state: &mut watch::Receiver<PathState>,
) {
    SockRef::from(listener)
        .listen(0)
        .expect("a smaller backlog");
    let mut filling = Vec::new();
    while let Ok(Ok(stream)) = tokio::time::timeout(FILL_TIMEOUT, TcpStream::connect(address)).await
    {
        filling.push(stream);
    }
    let _ = state.changed().await;
    SockRef::from(listener)
        .listen(BACKLOG)
        .expect("a larger backlog");
}

async fn relay(stream: TcpStream, target: String, state: watch::Receiver<PathState>) {
    let Ok(upstream) = TcpStream::connect(&target).await else {
        return;
    };
    let (mut stream, mut upstream) = (stream, upstream);
    let _ = stream.set_nodelay(true);
    let _ = upstream.set_nodelay(true);
    let mut until_reset = state.clone();
    let (from_node, to_node) = stream.split();
    let (from_target, to_target) = upstream.split();
    let copied = futures::future::join(
        copy(from_node, to_target, state.clone()),
        copy(from_target, to_node, state.clone()),
    );
    let is_reset = tokio::select! {
        _ = copied => false,
        _ = until_reset.wait_for(|state| matches!(state, PathState::Reset | PathState::Down)) => true,
    };
    if is_reset {
        // Without lingering, closing a connection resets it.
        for end in [&stream, &upstream] {
            let _ = SockRef::from(end).set_linger(Some(Duration::ZERO));
        }
    }
}

/// Returns whether the sender has reset the connection.
fn has_reset(from: &ReadHalf<'_>) -> bool {
    let stream: &TcpStream = from.as_ref();
    stream.take_error().is_ok_and(|error| error.is_some())
}

/// Copies bytes to their end, except while the path is silent.
async fn copy(mut from: ReadHalf<'_>, mut to: WriteHalf<'_>, state: watch::Receiver<PathState>) {
    let mut buffer = vec![0; 16 << 10];
    let mut state = state;
    loop {
        let read = from.read(&mut buffer).await;
        let is_silent = *state.borrow() == PathState::Silent;
        let _ = state.wait_for(|state| *state != PathState::Silent).await;
        // What a sender has not delivered is lost with a connection that it resets.
        if is_silent && has_reset(&from) {
            return;
        }
        match read {
            Ok(length) if length > 0 => {
                if to.write_all(&buffer[..length]).await.is_err() {
                    return;
                }
            }
            _ => {
                let _ = to.shutdown().await;
                return;
            }
        }
    }
}
