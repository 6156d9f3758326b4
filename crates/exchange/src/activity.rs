//! Knows since when a caller's connection has done nothing of use.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Instant;

/// Requests in progress on a connection, and when it last got further.
///
/// Bytes that arrive don't count: a sender that drips one byte after another would never be idle.
#[derive(Debug)]
pub(crate) struct Activity {
    opened: Instant,
    begun: AtomicBool,
    busy: AtomicUsize,
    progress_ms: AtomicU64,
}

impl Activity {
    pub(crate) fn new() -> Self {
        Self {
            opened: Instant::now(),
            begun: AtomicBool::new(false),
            busy: AtomicUsize::new(0),
            progress_ms: AtomicU64::new(0),
        }
    }

    /// A request is in progress until the returned value is dropped.
    pub(crate) fn begin(self: &Arc<Self>) -> Busy {
        self.begun.store(true, Ordering::Relaxed);
        self.busy.fetch_add(1, Ordering::Relaxed);
        Busy { activity: Arc::clone(self) }
    }

    /// Whether a request is in progress.
    pub(crate) fn is_busy(&self) -> bool {
        self.busy.load(Ordering::Relaxed) > 0
    }

    fn progress(&self) {
        let since_ms = u64::try_from(self.opened.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.progress_ms.store(since_ms, Ordering::Relaxed);
    }

    /// Ends when no request has begun within `first`, or later when nothing was in progress and
    /// nothing was written for `timeout`.
    ///
    /// A connection that never sent a request is closed sooner: anyone can open many of them at
    /// no cost, and each takes a slot from a caller.
    pub(crate) async fn idle_for(&self, first: Duration, timeout: Duration) {
        tokio::time::sleep_until(self.opened + first).await;
        if !self.begun.load(Ordering::Relaxed) {
            return;
        }
        loop {
            if self.busy.load(Ordering::Relaxed) > 0 {
                tokio::time::sleep(timeout).await;
                continue;
            }
            let progress = Duration::from_millis(self.progress_ms.load(Ordering::Relaxed));
            let idle_at = self.opened + progress + timeout;
            if Instant::now() >= idle_at {
                return;
            }
            tokio::time::sleep_until(idle_at).await;
        }
    }
}

/// One request in progress.
#[derive(Debug)]
pub(crate) struct Busy {
    activity: Arc<Activity>,
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.activity.progress();
        self.activity.busy.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A stream whose writes count as progress.
#[derive(Debug)]
pub(crate) struct TrackedStream<T> {
    inner: T,
    activity: Arc<Activity>,
}

impl<T> TrackedStream<T> {
    pub(crate) fn new(inner: T, activity: Arc<Activity>) -> Self {
        Self { inner, activity }
    }

    fn wrote(&self, written: &Poll<io::Result<usize>>) {
        if matches!(written, Poll::Ready(Ok(size)) if *size > 0) {
            self.activity.progress();
        }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for TrackedStream<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for TrackedStream<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.wrote(&written);
        written
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
        self.wrote(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
