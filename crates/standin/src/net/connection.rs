//! Connection that can be cut at a configured byte.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::faults::ConnectionState;

/// A TCP connection that counts the bytes of the current exchange and ends at the byte set by a
/// fault.
///
/// A read after a write is taken as the start of a new exchange, which is correct for HTTP/1.1
/// without pipelining.
#[derive(Debug)]
pub struct FaultyConnection {
    stream: TcpStream,
    state: ConnectionState,
    read_bytes: u64,
    written_bytes: u64,
    is_cut: bool,
}

impl FaultyConnection {
    /// Wraps a newly accepted connection and counts it as opened.
    pub fn new(stream: TcpStream, state: ConnectionState) -> Self {
        state.record_opened();
        Self { stream, state, read_bytes: 0, written_bytes: 0, is_cut: false }
    }

    fn cut(&mut self) -> io::Error {
        if !self.is_cut {
            self.is_cut = true;
            self.state.record_cut();
        }
        io::ErrorKind::ConnectionReset.into()
    }

    fn record_read(&mut self, count: usize) {
        if self.written_bytes > 0 {
            self.written_bytes = 0;
            self.read_bytes = 0;
        }
        self.read_bytes += count as u64;
    }

    fn writable_bytes(&self, requested: usize) -> usize {
        let Some(limit) = self.state.faults().cut_answer_at_bytes else {
            return requested;
        };
        let remaining = limit.saturating_sub(self.written_bytes);
        requested.min(usize::try_from(remaining).unwrap_or(usize::MAX))
    }
}

impl AsyncRead for FaultyConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let count = buf.filled().len() - before;
        if count == 0 {
            return Poll::Ready(Ok(()));
        }
        self.record_read(count);
        let faults = self.state.faults();
        let is_read_limit_reached =
            faults.close_after_read_bytes.is_some_and(|n| self.read_bytes >= n);
        if faults.refuse || is_read_limit_reached {
            return Poll::Ready(Err(self.cut()));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for FaultyConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let allowed = self.writable_bytes(buf.len());
        if self.state.faults().refuse || (allowed == 0 && !buf.is_empty()) {
            return Poll::Ready(Err(self.cut()));
        }
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, &buf[..allowed]))?;
        self.written_bytes += written as u64;
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl Drop for FaultyConnection {
    fn drop(&mut self) {
        self.state.record_closed();
    }
}
