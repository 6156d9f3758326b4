//! Discards the rest of rejected bodies.

use std::time::Duration;

use bytes::Bytes;
use futures::{Stream, StreamExt};

/// Limits for discarding a rejected body.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DiscardLimits {
    /// The maximum number of bytes read.
    pub(crate) size_max_bytes: u64,
    /// The maximum time spent reading.
    pub(crate) timeout: Duration,
}

/// Reads and drops the rest of a body in the background, within limits.
///
/// This makes sure that the caller receives the rejection. When a server answers and closes before
/// it has read the body, the kernel resets the connection on the bytes that still arrive. The reset
/// removes the answer from the caller's receive buffer, and the caller sees a broken connection
/// instead of a 413 or 503. Reading the whole body lets the connection close cleanly. All rejected
/// bodies are read at the same time, because the kernel would hold those that wait.
pub(crate) fn discard<E>(
    body: impl Stream<Item = Result<Bytes, E>> + Send + Unpin + 'static,
    limits: DiscardLimits,
) where
    E: Send + 'static,
{
    let reading = async move {
        let reading = read_to_end(body, limits.size_max_bytes);
        let _timed_out = tokio::time::timeout(limits.timeout, reading).await;
    };
    tokio::spawn(reading);
}

async fn read_to_end<E>(
    mut body: impl Stream<Item = Result<Bytes, E>> + Unpin,
    mut remaining_bytes: u64,
) {
    while let Some(Ok(chunk)) = body.next().await {
        let size_bytes = chunk.len() as u64;
        if size_bytes > remaining_bytes {
            return;
        }
        remaining_bytes -= size_bytes;
    }
}
