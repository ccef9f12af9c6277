//! Connection that ends when it receives too many bytes which are no part of a response.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes that may arrive after one part of a response, its head or some bytes of its body, and before the next one.
///
/// A part takes several reads of a full buffer at most, and is read ahead by as much.
const MAX_OVERHEAD_BYTES: usize = 512 << 10;

/// Counts the bytes that a connection has received since the last part of a response; clones share the count.
#[derive(Clone, Debug, Default)]
pub(crate) struct OverheadCount(Arc<AtomicUsize>);

impl OverheadCount {
    /// Starts again, since a part of a response has arrived or a request is sent.
    pub(crate) fn reset(&self) {
        self.0.store(0, Ordering::Relaxed);
    }

    fn add(&self, bytes: usize) -> io::Result<()> {
        let before = self.0.fetch_add(bytes, Ordering::Relaxed);
        if before.saturating_add(bytes) > MAX_OVERHEAD_BYTES {
            return Err(io::Error::other("too many bytes that are no response"));
        }
        Ok(())
    }
}

/// A connection to a target.
pub(crate) struct GuardedStream {
    inner: TcpStream,
    overhead: OverheadCount,
}

impl GuardedStream {
    /// Guards a connection.
    pub(crate) fn new(inner: TcpStream, overhead: OverheadCount) -> Self {
        Self { inner, overhead }
    }
}

impl AsyncRead for GuardedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.inner).poll_read(context, buffer);
        if matches!(read, Poll::Ready(Ok(()))) {
            self.overhead.add(buffer.filled().len() - before)?;
        }
        read
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
