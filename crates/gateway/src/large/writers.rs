//! The writers by which answers are paced or counted.

use std::sync::Arc;

use futures::FutureExt;
use futures::future::BoxFuture;
use shallotfork_exchange::WritePacer;
use shallotfork_types::{Bytes, Mono};

use crate::large::link_pacing::PaceKey;
use crate::large::{LargeAnswers, RoomGuard};

/// Paces one large answer.
#[derive(Debug)]
pub struct LargeWriter {
    room: Arc<RoomGuard>,
    key: PaceKey,
}

impl LargeWriter {
    /// Creates the writer of an answer with reserved room.
    pub fn new(room: Arc<RoomGuard>, objective: Mono) -> Self {
        let key = room.large_answers().pacing().new_key(objective);
        Self { room, key }
    }
}

impl WritePacer for LargeWriter {
    fn acquire(&self, size_bytes: usize) -> BoxFuture<'_, ()> {
        let size = Bytes::new(size_bytes as u64);
        async move {
            self.room.large_answers().pacing().acquire(self.key, size).await;
            self.room.record_sent(size);
        }
        .boxed()
    }

    fn record_unpaced(&self, size_bytes: usize) {
        self.room.large_answers().pacing().record_large_head(Bytes::new(size_bytes as u64));
    }
}

/// Counts the bytes of ordinary answers, which never wait.
#[derive(Debug)]
pub struct OrdinaryWriter {
    large_answers: Arc<LargeAnswers>,
}

impl OrdinaryWriter {
    /// Creates a writer.
    pub fn new(large_answers: Arc<LargeAnswers>) -> Self {
        Self { large_answers }
    }
}

impl WritePacer for OrdinaryWriter {
    fn acquire(&self, size_bytes: usize) -> BoxFuture<'_, ()> {
        self.record_unpaced(size_bytes);
        std::future::ready(()).boxed()
    }

    fn record_unpaced(&self, size_bytes: usize) {
        self.large_answers.pacing().record_ordinary(Bytes::new(size_bytes as u64));
    }
}
