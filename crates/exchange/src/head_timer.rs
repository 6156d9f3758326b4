//! Timeout for request heads that starts with the first byte of a head.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use hyper::rt::{Sleep, Timer};

/// Number of reads of a connection that gave the HTTP library bytes of a message; clones share it.
#[derive(Debug, Clone, Default)]
pub(crate) struct MessageReads(Arc<AtomicU64>);

impl MessageReads {
    /// Records a read, unless it consists of line ends, which may precede a request.
    pub(crate) fn record(&self, bytes: &[u8]) {
        if bytes.iter().any(|byte| !matches!(byte, b'\r' | b'\n')) {
            self.0.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn count(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// The timer of one connection for the HTTP library's timeout for request heads.
///
/// The library starts that timeout as soon as it waits for a request. On a kept connection it would
/// then bound the time between two requests, which the idle timeout is for.
#[derive(Debug, Clone)]
pub(crate) struct HeadTimer {
    reads: MessageReads,
}

impl HeadTimer {
    pub(crate) fn new(reads: MessageReads) -> Self {
        Self { reads }
    }
}

impl Timer for HeadTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn Sleep>> {
        Box::pin(HeadTimeout {
            reads: self.reads.clone(),
            reads_before: self.reads.count(),
            timeout: duration,
            running: None,
        })
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn Sleep>> {
        self.sleep(deadline.saturating_duration_since(self.now()))
    }
}

/// Ready when `timeout` has passed since the first read of a head.
#[derive(Debug)]
struct HeadTimeout {
    reads: MessageReads,
    reads_before: u64,
    timeout: Duration,
    running: Option<Pin<Box<tokio::time::Sleep>>>,
}

impl Sleep for HeadTimeout {}

impl Future for HeadTimeout {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if self.running.is_none() && self.reads.count() == self.reads_before {
            // The read that brings the first byte wakes the task, which then polls again.
            return Poll::Pending;
        }
        let timeout = self.timeout;
        let running = self.running.get_or_insert_with(|| Box::pin(tokio::time::sleep(timeout)));
        running.as_mut().poll(cx)
    }
}
