//! The process-wide memory budget for request and answer bodies.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use shallotfork_types::{Bytes, Permille};
use tokio::sync::Semaphore;

use crate::receiving_answers::{ReceivingAnswer, ReceivingAnswers};

/// Number of rejected bodies that are discarded at the same time; each uses a read buffer of its
/// connection, which the budget does not include.
const DISCARDS_MAX: usize = 4;

/// Share of the budget that answers may use together until they are complete. The rest is left to
/// requests and to complete answers, so that other services go on when targets send without end.
const RECEIVING_SHARE: Permille = Permille::new(500);

/// Memory for incomplete answers however small the budget is: some large answers.
const RECEIVING_MIN: Bytes = Bytes::from_mib(4);

/// Counts the bytes of all bodies held by the process, and rejects requests beyond its limit.
///
/// Complete answers are counted but never rejected, because their requests have run. While they
/// exceed the limit, no further request is accepted. Answers that are being received may use half of
/// the budget; beyond that, the largest are broken off.
///
/// Without the limit, many callers that send large bodies at once could exhaust the VM's memory;
/// the process would be killed together with every request in flight.
#[derive(Debug, Clone)]
pub struct BodyBudget {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    limit_bytes: u64,
    held_bytes: AtomicU64,
    discard_permits: Arc<Semaphore>,
    receiving: Arc<ReceivingAnswers>,
}

impl BodyBudget {
    /// Creates an unused budget of `limit` bytes.
    pub fn new(limit: Bytes) -> Self {
        let receiving = Bytes::new(RECEIVING_SHARE.of(limit.value())).max(RECEIVING_MIN);
        let shared = Shared {
            limit_bytes: limit.value(),
            held_bytes: AtomicU64::new(0),
            discard_permits: Arc::new(Semaphore::new(DISCARDS_MAX)),
            receiving: ReceivingAnswers::new(receiving.value()),
        };
        Self { shared: Arc::new(shared) }
    }

    /// Returns the number of bytes held now.
    pub fn held(&self) -> Bytes {
        Bytes::new(self.shared.held_bytes.load(Ordering::Relaxed))
    }

    /// Returns whether no request is accepted now.
    pub fn is_full(&self) -> bool {
        self.shared.held_bytes.load(Ordering::Relaxed) >= self.shared.limit_bytes
    }

    /// Returns the semaphore that limits how many rejected bodies are discarded at the same time.
    pub(crate) fn discard_permits(&self) -> Arc<Semaphore> {
        Arc::clone(&self.shared.discard_permits)
    }

    /// Returns the maximum size of one answer.
    pub(crate) fn answer_max(&self) -> Bytes {
        Bytes::new(self.shared.receiving.limit_bytes())
    }

    /// Registers an answer that is being received and is expected to have at most this size.
    pub(crate) fn receive(&self, expected: Bytes) -> ReceivingAnswer {
        self.shared.receiving.start(expected.value())
    }

    /// Creates an empty permit, to be grown as a body arrives.
    pub fn permit(&self) -> BodyPermit {
        BodyPermit { shared: Arc::clone(&self.shared), size_bytes: 0 }
    }
}

/// A body's share of the [`BodyBudget`], which is released on drop.
#[derive(Debug)]
pub struct BodyPermit {
    shared: Arc<Shared>,
    size_bytes: u64,
}

impl BodyPermit {
    /// Reserves `size_bytes` more of the budget; returns `false` if less than that is left.
    #[must_use]
    pub fn grow(&mut self, size_bytes: u64) -> bool {
        let reserved = self.shared.held_bytes.fetch_update(
            Ordering::Relaxed,
            Ordering::Relaxed,
            |held_bytes| {
                let grown = held_bytes.checked_add(size_bytes)?;
                (grown <= self.shared.limit_bytes).then_some(grown)
            },
        );
        if reserved.is_err() {
            return false;
        }
        self.size_bytes += size_bytes;
        true
    }

    /// Counts `size_bytes` more, even beyond the limit.
    pub fn grow_unlimited(&mut self, size_bytes: u64) {
        self.shared.held_bytes.fetch_add(size_bytes, Ordering::Relaxed);
        self.size_bytes += size_bytes;
    }
}

impl Drop for BodyPermit {
    fn drop(&mut self) {
        self.shared.held_bytes.fetch_sub(self.size_bytes, Ordering::Relaxed);
    }
}
