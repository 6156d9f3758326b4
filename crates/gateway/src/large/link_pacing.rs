//! Order and pace of the writes of large answers.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use shallotfork_timer::Clock;
use shallotfork_transfer::{LinkPacer, Pace, PacerConfig};
use shallotfork_types::{Bytes, Mono};
use tokio::sync::Notify;

use crate::context::lock;

/// Position of a transfer among those that wait to write: by objective, then by start.
pub type PaceKey = (Mono, u64);

/// Paces the writes of all large answers of this process.
///
/// The transfer with the earliest objective writes first. Taking turns instead would make all of
/// them late while the link is short.
#[derive(Debug)]
pub struct LinkPacing {
    clock: Clock,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    pacer: LinkPacer,
    /// Transfers that wait to write. Only the first one asks the pacer.
    waiting: BTreeMap<PaceKey, Arc<Notify>>,
    next_number: u64,
}

/// What a waiting transfer has to do.
enum Turn {
    /// It may write.
    Write,
    /// It is the first one and has to ask again at this time.
    Sleep(Mono),
    /// Another one is first.
    Queue,
}

impl LinkPacing {
    /// Creates the pacing of an idle link.
    pub fn new(config: PacerConfig, clock: Clock) -> Self {
        let pacer = LinkPacer::new(config);
        let inner = Inner { pacer, waiting: BTreeMap::new(), next_number: 0 };
        Self { clock, inner: Mutex::new(inner) }
    }

    /// Returns the position of a new transfer.
    pub fn new_key(&self, objective: Mono) -> PaceKey {
        let mut inner = lock(&self.inner);
        inner.next_number += 1;
        (objective, inner.next_number)
    }

    /// Returns the size of the chunks in which large answers are to be written.
    pub fn chunk_size(&self) -> Bytes {
        lock(&self.inner).pacer.chunk_size()
    }

    /// Counts bytes of ordinary messages.
    pub fn record_ordinary(&self, size: Bytes) {
        let now = self.clock.now();
        lock(&self.inner).pacer.record_ordinary(size, now);
    }

    /// Counts the head of a large answer.
    pub fn record_large_head(&self, size: Bytes) {
        let now = self.clock.now();
        lock(&self.inner).pacer.record_large_head(size, now);
    }

    /// Waits until a transfer may write `size` more bytes.
    pub async fn acquire(&self, key: PaceKey, size: Bytes) {
        let turn_changed = Arc::new(Notify::new());
        lock(&self.inner).waiting.insert(key, Arc::clone(&turn_changed));
        let _place = Place { pacing: self, key };
        loop {
            match self.take_turn(key, size) {
                Turn::Write => return,
                Turn::Sleep(at) => tokio::time::sleep(at.since(self.clock.now())).await,
                Turn::Queue => turn_changed.notified().await,
            }
        }
    }

    fn take_turn(&self, key: PaceKey, size: Bytes) -> Turn {
        let now = self.clock.now();
        let mut inner = lock(&self.inner);
        if inner.waiting.first_key_value().is_some_and(|(first, _)| *first != key) {
            return Turn::Queue;
        }
        match inner.pacer.request(size, now) {
            Pace::Write => Turn::Write,
            Pace::WaitUntil(at) => Turn::Sleep(at),
        }
    }
}

/// Place of a transfer among those that wait. When it is dropped the next one has its turn.
struct Place<'a> {
    pacing: &'a LinkPacing,
    key: PaceKey,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let mut inner = lock(&self.pacing.inner);
        inner.waiting.remove(&self.key);
        if let Some((_, next)) = inner.waiting.first_key_value() {
            next.notify_one();
        }
    }
}
