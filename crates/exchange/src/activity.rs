//! Idle detection for the connections of callers.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Instant;

/// Tracks the requests in progress on a connection and the time of its last progress.
///
/// Received bytes don't count as progress: otherwise a caller that sends a byte at a time would
/// never be idle.
#[derive(Debug)]
pub(crate) struct Activity {
    opened_at: Instant,
    has_started: AtomicBool,
    in_progress: AtomicUsize,
    last_progress_ms: AtomicU64,
}

impl Activity {
    pub(crate) fn new() -> Self {
        Self {
            opened_at: Instant::now(),
            has_started: AtomicBool::new(false),
            in_progress: AtomicUsize::new(0),
            last_progress_ms: AtomicU64::new(0),
        }
    }

    /// Records the start of a request, which is in progress until the returned guard is dropped.
    pub(crate) fn start_request(self: &Arc<Self>) -> RequestGuard {
        self.has_started.store(true, Ordering::Relaxed);
        self.in_progress.fetch_add(1, Ordering::Relaxed);
        RequestGuard { activity: Arc::clone(self) }
    }

    /// Returns whether a request is in progress.
    pub(crate) fn is_busy(&self) -> bool {
        self.in_progress.load(Ordering::Relaxed) > 0
    }

    fn record_progress(&self) {
        let elapsed_ms = u64::try_from(self.opened_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.last_progress_ms.store(elapsed_ms, Ordering::Relaxed);
    }

    /// Waits until no request has started within `first_request_timeout`, or until no request was
    /// in progress and nothing was written for `timeout`.
    ///
    /// A connection without any request has a timeout of its own, because opening many connections
    /// costs a client nothing and each one counts towards the connection limit.
    pub(crate) async fn wait_until_idle(&self, first_request_timeout: Duration, timeout: Duration) {
        tokio::time::sleep_until(self.opened_at + first_request_timeout).await;
        if !self.has_started.load(Ordering::Relaxed) {
            return;
        }
        loop {
            if self.in_progress.load(Ordering::Relaxed) > 0 {
                tokio::time::sleep(timeout).await;
                continue;
            }
            let last_progress =
                Duration::from_millis(self.last_progress_ms.load(Ordering::Relaxed));
            let idle_at = self.opened_at + last_progress + timeout;
            if Instant::now() >= idle_at {
                return;
            }
            tokio::time::sleep_until(idle_at).await;
        }
    }
}

/// Marks a request as in progress until it is dropped.
#[derive(Debug)]
pub(crate) struct RequestGuard {
    activity: Arc<Activity>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.activity.record_progress();
        self.activity.in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A stream that records each successful write as progress of its connection.
#[derive(Debug)]
pub(crate) struct TrackedStream<T> {
    inner: T,
    activity: Arc<Activity>,
}

impl<T> TrackedStream<T> {
    pub(crate) fn new(inner: T, activity: Arc<Activity>) -> Self {
        Self { inner, activity }
    }

    fn record_write(&self, written: &Poll<io::Result<usize>>) {
        if matches!(written, Poll::Ready(Ok(size)) if *size > 0) {
            self.activity.record_progress();
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
        self.record_write(&written);
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
        self.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
