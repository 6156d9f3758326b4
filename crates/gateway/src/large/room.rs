//! Room for large answers, shared by the traffic threads.

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use shallotfork_routes::RouteName;
use shallotfork_timer::Clock;
use shallotfork_transfer::{
    AnswerRoom, AnswerSizes, PacerConfig, ReservationId, ResolvedWait, RoomConfig, RoomDecision,
    RoomRequest, RoomResolution, RoomSummary, RoomTicket, SizeEstimate,
};
use shallotfork_types::{Bytes, BytesPerSecond, Mono};
use tokio::sync::oneshot;

use crate::context::lock;
use crate::large::{LinkPacing, RoomGuard};

/// Room that was granted, or the time after which the caller of a refused request may retry.
type RoomResult = Result<RoomGuard, Duration>;

/// Sizes, room and pace of the large answers of this process.
#[derive(Debug)]
pub struct LargeAnswers {
    clock: Clock,
    config: RoomConfig,
    inner: Mutex<Inner>,
    /// Number of reservations; readable without the lock.
    reservations: AtomicUsize,
    pacing: LinkPacing,
}

#[derive(Debug)]
struct Inner {
    sizes: AnswerSizes,
    room: AnswerRoom,
    waiting: HashMap<RoomTicket, oneshot::Sender<RoomResult>>,
    refused_count: u64,
}

/// Decision about room for one request.
#[derive(Debug)]
pub enum RoomAdmission {
    /// The room is reserved.
    Granted(RoomGuard),
    /// The request has to wait.
    Wait(PendingRoom),
    /// The request must not be sent.
    Rejected {
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

/// A request that waits for room. Dropping it withdraws the request.
#[derive(Debug)]
pub struct PendingRoom {
    large_answers: Arc<LargeAnswers>,
    ticket: RoomTicket,
    give_up_at: Mono,
    receiver: oneshot::Receiver<RoomResult>,
}

impl PendingRoom {
    /// Waits until there is room.
    ///
    /// # Errors
    /// Returns the time after which the caller may retry if the transfer can't end in time.
    pub async fn wait(mut self) -> RoomResult {
        let left = self.give_up_at.since(self.large_answers.clock.now());
        tokio::select! {
            result = &mut self.receiver => {
                return result.unwrap_or(Err(self.large_answers.config.retry_after_min));
            }
            () = tokio::time::sleep(left) => {}
        }
        self.large_answers.expire();
        self.receiver.try_recv().unwrap_or(Err(self.large_answers.config.retry_after_min))
    }
}

impl Drop for PendingRoom {
    fn drop(&mut self) {
        self.large_answers.cancel(self.ticket);
    }
}

impl LargeAnswers {
    /// Creates the room of an entry with this memory for bodies and this link.
    pub fn new(body_budget: Bytes, link: BytesPerSecond, clock: Clock) -> Arc<Self> {
        let config = RoomConfig::new(body_budget, link);
        let inner = Inner {
            sizes: AnswerSizes::new(),
            room: AnswerRoom::new(config),
            waiting: HashMap::new(),
            refused_count: 0,
        };
        Arc::new(Self {
            clock,
            config,
            inner: Mutex::new(inner),
            reservations: AtomicUsize::new(0),
            pacing: LinkPacing::new(PacerConfig::new(link), clock),
        })
    }

    /// Returns the pacing of the link.
    pub fn pacing(&self) -> &LinkPacing {
        &self.pacing
    }

    /// Counts the bytes of a request to a target, which share the link with answers to callers.
    pub fn record_request(&self, size_bytes: u64) {
        if self.is_active() {
            self.pacing.record_ordinary(Bytes::new(size_bytes));
        }
    }

    /// Whether room is reserved for any large answer. Otherwise nothing needs to be paced.
    pub fn is_active(&self) -> bool {
        self.reservations.load(Ordering::Relaxed) > 0
    }

    /// Requests room for the answer to a request that would be sent now.
    pub fn request(self: &Arc<Self>, request: RoomRequest) -> RoomAdmission {
        let now = self.clock.now();
        let mut inner = lock(&self.inner);
        match inner.room.request(request, now) {
            RoomDecision::Granted(id) => RoomAdmission::Granted(self.guard(id)),
            RoomDecision::Rejected { retry_after } => {
                inner.refused_count += 1;
                RoomAdmission::Rejected { retry_after }
            }
            RoomDecision::Wait { ticket, give_up_at, .. } => {
                let (sender, receiver) = oneshot::channel();
                inner.waiting.insert(ticket, sender);
                let large_answers = Arc::clone(self);
                RoomAdmission::Wait(PendingRoom { large_answers, ticket, give_up_at, receiver })
            }
        }
    }

    /// Reserves room for a second answer to the same request if that needs no waiting.
    pub fn try_reserve(self: &Arc<Self>, request: &RoomRequest) -> Option<RoomGuard> {
        let now = self.clock.now();
        lock(&self.inner).room.try_reserve(request, now).map(|id| self.guard(id))
    }

    /// Sets when all transfers have to have ended, because the process stops. Requests whose answer
    /// can't be written until then are rejected from now on.
    pub fn end_by(self: &Arc<Self>, end: Mono) {
        self.update(|room, now| room.end_by(end, now));
    }

    /// Returns the expected size of a route's next answer.
    pub fn estimate(&self, route: &RouteName) -> SizeEstimate {
        lock(&self.inner).sizes.estimate(route, self.clock.now())
    }

    /// Returns the time in which the link carries `size` if it carries nothing else.
    pub fn link_time(&self, size: Bytes) -> Duration {
        self.config.link.time_for(size)
    }

    /// Returns the part of the memory for bodies that large answers may use.
    pub fn memory_max(&self) -> Bytes {
        self.config.memory_max
    }

    /// Records the size of a route's answer.
    pub fn record_size(&self, route: &RouteName, size: Bytes) {
        lock(&self.inner).sizes.record(route, size, self.clock.now());
    }

    /// Returns a summary of the room and the number of requests refused so far.
    pub fn summary(&self) -> (RoomSummary, u64) {
        let inner = lock(&self.inner);
        (inner.room.summary(), inner.refused_count)
    }

    /// Changes the state of the room and resolves the requests that this concerns.
    pub(super) fn update(
        self: &Arc<Self>,
        change: impl FnOnce(&mut AnswerRoom, Mono) -> Vec<ResolvedWait>,
    ) {
        let now = self.clock.now();
        let mut inner = lock(&self.inner);
        let resolved = change(&mut inner.room, now);
        let mut results = Vec::new();
        for ResolvedWait { ticket, resolution } in resolved {
            let result = match resolution {
                RoomResolution::Granted(id) => Ok(self.guard(id)),
                RoomResolution::Rejected { retry_after } => {
                    inner.refused_count += 1;
                    Err(retry_after)
                }
            };
            results.push((inner.waiting.remove(&ticket), result));
        }
        // If a receiver is gone its guard is dropped, which takes the lock again.
        drop(inner);
        for (sender, result) in results {
            if let Some(sender) = sender {
                let _receiver_gone = sender.send(result);
            }
        }
    }

    /// Releases a reservation.
    pub(super) fn release(self: &Arc<Self>, id: ReservationId) {
        self.reservations.fetch_sub(1, Ordering::Relaxed);
        self.update(|room, now| room.release(id, now));
    }

    fn expire(self: &Arc<Self>) {
        self.update(AnswerRoom::expire);
    }

    fn cancel(self: &Arc<Self>, ticket: RoomTicket) {
        let is_waiting = lock(&self.inner).waiting.remove(&ticket).is_some();
        if is_waiting {
            self.update(|room, now| room.cancel(ticket, now));
        }
    }

    fn guard(self: &Arc<Self>, id: ReservationId) -> RoomGuard {
        self.reservations.fetch_add(1, Ordering::Relaxed);
        RoomGuard::new(Arc::clone(self), id)
    }
}
