//! Reads a refused body to its end without keeping it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::{Stream, StreamExt};
use tokio::sync::Semaphore;

/// What reading a refused body may take.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DiscardLimits {
    /// Bytes read at most.
    pub(crate) size_max_bytes: u64,
    /// The longest time.
    pub(crate) timeout: Duration,
}

/// Reads and drops what is left of a body in the background, within limits.
///
/// Guards against a refusal that its caller never sees. A server that answers before it has read
/// the body and closes makes the kernel send a reset for the bytes that still arrive; the reset
/// drops the answer from the caller's buffer, and the caller sees a broken connection in place of
/// "too large" or "come back later". With the body read on, the connection ends in order.
pub(crate) fn discard<E>(
    body: impl Stream<Item = Result<Bytes, E>> + Send + Unpin + 'static,
    limits: DiscardLimits,
    turns: Arc<Semaphore>,
) where
    E: Send + 'static,
{
    let reading = async move {
        // The semaphore is never closed. Meanwhile the connection is open and nothing is read.
        let _turn = turns.acquire().await;
        let reading = read_on(body, limits.size_max_bytes);
        let _timed_out = tokio::time::timeout(limits.timeout, reading).await;
    };
    tokio::spawn(reading);
}

async fn read_on<E>(mut body: impl Stream<Item = Result<Bytes, E>> + Unpin, mut left_bytes: u64) {
    while let Some(Ok(piece)) = body.next().await {
        let size_bytes = piece.len() as u64;
        if size_bytes > left_bytes {
            return;
        }
        left_bytes -= size_bytes;
    }
}
