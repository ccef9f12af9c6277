//! Takes log lines off the threads that write them, and never makes those wait.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::sync::Arc;
use std::time::Duration;

/// Lines held while the reader is slow; at 300 bytes each about a megabyte.
const CAPACITY: usize = 4_096;
/// Bytes written at once.
const BATCH_BYTES: usize = 32 << 10;
/// Time in which lines gather before they are written together, which saves a wake-up for each.
pub const BATCH_DELAY: Duration = Duration::from_millis(25);

/// A writer whose lines are written by a thread of their own.
///
/// A full pipe would stall every request that logs. Lines that do not fit are dropped instead, and
/// counted in a line of their own as soon as there is room.
pub struct LogWriter {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    line: Vec<u8>,
}

impl LogWriter {
    /// Starts the thread that writes to `out`.
    pub fn spawn(out: impl Write + Send + 'static) -> Self {
        let (lines, receiver) = sync_channel(CAPACITY);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&dropped);
        std::thread::spawn(move || write_lines(&receiver, out, &counted));
        Self {
            lines,
            dropped,
            line: Vec::new(),
        }
    }
}

impl Write for LogWriter {
    fn write(&mut self, piece: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(piece);
        Ok(piece.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        let line = std::mem::take(&mut self.line);
        match self.lines.try_send(line) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(())
    }
}

fn write_lines(lines: &Receiver<Vec<u8>>, mut out: impl Write, dropped: &AtomicU64) {
    while let Ok(first) = lines.recv() {
        std::thread::sleep(BATCH_DELAY);
        let mut batch = first;
        while batch.len() < BATCH_BYTES {
            let Ok(line) = lines.try_recv() else {
                break;
            };
            batch.extend_from_slice(&line);
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            batch.extend_from_slice(format!("event=log_lines_dropped count={lost}\n").as_bytes());
        }
        // Nobody is left to tell when the output itself is closed.
        let _ = out.write_all(&batch).and_then(|()| out.flush());
    }
}
