//! A network path to one address: its open connections can go silent, and it can be cut.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Interval at which a cut path looks whether it has healed.
const HEAL_INTERVAL: Duration = Duration::from_millis(5);

#[derive(Default)]
struct State {
    /// Connections opened in an earlier epoch carry nothing any more.
    epoch: AtomicU64,
    /// Whether what is sent is held until the path heals, as TCP does by repeating it.
    is_cut: AtomicBool,
}

pub struct Path {
    state: Arc<State>,
    pub address: SocketAddr,
}

impl Path {
    pub fn start(ip: &str, to: SocketAddr) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let state = Arc::new(State::default());
        let shared = Arc::clone(&state);
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                // Where nothing listens, the connection is closed at once.
                let Ok(far) = TcpStream::connect(to) else {
                    continue;
                };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                let opened = shared.epoch.load(Ordering::SeqCst);
                for (from, into) in [(&near, &far), (&far, &near)] {
                    let (from, into) = (from.try_clone().unwrap(), into.try_clone().unwrap());
                    let shared = Arc::clone(&shared);
                    thread::spawn(move || pump(from, into, &shared, opened));
                }
            }
        });
        Self { state, address }
    }

    /// All connections that are open now go silent for good, without a reset; new ones work.
    pub fn silence_open_connections(&self) {
        self.state.epoch.fetch_add(1, Ordering::SeqCst);
    }

    /// Cuts the path, or lets it heal.
    pub fn set_cut(&self, is_cut: bool) {
        self.state.is_cut.store(is_cut, Ordering::SeqCst);
    }
}

fn pump(mut from: TcpStream, mut into: TcpStream, state: &State, opened: u64) {
    let mut buffer = [0; 16_384];
    loop {
        let read = from.read(&mut buffer);
        while state.is_cut.load(Ordering::SeqCst) {
            thread::sleep(HEAL_INTERVAL);
        }
        if state.epoch.load(Ordering::SeqCst) != opened {
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
