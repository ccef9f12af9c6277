//! A caller's connection whose reads and writes are recorded.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::connection_record::ConnectionRecord;

/// A connection that tells its record what was read and whether the other end reads.
pub(crate) struct TrackedStream {
    stream: TcpStream,
    record: Arc<ConnectionRecord>,
}

impl TrackedStream {
    pub(crate) fn new(stream: TcpStream, record: Arc<ConnectionRecord>) -> Self {
        Self { stream, record }
    }

    fn track_write<T>(&self, written: Poll<T>) -> Poll<T> {
        self.record.record_write(written.is_pending());
        written
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let received = buffer.filled().len() - before;
        let recorded = self.record.record_read(received);
        Poll::Ready(recorded.map_err(|error| io::Error::new(io::ErrorKind::OutOfMemory, error)))
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.track_write(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.track_write(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(context);
        if flushed.is_ready() {
            self.record.record_flush();
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
