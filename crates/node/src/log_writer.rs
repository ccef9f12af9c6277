//! Writes log lines from a thread of its own, so that a thread that logs never blocks on the output.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::sync::Arc;
use std::time::Duration;

/// Most lines queued while the output is slow; about a megabyte at 300 bytes a line.
const MAX_QUEUED_LINES: usize = 4_096;
/// Bytes after which a line is cut off; callers choose some of its texts.
const MAX_LINE_BYTES: usize = 2 << 10;
/// End of a line that was cut off.
const CUT_MARK: &[u8] = b"...\n";
/// Size at which a batch of lines is written.
const BATCH_BYTES: usize = 32 << 10;
/// Time for which lines are collected before they are written together, which saves a wake-up of
/// the thread for each line.
pub const BATCH_DELAY: Duration = Duration::from_millis(25);

/// A writer that queues lines for the thread that writes them; each flush ends a line.
///
/// A write to a full pipe blocks, which would stall every request that logs. Lines that do not fit
/// into the queue are dropped instead; the next batch reports their number in a line of its own.
pub struct LogWriter {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    line: Vec<u8>,
    is_cut: bool,
}

impl LogWriter {
    /// Starts the thread that writes to `out`.
    pub fn spawn(out: impl Write + Send + 'static) -> Self {
        let (lines, receiver) = sync_channel(MAX_QUEUED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let dropped_by_writers = Arc::clone(&dropped);
        std::thread::spawn(move || write_lines(&receiver, out, &dropped_by_writers));
        Self {
            lines,
            dropped,
            line: Vec::new(),
            is_cut: false,
        }
    }
}

impl Write for LogWriter {
    fn write(&mut self, piece: &[u8]) -> io::Result<usize> {
        let room = MAX_LINE_BYTES.saturating_sub(self.line.len());
        self.is_cut |= piece.len() > room;
        self.line.extend_from_slice(&piece[..piece.len().min(room)]);
        Ok(piece.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        let mut line = std::mem::take(&mut self.line);
        if std::mem::take(&mut self.is_cut) {
            line.extend_from_slice(CUT_MARK);
        }
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
        let count = dropped.swap(0, Ordering::Relaxed);
        if count > 0 {
            batch.extend_from_slice(format!("event=log_lines_dropped count={count}\n").as_bytes());
        }
        // A failed write is ignored: there is no other output to report it to.
        let _ = out.write_all(&batch).and_then(|()| out.flush());
    }
}
