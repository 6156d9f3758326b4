//! Bound on the interim answers (1xx) of a target before its final one.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::task::{Context, Poll};

use http::Request;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Maximum number of interim answers to one request. Targets send one or two, if any.
const INTERIM_ANSWERS_MAX: u32 = 16;

/// Counts the interim answers to the request in progress; clones share the count.
#[derive(Debug, Clone, Default)]
pub(crate) struct InterimAnswers(Arc<AtomicU32>);

impl InterimAnswers {
    /// Counts those to `request` from zero.
    pub(crate) fn count_for<B>(&self, request: &mut Request<B>) {
        self.0.store(0, Ordering::Relaxed);
        let answers = self.clone();
        hyper::ext::on_informational(request, move |_| {
            answers.0.fetch_add(1, Ordering::Relaxed);
        });
    }

    /// Returns whether there were too many.
    pub(crate) fn is_over_limit(&self) -> bool {
        self.0.load(Ordering::Relaxed) > INTERIM_ANSWERS_MAX
    }
}

/// The stream of a connection to a target, whose reads fail after too many interim answers.
///
/// The HTTP library parses them in a loop that ends only when no bytes are left to read. A target
/// that sends faster than they are parsed would keep a thread of the runtime busy.
#[derive(Debug)]
pub(crate) struct InterimBoundedStream {
    inner: TcpStream,
    interim_answers: InterimAnswers,
}

impl InterimBoundedStream {
    pub(crate) fn new(inner: TcpStream, interim_answers: InterimAnswers) -> Self {
        Self { inner, interim_answers }
    }
}

impl AsyncRead for InterimBoundedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.interim_answers.is_over_limit() {
            let error = "the target sends interim answers without a final one";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, error)));
        }
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl AsyncWrite for InterimBoundedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
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
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
