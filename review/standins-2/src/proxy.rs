//! A proxy whose open connections can fall silent while new ones work.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::http::listen;

/// Interval at which a silent direction keeps its connection open.
const SILENT_INTERVAL: Duration = Duration::from_secs(1);
const BUFFER_BYTES: usize = 64 << 10;

/// A running proxy.
pub struct Proxy {
    address: SocketAddr,
    /// Number of times that the open connections have fallen silent.
    silences: Arc<AtomicU64>,
}

impl Proxy {
    /// Starts a proxy in front of `target`.
    pub fn start(ip: &str, target: String) -> io::Result<Self> {
        let silences = Arc::new(AtomicU64::new(0));
        let shared = Arc::clone(&silences);
        let address = listen(&format!("{ip}:0"), move |client| {
            let Ok(server) = TcpStream::connect(&target) else {
                return;
            };
            let opened = shared.load(Ordering::SeqCst);
            let is_silent = {
                let shared = Arc::clone(&shared);
                move || shared.load(Ordering::SeqCst) > opened
            };
            let (Ok(from), Ok(to)) = (client.try_clone(), server.try_clone()) else {
                return;
            };
            let upstream = is_silent.clone();
            thread::spawn(move || pump(from, to, upstream));
            pump(server, client, is_silent);
        })?;
        Ok(Self { address, silences })
    }

    pub fn address(&self) -> String {
        self.address.to_string()
    }

    /// Lets all open connections fall silent for good, without a reset; new ones work.
    pub fn silence(&self) {
        self.silences.fetch_add(1, Ordering::SeqCst);
    }
}

/// Passes bytes on until the connection ends, or for ever keeps it open and silent.
fn pump(mut from: TcpStream, mut to: TcpStream, is_silent: impl Fn() -> bool) {
    let _ = to.set_nodelay(true);
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = from.read(&mut buffer);
        while is_silent() {
            thread::sleep(SILENT_INTERVAL);
        }
        match read {
            Ok(length) if length > 0 && to.write_all(&buffer[..length]).is_ok() => {}
            _ => {
                let _ = to.shutdown(Shutdown::Both);
                let _ = from.shutdown(Shutdown::Both);
                return;
            }
        }
    }
}
