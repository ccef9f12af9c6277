//! The path from one node to the store, whose open connections can go silent.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

pub struct Path {
    /// Connections opened in an earlier epoch carry nothing any more.
    epoch: Arc<AtomicU64>,
    pub address: SocketAddr,
}

impl Path {
    pub fn start(ip: &str, to: SocketAddr) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let epoch = Arc::new(AtomicU64::new(0));
        let shared = Arc::clone(&epoch);
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(to) else {
                    continue;
                };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                let opened = shared.load(Ordering::SeqCst);
                for (from, into) in [(&near, &far), (&far, &near)] {
                    let (from, into) = (from.try_clone().unwrap(), into.try_clone().unwrap());
                    let shared = Arc::clone(&shared);
                    thread::spawn(move || pump(from, into, &shared, opened));
                }
            }
        });
        Self { epoch, address }
    }

    /// All connections that are open now go silent for good, without a reset; new ones work.
    pub fn silence_open_connections(&self) {
        self.epoch.fetch_add(1, Ordering::SeqCst);
    }
}

fn pump(mut from: TcpStream, mut into: TcpStream, epoch: &AtomicU64, opened: u64) {
    let mut buffer = [0; 16_384];
    loop {
        let read = from.read(&mut buffer);
        if epoch.load(Ordering::SeqCst) != opened {
            // Neither data nor the end of a silent connection arrives at the other side.
            thread::sleep(Duration::from_secs(600));
            return;
        }
        match read {
            Ok(count) if count > 0 && into.write_all(&buffer[..count]).is_ok() => {}
            _ => {
                let _ = into.shutdown(Shutdown::Write);
                return;
            }
        }
    }
}
