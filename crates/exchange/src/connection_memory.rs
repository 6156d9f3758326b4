//! How much memory a connection of a caller uses.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use shallotfork_types::Bytes;

use crate::served_connections::ConnectionGuard;

/// Memory of an open connection: its task, its first read buffer and its socket.
const BASE_BYTES: u64 = 16 * 1024;
/// Further memory of a connection with more than [`SMALL_BYTES`] of a message: the head, which the
/// request keeps, larger read buffers, and the bytes that are read ahead.
const EXTENDED_BYTES: u64 = 64 * 1024;
/// Size up to which the bytes of a message are part of the base.
pub(crate) const SMALL_BYTES: usize = 4 * 1024;
/// Further memory of a request on an HTTP/2 connection: its head and its task.
const STREAM_BYTES: u64 = 24 * 1024;

/// The memory of one connection, which is reported to the registry of connections.
#[derive(Debug)]
pub(crate) struct ConnectionMemory {
    guard: ConnectionGuard,
    /// Size of the kernel's receive buffer, which fills while the connection is not read.
    receive_buffer: Bytes,
    read_bytes: AtomicU64,
    stream_bytes: AtomicU64,
}

/// How much a connection holds of what its caller has sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadLevel {
    /// At most [`SMALL_BYTES`].
    Small,
    /// More than that.
    Extended,
    /// So much that it is not read at present.
    Blocked,
}

impl ConnectionMemory {
    /// Memory of a connection that has just been opened.
    pub(crate) const INITIAL_BYTES: u64 = BASE_BYTES;

    pub(crate) fn new(guard: ConnectionGuard, receive_buffer: Bytes) -> Self {
        let (read_bytes, stream_bytes) = (AtomicU64::new(BASE_BYTES), AtomicU64::new(0));
        Self { guard, receive_buffer, read_bytes, stream_bytes }
    }

    /// Records how much the connection holds of what its caller has sent.
    pub(crate) fn set_read_level(&self, level: ReadLevel) {
        let read_bytes = match level {
            ReadLevel::Small => BASE_BYTES,
            ReadLevel::Extended => BASE_BYTES + EXTENDED_BYTES,
            // The kernel doubles the size for its own overhead, which is small with large packets.
            ReadLevel::Blocked => BASE_BYTES + EXTENDED_BYTES + self.receive_buffer.value() * 2,
        };
        if self.read_bytes.swap(read_bytes, Ordering::Relaxed) != read_bytes {
            self.report();
        }
    }

    /// Records a request of HTTP/2 until the guard is dropped.
    pub(crate) fn start_stream(self: &Arc<Self>) -> StreamMemory {
        self.stream_bytes.fetch_add(STREAM_BYTES, Ordering::Relaxed);
        self.report();
        StreamMemory { memory: Arc::clone(self) }
    }

    /// Waits until the connection has to end because of its memory or that of others.
    pub(crate) async fn evicted(&self) {
        self.guard.evicted().await;
    }

    fn report(&self) {
        let read_bytes = self.read_bytes.load(Ordering::Relaxed);
        self.guard.set_held(read_bytes + self.stream_bytes.load(Ordering::Relaxed));
    }
}

/// The memory of a request on an HTTP/2 connection.
#[derive(Debug)]
pub(crate) struct StreamMemory {
    memory: Arc<ConnectionMemory>,
}

impl Drop for StreamMemory {
    fn drop(&mut self) {
        self.memory.stream_bytes.fetch_sub(STREAM_BYTES, Ordering::Relaxed);
        self.memory.report();
    }
}
