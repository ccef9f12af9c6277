//! What stands before a node: it passes calls on to it, and answers forwarded requests with bytes without an end.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use briarswitch_fleet::forward::FORWARD_PATH;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// Bytes of noise that are written at once.
const WRITE_BYTES: usize = 16 << 10;

/// An answer without an end.
#[derive(Clone, Copy, Debug)]
pub struct Noise {
    /// Bytes that are sent once.
    pub start: &'static str,
    /// Bytes that are sent again and again.
    pub rest: &'static str,
}

#[derive(Default)]
struct FrontState {
    /// Answer to forwarded requests; `None` passes them on.
    noise: Option<Noise>,
    /// Bytes sent in each answer whose connection was closed.
    sent: Vec<usize>,
    /// Bytes sent on the connections that are open.
    open: usize,
    /// Most bytes sent at any moment on the connections that were open then.
    peak: usize,
}

/// A listener before a node, which ends when it is dropped.
pub struct NoisyFront {
    address: String,
    state: Arc<Mutex<FrontState>>,
    task: JoinHandle<()>,
}

impl NoisyFront {
    /// Opens a listener before the node that listens at `inner`; it passes everything on at first.
    pub async fn open(inner: String) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
        let address = listener.local_addr().expect("local address").to_string();
        let state = Arc::<Mutex<FrontState>>::default();
        let task = tokio::spawn(accept(listener, inner, Arc::clone(&state)));
        Self {
            address,
            state,
            task,
        }
    }

    /// Returns the address at which it listens.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Answers all forwarded requests from now on with this noise, and forgets what was sent before.
    pub fn answer_with(&self, noise: Noise) {
        let noise = Some(noise);
        let mut state = lock(&self.state);
        let open = state.open;
        *state = FrontState {
            noise,
            open,
            ..FrontState::default()
        };
    }

    /// Returns how many bytes were sent in each answer whose connection was closed.
    pub fn sent(&self) -> Vec<usize> {
        lock(&self.state).sent.clone()
    }

    /// Returns the most bytes that were sent at any moment on the connections that were open then.
    pub fn peak(&self) -> usize {
        lock(&self.state).peak
    }
}

impl Drop for NoisyFront {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn lock(state: &Mutex<FrontState>) -> MutexGuard<'_, FrontState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn accept(listener: TcpListener, inner: String, state: Arc<Mutex<FrontState>>) {
    while let Ok((stream, _)) = listener.accept().await {
        let (inner, state) = (inner.clone(), Arc::clone(&state));
        tokio::spawn(async move {
            let _ = respond(stream, &inner, &state).await;
        });
    }
}

/// Passes a connection on, unless its first request was forwarded and is answered with noise.
async fn respond(
    mut stream: TcpStream,
    inner: &str,
    state: &Mutex<FrontState>,
) -> std::io::Result<()> {
    let line = format!("POST {FORWARD_PATH} ");
    let mut bytes = Vec::new();
    while bytes.len() < line.len() {
        if stream.read_buf(&mut bytes).await? == 0 {
            return Ok(());
        }
    }
    let noise = lock(state).noise;
    if let Some(noise) = noise.filter(|_| bytes.starts_with(line.as_bytes())) {
        send_endlessly(stream, noise, state).await;
        return Ok(());
    }
    let mut passed = TcpStream::connect(inner).await?;
    passed.write_all(&bytes).await?;
    tokio::io::copy_bidirectional(&mut stream, &mut passed).await?;
    Ok(())
}

/// Sends noise until the other end closes the connection.
async fn send_endlessly(mut stream: TcpStream, noise: Noise, state: &Mutex<FrontState>) {
    let rest = noise.rest.repeat(WRITE_BYTES / noise.rest.len());
    let mut sent = 0;
    let mut written = stream.write_all(noise.start.as_bytes()).await;
    while written.is_ok() {
        written = stream.write_all(rest.as_bytes()).await;
        sent += rest.len();
        let mut state = lock(state);
        state.open += rest.len();
        state.peak = state.peak.max(state.open);
    }
    let mut state = lock(state);
    state.open -= sent;
    state.sent.push(sent);
}
