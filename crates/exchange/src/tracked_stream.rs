//! The stream of a caller's connection, whose writes are recorded.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::activity::Activity;
use crate::read_ahead::ReadAheadStream;

/// A stream that records each write as progress of its connection, or as blocked.
#[derive(Debug)]
pub(crate) struct TrackedStream {
    inner: ReadAheadStream,
    activity: Arc<Activity>,
}

impl TrackedStream {
    pub(crate) fn new(inner: ReadAheadStream, activity: Arc<Activity>) -> Self {
        Self { inner, activity }
    }

    /// Records the result of a write of `buf`, the first bytes that were to be written.
    ///
    /// The kernel reports a socket as writable only when a third of its send buffer is free, which
    /// takes a slow caller longer than the stall timeout if the buffer is large. A blocked write is
    /// therefore tried once more at each check.
    fn record_write(
        &self,
        written: Poll<io::Result<usize>>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = match written {
            Poll::Pending if self.activity.take_write_check() => self.inner.send_now(buf),
            written => written,
        };
        match &written {
            Poll::Ready(Ok(size)) if *size > 0 => self.activity.record_write(*size as u64),
            Poll::Pending => self.activity.record_blocked_write(),
            Poll::Ready(_) => {}
        }
        written
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.record_write(written, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        let first = bufs.iter().find(|buf| !buf.is_empty());
        self.record_write(written, first.map_or(&[], |buf| buf))
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
