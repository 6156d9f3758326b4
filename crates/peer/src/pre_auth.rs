//! Reader that limits the bytes accepted before the other side has proved the shared key.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use futures::AsyncRead;

/// Shared flag that is set once the handshake has succeeded.
#[derive(Debug, Clone, Default)]
pub(crate) struct AuthState(Rc<Cell<bool>>);

impl AuthState {
    pub(crate) fn mark_authenticated(&self) {
        self.0.set(true);
    }

    pub(crate) fn is_authenticated(&self) -> bool {
        self.0.get()
    }
}

/// Reader that fails once an unauthenticated connection has sent more bytes than allowed.
///
/// Without this limit, a client without the key could fill memory with a message of the maximum
/// size.
#[derive(Debug)]
pub(crate) struct PreAuthReader<R> {
    inner: R,
    auth_state: AuthState,
    remaining_bytes: u64,
}

impl<R> PreAuthReader<R> {
    pub(crate) fn new(inner: R, auth_state: AuthState, unauthenticated_max_bytes: u64) -> Self {
        Self { inner, auth_state, remaining_bytes: unauthenticated_max_bytes }
    }
}

impl<R: AsyncRead + Unpin> AsyncRead for PreAuthReader<R> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        if self.auth_state.is_authenticated() {
            return Poll::Ready(Ok(count));
        }
        match self.remaining_bytes.checked_sub(count as u64) {
            Some(remaining_bytes) => self.remaining_bytes = remaining_bytes,
            None => return Poll::Ready(Err(io::ErrorKind::PermissionDenied.into())),
        }
        Poll::Ready(Ok(count))
    }
}
