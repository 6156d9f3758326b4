//! One connection that can be cut at a chosen byte.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::faults::ConnectionState;

/// A TCP connection that counts the bytes of the exchange under way and ends where a fault says.
///
/// A read after a write begins a new exchange, which holds for HTTP/1.1 without pipelining.
#[derive(Debug)]
pub struct FaultyConnection {
    stream: TcpStream,
    state: ConnectionState,
    read_bytes: u64,
    written_bytes: u64,
    is_cut: bool,
}

impl FaultyConnection {
    /// Wraps a connection just accepted.
    pub fn new(stream: TcpStream, state: ConnectionState) -> Self {
        state.opened();
        Self { stream, state, read_bytes: 0, written_bytes: 0, is_cut: false }
    }

    fn cut(&mut self) -> io::Error {
        if !self.is_cut {
            self.is_cut = true;
            self.state.cut();
        }
        io::ErrorKind::ConnectionReset.into()
    }

    fn note_read(&mut self, count: usize) {
        if self.written_bytes > 0 {
            self.written_bytes = 0;
            self.read_bytes = 0;
        }
        self.read_bytes += count as u64;
    }

    fn may_write(&self, wanted: usize) -> usize {
        let Some(limit) = self.state.faults().cut_answer_at_bytes else {
            return wanted;
        };
        let left = limit.saturating_sub(self.written_bytes);
        wanted.min(usize::try_from(left).unwrap_or(usize::MAX))
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
        self.note_read(count);
        let faults = self.state.faults();
        let read_enough = faults.close_after_read_bytes.is_some_and(|n| self.read_bytes >= n);
        if faults.refuse || read_enough {
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
        let allowed = self.may_write(buf.len());
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
        self.state.closed();
    }
}
