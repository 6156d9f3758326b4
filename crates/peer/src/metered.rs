//! Byte counting for connections between entries.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use futures::{AsyncRead, AsyncWrite};
use metrics::{Counter, counter};

/// Metric for the bytes transferred between entries, by direction.
const PEER_BYTES: &str = "shallotd_peer_bytes_total";

/// Stream that counts the bytes it transfers in each direction.
pub(crate) struct MeteredStream<S> {
    inner: S,
    received: Counter,
    sent: Counter,
    transferred_bytes: Rc<Cell<u64>>,
    received_bytes: Rc<Cell<u64>>,
}

impl<S> MeteredStream<S> {
    pub(crate) fn new(inner: S) -> Self {
        let received = counter!(PEER_BYTES, "direction" => "received");
        let sent = counter!(PEER_BYTES, "direction" => "sent");
        Self {
            inner,
            received,
            sent,
            transferred_bytes: Rc::default(),
            received_bytes: Rc::default(),
        }
    }

    /// Returns the shared counter of bytes received since the connection was opened.
    pub(crate) fn received_bytes(&self) -> Rc<Cell<u64>> {
        Rc::clone(&self.received_bytes)
    }

    /// Returns the shared counter of bytes transferred in both directions since the connection was
    /// opened.
    pub(crate) fn transferred_bytes(&self) -> Rc<Cell<u64>> {
        Rc::clone(&self.transferred_bytes)
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for MeteredStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = Pin::new(&mut self.inner).poll_read(cx, buf);
        if let Poll::Ready(Ok(count)) = read {
            self.received.increment(count as u64);
            self.received_bytes.set(self.received_bytes.get() + count as u64);
            self.transferred_bytes.set(self.transferred_bytes.get() + count as u64);
        }
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for MeteredStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(cx, buf);
        if let Poll::Ready(Ok(count)) = written {
            self.sent.increment(count as u64);
            self.transferred_bytes.set(self.transferred_bytes.get() + count as u64);
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}
