//! The process's limit on bytes of bodies held at one time.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use shallotfork_types::Bytes;
use tokio::sync::Semaphore;

/// Refused bodies that are read to their end at the same time; each takes a buffer of its
/// connection, which no budget counts.
const DISCARDS_MAX: usize = 4;

/// Counts the bytes of all bodies held by the process and refuses more than its limit.
///
/// Many callers that send large bodies at once would otherwise use up the VM's memory, and the
/// process would be killed with every request in flight.
#[derive(Debug, Clone)]
pub struct BodyBudget {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    limit_bytes: u64,
    held_bytes: AtomicU64,
    discards: Arc<Semaphore>,
}

impl BodyBudget {
    /// A budget of `limit` bytes, none of them held.
    pub fn new(limit: Bytes) -> Self {
        let shared = Shared {
            limit_bytes: limit.value(),
            held_bytes: AtomicU64::new(0),
            discards: Arc::new(Semaphore::new(DISCARDS_MAX)),
        };
        Self { shared: Arc::new(shared) }
    }

    /// Bytes held now.
    pub fn held(&self) -> Bytes {
        Bytes::new(self.shared.held_bytes.load(Ordering::Relaxed))
    }

    /// Turns to read a refused body to its end.
    pub(crate) fn discards(&self) -> Arc<Semaphore> {
        Arc::clone(&self.shared.discards)
    }

    /// An empty permit, which grows as a body arrives.
    pub fn permit(&self) -> BodyPermit {
        BodyPermit { shared: Arc::clone(&self.shared), size_bytes: 0 }
    }
}

/// A body's share of the [`BodyBudget`]; dropping it gives the share back.
#[derive(Debug)]
pub struct BodyPermit {
    shared: Arc<Shared>,
    size_bytes: u64,
}

impl BodyPermit {
    /// Takes `size_bytes` more; `false` when the budget has not that much left.
    #[must_use]
    pub fn grow(&mut self, size_bytes: u64) -> bool {
        let taken = self.shared.held_bytes.fetch_update(
            Ordering::Relaxed,
            Ordering::Relaxed,
            |held_bytes| {
                let grown = held_bytes.checked_add(size_bytes)?;
                (grown <= self.shared.limit_bytes).then_some(grown)
            },
        );
        if taken.is_err() {
            return false;
        }
        self.size_bytes += size_bytes;
        true
    }
}

impl Drop for BodyPermit {
    fn drop(&mut self) {
        self.shared.held_bytes.fetch_sub(self.size_bytes, Ordering::Relaxed);
    }
}
