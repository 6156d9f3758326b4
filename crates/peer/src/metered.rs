//! Counts the bytes of connections between entries.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use futures::{AsyncRead, AsyncWrite};
use metrics::{Counter, counter};

/// Bytes of calls between entries, by direction.
const PEER_BYTES: &str = "shallotd_peer_bytes_total";

/// A stream whose bytes are counted, both directions apart.
pub(crate) struct Metered<S> {
    inner: S,
    received: Counter,
    sent: Counter,
    carried: Rc<Cell<u64>>,
    received_bytes: Rc<Cell<u64>>,
}

impl<S> Metered<S> {
    pub(crate) fn new(inner: S) -> Self {
        let received = counter!(PEER_BYTES, "direction" => "received");
        let sent = counter!(PEER_BYTES, "direction" => "sent");
        Self { inner, received, sent, carried: Rc::default(), received_bytes: Rc::default() }
    }

    /// Bytes received since the connection was opened, as they grow.
    pub(crate) fn received_bytes(&self) -> Rc<Cell<u64>> {
        Rc::clone(&self.received_bytes)
    }

    /// Bytes of both directions since the connection was opened, as they grow.
    pub(crate) fn carried(&self) -> Rc<Cell<u64>> {
        Rc::clone(&self.carried)
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Metered<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = Pin::new(&mut self.inner).poll_read(cx, buf);
        if let Poll::Ready(Ok(count)) = read {
            self.received.increment(count as u64);
            self.received_bytes.set(self.received_bytes.get() + count as u64);
            self.carried.set(self.carried.get() + count as u64);
        }
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Metered<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(cx, buf);
        if let Poll::Ready(Ok(count)) = written {
            self.sent.increment(count as u64);
            self.carried.set(self.carried.get() + count as u64);
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
