//! The process-wide memory budget for request and answer bodies.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes as BodyBytes;
use shallotfork_types::{Bytes, Permille};
use tokio::sync::Notify;
use tokio::sync::futures::Notified;
use tokio::time::Instant;

use crate::incoming_bodies::IncomingBodies;
use crate::receiving_answers::{ReceivingAnswer, ReceivingAnswers};
use crate::served_connections::ServedConnections;

/// Share of the budget that answers may use together until they are complete. The rest is left to
/// requests and to complete answers, so that other services go on when targets send without end.
const RECEIVING_SHARE: Permille = Permille::new(500);

/// Memory for incomplete answers however small the budget is: some large answers.
const RECEIVING_MIN: Bytes = Bytes::from_mib(4);

/// Size from which a request's body counts as large.
const LARGE_BODY: Bytes = Bytes::from_kib(64);

/// Share of the budget beyond which no large body is accepted, so that callers with small ones are
/// served beside any number of large ones.
const LARGE_SHARE: Permille = Permille::new(750);

/// Longest wait for the memory of bodies and answers that give way.
pub(crate) const ROOM_WAIT: Duration = Duration::from_millis(200);

/// Counts the bytes of all bodies held by the process, and rejects requests beyond its limit.
///
/// Complete answers are counted but never rejected, because their requests have run. While they
/// exceed the limit, no further request is accepted. Answers that are being received may use half of
/// the budget; beyond that, the largest are broken off. Requests that are being received give way to
/// others when they make no progress.
///
/// Without the limit, many callers that send large bodies at once could exhaust the VM's memory;
/// the process would be killed together with every request in flight.
#[derive(Debug, Clone)]
pub struct BodyBudget {
    shared: Arc<Shared>,
    /// Connections whose answers use the budget.
    connections: ServedConnections,
}

#[derive(Debug)]
struct Shared {
    limit_bytes: u64,
    large_limit_bytes: u64,
    held_bytes: AtomicU64,
    /// Notified when a body has released its share.
    released: Notify,
    incoming: Arc<IncomingBodies>,
    receiving: Arc<ReceivingAnswers>,
}

impl BodyBudget {
    /// Creates an unused budget of `limit` bytes.
    pub fn new(limit: Bytes) -> Self {
        let receiving = Bytes::new(RECEIVING_SHARE.of(limit.value())).max(RECEIVING_MIN);
        let shared = Shared {
            limit_bytes: limit.value(),
            large_limit_bytes: LARGE_SHARE.of(limit.value()),
            held_bytes: AtomicU64::new(0),
            released: Notify::new(),
            incoming: Arc::default(),
            receiving: ReceivingAnswers::new(receiving.value()),
        };
        Self { shared: Arc::new(shared), connections: ServedConnections::default() }
    }

    /// Sets the connections whose callers give way if they do not take their answers.
    #[must_use]
    pub fn with_connections(mut self, connections: ServedConnections) -> Self {
        self.connections = connections;
        self
    }

    /// Returns the number of bytes held now.
    pub fn held(&self) -> Bytes {
        Bytes::new(self.shared.held_bytes.load(Ordering::Relaxed))
    }

    /// Returns whether no request is accepted now.
    pub fn is_full(&self) -> bool {
        self.shared.held_bytes.load(Ordering::Relaxed) >= self.shared.limit_bytes
    }

    /// Returns the maximum size of one answer.
    pub(crate) fn answer_max(&self) -> Bytes {
        Bytes::new(self.shared.receiving.limit_bytes())
    }

    /// Registers an answer that is being received and is expected to have at most this size.
    pub(crate) fn receive(&self, expected: Bytes) -> ReceivingAnswer {
        self.shared.receiving.start(expected.value())
    }

    /// Waits until a request can be accepted, which may need the memory of answers that their callers
    /// do not take; returns `false` if there is none.
    pub async fn wait_for_room(&self) -> bool {
        let deadline = Instant::now() + ROOM_WAIT;
        loop {
            let mut released = std::pin::pin!(self.released());
            released.as_mut().enable();
            if !self.is_full() {
                return true;
            }
            if !self.connections.evict_held_up()
                || tokio::time::timeout_at(deadline, released).await.is_err()
            {
                return false;
            }
        }
    }

    /// Asks bodies and answers that make no progress to give way until `needed_bytes` are about to be
    /// released; returns `false` if none does.
    pub(crate) fn make_room(&self, needed_bytes: u64) -> bool {
        self.shared.incoming.make_room(needed_bytes) || self.connections.evict_held_up()
    }

    /// Returns the request bodies that are being received.
    pub(crate) fn incoming(&self) -> &Arc<IncomingBodies> {
        &self.shared.incoming
    }

    /// Waits until a body has released its share.
    pub(crate) fn released(&self) -> Notified<'_> {
        self.shared.released.notified()
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
    /// Reserves `size_bytes` more of the budget for a request.
    ///
    /// # Errors
    /// The number of bytes that have to be released first, if less than that is left.
    pub(crate) fn grow(&mut self, size_bytes: u64) -> Result<(), u64> {
        let shared = &self.shared;
        let is_large = self.size_bytes.saturating_add(size_bytes) > LARGE_BODY.value();
        let limit_bytes = if is_large { shared.large_limit_bytes } else { shared.limit_bytes };
        let fits = |held_bytes: u64, grown: u64| {
            // A single body may use all of the budget.
            let is_alone = held_bytes == self.size_bytes;
            grown <= limit_bytes || is_alone && grown <= shared.limit_bytes
        };
        let reserved =
            shared.held_bytes.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |held_bytes| {
                let grown = held_bytes.checked_add(size_bytes)?;
                fits(held_bytes, grown).then_some(grown)
            });
        reserved.map_err(|held_bytes| held_bytes.saturating_add(size_bytes) - limit_bytes)?;
        self.size_bytes += size_bytes;
        Ok(())
    }

    /// Returns the size of the share.
    pub(crate) fn size_bytes(&self) -> u64 {
        self.size_bytes
    }

    /// Releases what exceeds `size_bytes`.
    pub(crate) fn shrink_to(&mut self, size_bytes: u64) {
        let excess_bytes = self.size_bytes.saturating_sub(size_bytes);
        self.size_bytes -= excess_bytes;
        self.shared.held_bytes.fetch_sub(excess_bytes, Ordering::Relaxed);
    }

    /// Returns bytes that hold the share until their last clone or part is dropped.
    pub(crate) fn attach_to(self, bytes: BodyBytes) -> BodyBytes {
        if bytes.is_empty() {
            return bytes;
        }
        BodyBytes::from_owner(BudgetedBytes { bytes, _permit: self })
    }

    /// Counts `size_bytes` more, even beyond the limit.
    pub(crate) fn grow_unlimited(&mut self, size_bytes: u64) {
        self.shared.held_bytes.fetch_add(size_bytes, Ordering::Relaxed);
        self.size_bytes += size_bytes;
    }
}

impl Drop for BodyPermit {
    fn drop(&mut self) {
        self.shared.held_bytes.fetch_sub(self.size_bytes, Ordering::Relaxed);
        self.shared.released.notify_waiters();
    }
}

struct BudgetedBytes {
    bytes: BodyBytes,
    _permit: BodyPermit,
}

impl AsRef<[u8]> for BudgetedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
