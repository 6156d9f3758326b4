//! Progress of the transfer of an answer's body.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::task::Waker;

use futures::task::AtomicWaker;
use shallotfork_types::Bytes;

use crate::activity::Activity;
use crate::answer_transfer::{AnswerTransfer, Pacing, TransferEnd, TransferEndFn, TransferReport};

/// Progress of one transfer, shared by the answer's body and its unwritten chunks. Reports the end
/// when the last byte was taken, or when all of these have been dropped before.
pub(crate) struct TransferState {
    total_bytes: u64,
    /// Bytes that the HTTP library has received.
    handed_bytes: AtomicU64,
    /// Bytes that the connection has taken.
    taken_bytes: AtomicU64,
    /// Woken when the connection has taken all bytes that the HTTP library has received.
    all_taken: AtomicWaker,
    pacing: Pacing,
    connection: OnceLock<Arc<Activity>>,
    on_end: Mutex<Option<TransferEndFn>>,
}

impl fmt::Debug for TransferState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("TransferState")
            .field("total_bytes", &self.total_bytes)
            .field("taken_bytes", &self.taken_bytes)
            .finish_non_exhaustive()
    }
}

impl TransferState {
    pub(crate) fn new(transfer: AnswerTransfer, total_bytes: u64) -> Self {
        Self {
            total_bytes,
            handed_bytes: AtomicU64::new(0),
            taken_bytes: AtomicU64::new(0),
            all_taken: AtomicWaker::new(),
            pacing: transfer.pacing,
            connection: OnceLock::new(),
            on_end: Mutex::new(transfer.on_end),
        }
    }

    /// Binds the transfer to its connection, on which a head of `head_bytes` is written.
    pub(crate) fn start(&self, connection: Arc<Activity>, head_bytes: usize) {
        // A response is written to one connection only.
        let _ = self.connection.set(connection);
        match &self.pacing {
            Pacing::Recorded(pacer) | Pacing::Paced(pacer) => pacer.record_unpaced(head_bytes),
            Pacing::Untracked => {}
        }
    }

    pub(crate) fn record_handed(&self, size_bytes: u64) {
        self.handed_bytes.fetch_add(size_bytes, Ordering::Relaxed);
    }

    pub(crate) fn record_taken(&self, size_bytes: u64) {
        let taken_bytes = self.taken_bytes.fetch_add(size_bytes, Ordering::Relaxed) + size_bytes;
        if let Pacing::Recorded(pacer) = &self.pacing {
            pacer.record_unpaced(usize::try_from(size_bytes).unwrap_or(usize::MAX));
        }
        if taken_bytes >= self.total_bytes {
            self.report_end();
        }
        if self.has_all_taken() {
            self.all_taken.wake();
        }
    }

    /// Returns whether the connection has taken all bytes that the HTTP library has received;
    /// otherwise wakes `waker` when it has.
    pub(crate) fn poll_all_taken(&self, waker: &Waker) -> bool {
        self.all_taken.register(waker);
        self.has_all_taken()
    }

    /// Returns whether the connection has taken all bytes that the HTTP library has received.
    pub(crate) fn has_all_taken(&self) -> bool {
        self.taken_bytes.load(Ordering::Relaxed) >= self.handed_bytes.load(Ordering::Relaxed)
    }

    fn report_end(&self) {
        let on_end = self.on_end.lock().unwrap_or_else(PoisonError::into_inner).take();
        let Some(on_end) = on_end else { return };
        let sent_bytes = self.taken_bytes.load(Ordering::Relaxed);
        let connection_end = self.connection.get().and_then(|connection| connection.end());
        let end = if sent_bytes >= self.total_bytes {
            TransferEnd::Completed
        } else {
            connection_end.unwrap_or(TransferEnd::CallerLeft)
        };
        on_end(TransferReport {
            end,
            sent: Bytes::new(sent_bytes),
            total: Bytes::new(self.total_bytes),
        });
    }
}

impl Drop for TransferState {
    fn drop(&mut self) {
        self.report_end();
    }
}
