//! A reader that yields few bytes until the other side has proved the shared key.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use futures::AsyncRead;

/// Opened once the handshake has succeeded.
#[derive(Debug, Clone, Default)]
pub(crate) struct Gate(Rc<Cell<bool>>);

impl Gate {
    pub(crate) fn open(&self) {
        self.0.set(true);
    }

    pub(crate) fn is_open(&self) -> bool {
        self.0.get()
    }
}

/// Guards against a stranger that fills memory with a message of the largest allowed size: the
/// connection breaks after `left_bytes` unless the gate was opened by a proof before.
#[derive(Debug)]
pub(crate) struct GatedReader<R> {
    inner: R,
    gate: Gate,
    left_bytes: u64,
}

impl<R> GatedReader<R> {
    pub(crate) fn new(inner: R, gate: Gate, unproven_max_bytes: u64) -> Self {
        Self { inner, gate, left_bytes: unproven_max_bytes }
    }
}

impl<R: AsyncRead + Unpin> AsyncRead for GatedReader<R> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        if self.gate.is_open() {
            return Poll::Ready(Ok(count));
        }
        match self.left_bytes.checked_sub(count as u64) {
            Some(left_bytes) => self.left_bytes = left_bytes,
            None => return Poll::Ready(Err(io::ErrorKind::PermissionDenied.into())),
        }
        Poll::Ready(Ok(count))
    }
}
