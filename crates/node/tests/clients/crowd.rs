//! Many connections that send the same bytes at once and stay open.

use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::process::Usage;

/// Bytes of a large chunk.
pub const CHUNK_BYTES: usize = 64 << 10;
/// Bytes of a small chunk.
pub const SMALL_CHUNK_BYTES: usize = 128;
/// Bytes written to one connection before the next one has its turn.
const TURN_BYTES: usize = 64 << 10;
/// Turns of all connections between two looks at the process.
const TURNS_PER_LOOK: usize = 8;
/// Looks without a byte written after which the crowd stops sending.
const IDLE_LOOKS: usize = 40;
/// Time between two looks at a process that takes nothing.
const LOOK_INTERVAL: Duration = Duration::from_millis(25);

/// What each connection sends, and how many there are.
pub struct Crowd {
    callers: usize,
    message: Vec<u8>,
}

/// A crowd that is connected, and the most that the process was seen to use meanwhile.
pub struct ConnectedCrowd {
    _callers: Vec<Caller>,
    pub peak: Usage,
}

struct Caller {
    stream: TcpStream,
    sent: usize,
    is_closed: bool,
}

impl Crowd {
    /// Bodies with a length that stop a byte short of it.
    pub fn of_lengths(callers: usize, head: &str, length: usize) -> Self {
        Self::with_body(callers, head, length, length.saturating_sub(1))
    }

    /// Bodies with a length that are whole.
    pub fn of_whole_bodies(callers: usize, head: &str, length: usize) -> Self {
        Self::with_body(callers, head, length, length)
    }

    fn with_body(callers: usize, head: &str, length: usize, sent: usize) -> Self {
        let mut message = format!("{head}Content-Length: {length}\r\n\r\n").into_bytes();
        message.resize(message.len() + sent, b'b');
        Self { callers, message }
    }

    /// Bodies in chunks of `chunk_bytes`, without the last one.
    pub fn of_chunks(callers: usize, head: &str, length: usize, chunk_bytes: usize) -> Self {
        let mut message = format!("{head}Transfer-Encoding: chunked\r\n\r\n").into_bytes();
        let mut left = length;
        while left > 0 {
            let size = left.min(chunk_bytes);
            message.extend_from_slice(format!("{size:x}\r\n").as_bytes());
            message.resize(message.len() + size, b'c');
            message.extend_from_slice(b"\r\n");
            left -= size;
        }
        Self { callers, message }
    }

    /// Heads with a header that never ends.
    pub fn of_heads(callers: usize, head: &str, length: usize) -> Self {
        let mut message = format!("{head}X-Filler: ").into_bytes();
        message.resize(length, b'h');
        Self { callers, message }
    }

    /// Empty lines without a request.
    pub fn of_empty_lines(callers: usize, length: usize) -> Self {
        Self {
            callers,
            message: b"\r\n".repeat(length / 2),
        }
    }

    /// Connections that send nothing.
    pub fn of_silence(callers: usize) -> Self {
        Self {
            callers,
            message: Vec::new(),
        }
    }

    /// Connects all callers and sends until everything is sent or the process takes no more.
    pub fn connect(self, address: SocketAddr, look: impl Fn() -> Usage) -> ConnectedCrowd {
        let mut callers: Vec<Caller> = (0..self.callers)
            .filter_map(|_| Caller::connect(address))
            .collect();
        let mut peak = look();
        let mut idle_looks = 0;
        while idle_looks < IDLE_LOOKS && callers.iter().any(|caller| caller.is_sending(&self)) {
            let mut sent = 0;
            for _ in 0..TURNS_PER_LOOK {
                let turns = callers.iter_mut().map(|caller| caller.send(&self.message));
                sent += turns.sum::<usize>();
            }
            peak = peak.max(look());
            if sent > 0 {
                idle_looks = 0;
            } else {
                idle_looks += 1;
                std::thread::sleep(LOOK_INTERVAL);
            }
        }
        for _ in 0..IDLE_LOOKS {
            std::thread::sleep(LOOK_INTERVAL);
            peak = peak.max(look());
        }
        ConnectedCrowd {
            _callers: callers,
            peak,
        }
    }
}

impl Caller {
    fn connect(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(5)).ok()?;
        stream.set_nonblocking(true).ok()?;
        Some(Self {
            stream,
            sent: 0,
            is_closed: false,
        })
    }

    fn is_sending(&self, crowd: &Crowd) -> bool {
        !self.is_closed && self.sent < crowd.message.len()
    }

    /// Sends the next bytes and returns how many were taken.
    fn send(&mut self, message: &[u8]) -> usize {
        let end = message.len().min(self.sent + TURN_BYTES);
        if self.is_closed || self.sent == end {
            return 0;
        }
        match self.stream.write(&message[self.sent..end]) {
            Ok(sent) => {
                self.sent += sent;
                sent
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => 0,
            Err(_) => {
                self.is_closed = true;
                0
            }
        }
    }
}
