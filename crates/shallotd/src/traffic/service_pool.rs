//! Pool of one service, shared by the traffic threads.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use shallotfork_balance::{
    Admission, Assignment, AttemptId, AttemptOutcome, Pool, PoolConfig, PoolCounts, PoolRequest,
    PoolTarget, Resolution, ResolvedTicket, Shed, TargetStatus, Ticket,
};
use shallotfork_measure::LoadReport;
use shallotfork_timer::Clock;
use shallotfork_types::{Mono, Permille, TargetId};
use tokio::sync::oneshot;

/// Minimum delay between two checks of the queue's deadlines.
const MIN_EXPIRY_DELAY: Duration = Duration::from_millis(1);

type AdmissionResult = Result<AssignedAttempt, Shed>;

struct Inner {
    pool: Pool,
    waiting: HashMap<Ticket, oneshot::Sender<AdmissionResult>>,
}

/// Wraps a pool in a lock and notifies the requests queued in it.
pub struct ServicePool {
    clock: Clock,
    /// Whether an attempt has ended since the last call of `take_attempt_ended`.
    attempt_ended: AtomicBool,
    inner: Mutex<Inner>,
}

/// Permit to send one attempt; releases the slot when dropped.
///
/// A request whose caller disconnects is dropped at any point of its processing; without the
/// release the target's slot would count as used forever.
pub struct AssignedAttempt {
    pool: Arc<ServicePool>,
    assignment: Assignment,
    is_finished: bool,
}

impl AssignedAttempt {
    /// Returns the target that the attempt is sent to.
    pub fn target(&self) -> &TargetId {
        &self.assignment.target
    }

    /// Returns the identifier of the attempt within the pool.
    pub fn attempt(&self) -> AttemptId {
        self.assignment.attempt
    }

    /// Reports the outcome of the attempt, with the load that the target reported in its answer.
    pub fn finish(mut self, outcome: AttemptOutcome, report: Option<LoadReport>) {
        self.is_finished = true;
        self.pool.finish(&self.assignment, outcome, report);
    }
}

impl Drop for AssignedAttempt {
    fn drop(&mut self) {
        if !self.is_finished {
            self.pool.finish(&self.assignment, AttemptOutcome::Cancelled, None);
        }
    }
}

/// Guard that removes a request from the queue when its caller disconnects.
struct QueueGuard<'a> {
    pool: &'a ServicePool,
    ticket: Ticket,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        let mut inner = self.pool.lock();
        if inner.waiting.remove(&self.ticket).is_some() {
            inner.pool.cancel(self.ticket);
        }
    }
}

impl ServicePool {
    /// Creates a pool without targets.
    pub fn new(config: PoolConfig, seed: u64, clock: Clock) -> Arc<Self> {
        let inner = Inner { pool: Pool::new(config, seed), waiting: HashMap::new() };
        Arc::new(Self { clock, attempt_ended: AtomicBool::new(false), inner: Mutex::new(inner) })
    }

    /// Admits a request that was not sent before; waits in the queue if necessary.
    ///
    /// # Errors
    /// Returns the rejection, with the time after which the caller may retry.
    pub async fn admit(self: &Arc<Self>, request: PoolRequest) -> AdmissionResult {
        let now = self.clock.now();
        let (admission, receiver) = self.lock().admit_or_enqueue(|pool| pool.admit(request, now));
        self.await_admission(admission, receiver).await
    }

    /// Admits a request whose attempt failed and may be sent again.
    ///
    /// # Errors
    /// Fails in the same cases as `admit`, and if the retry budget is used up.
    pub async fn retry(self: &Arc<Self>, request: PoolRequest) -> AdmissionResult {
        let now = self.clock.now();
        let (admission, receiver) = self.lock().admit_or_enqueue(|pool| pool.retry(request, now));
        self.await_admission(admission, receiver).await
    }

    /// Assigns a hedge to a request in flight, if the hedge budget allows one now.
    pub fn assign_hedge(
        self: &Arc<Self>,
        first: AttemptId,
        request: PoolRequest,
    ) -> Option<AssignedAttempt> {
        let now = self.clock.now();
        let assignment = self.lock().pool.hedge(first, request, now)?;
        Some(self.assign(assignment))
    }

    /// Replaces the targets by the published ones.
    pub fn set_targets(self: &Arc<Self>, targets: &[PoolTarget]) {
        let now = self.clock.now();
        let resolved = self.lock().pool.set_targets(targets, now);
        self.notify_resolved(resolved);
    }

    /// Rejects the requests that were queued for too long.
    fn expire(self: &Arc<Self>) {
        let now = self.clock.now();
        let mut inner = self.lock();
        if inner.pool.next_expiry().is_none_or(|expires_at| expires_at > now) {
            return;
        }
        let resolved = inner.pool.expire(now);
        drop(inner);
        self.notify_resolved(resolved);
    }

    /// Records the load that a target reported in the answer to a probe.
    pub fn record_load(&self, target: &TargetId, report: LoadReport) {
        let now = self.clock.now();
        self.lock().pool.report(target, report, now);
    }

    /// Returns the share of the service's slots in use; `None` if unknown.
    pub fn load(&self) -> Option<Permille> {
        let now = self.clock.now();
        self.lock().pool.load(now)
    }

    /// Returns the delay after which a hedge of an idempotent request is worthwhile.
    pub fn hedge_delay(&self) -> Option<Duration> {
        self.lock().pool.hedge_delay()
    }

    /// Returns whether an attempt has ended since the last call, so that the state of a target may
    /// have changed.
    pub fn take_attempt_ended(&self) -> bool {
        self.attempt_ended.swap(false, Ordering::Relaxed)
    }

    /// Returns the counts of requests and attempts so far.
    pub fn counts(&self) -> PoolCounts {
        self.lock().pool.counts()
    }

    /// Returns the state of each target.
    pub fn status(&self) -> Vec<TargetStatus> {
        let now = self.clock.now();
        self.lock().pool.status(now)
    }

    async fn await_admission(
        self: &Arc<Self>,
        admission: Admission,
        receiver: Option<oneshot::Receiver<AdmissionResult>>,
    ) -> AdmissionResult {
        match (admission, receiver) {
            (Admission::Send(assignment), _) => Ok(self.assign(assignment)),
            (Admission::Shed(shed), _) => Err(shed),
            (Admission::Queued(ticket), receiver) => {
                let _queue_guard = QueueGuard { pool: self, ticket };
                self.wait_in_queue(receiver.expect("a queued request has a receiver")).await
            }
        }
    }

    /// Waits in the queue for admission. Each queued request checks the queue's deadlines itself,
    /// so that a process without queued requests does no work for this.
    async fn wait_in_queue(
        self: &Arc<Self>,
        mut receiver: oneshot::Receiver<AdmissionResult>,
    ) -> AdmissionResult {
        loop {
            self.expire();
            let expires_at = self.lock().pool.next_expiry();
            tokio::select! {
                result = &mut receiver => {
                    return result.expect("every ticket is resolved before its sender is dropped");
                }
                () = self.sleep_until(expires_at) => {}
            }
        }
    }

    async fn sleep_until(&self, expires_at: Option<Mono>) {
        match expires_at {
            Some(expires_at) => {
                let delay = expires_at.since(self.clock.now()).max(MIN_EXPIRY_DELAY);
                tokio::time::sleep(delay).await;
            }
            None => std::future::pending().await,
        }
    }

    fn assign(self: &Arc<Self>, assignment: Assignment) -> AssignedAttempt {
        AssignedAttempt { pool: Arc::clone(self), assignment, is_finished: false }
    }

    fn finish(
        self: &Arc<Self>,
        assignment: &Assignment,
        outcome: AttemptOutcome,
        report: Option<LoadReport>,
    ) {
        self.attempt_ended.store(true, Ordering::Relaxed);
        let now = self.clock.now();
        let mut inner = self.lock();
        let resolved = inner.pool.finish(assignment.attempt, outcome, report, now);
        drop(inner);
        self.notify_resolved(resolved);
    }

    /// Notifies queued requests with the lock released: if a receiver is gone, the assigned attempt
    /// is dropped, which takes the lock again.
    fn notify_resolved(self: &Arc<Self>, resolved: Vec<ResolvedTicket>) {
        for ResolvedTicket { ticket, resolution } in resolved {
            let result = match resolution {
                Resolution::Send(assignment) => Ok(self.assign(assignment)),
                Resolution::Shed(shed) => Err(shed),
            };
            let sender = self.lock().waiting.remove(&ticket);
            if let Some(sender) = sender {
                let _disconnected = sender.send(result);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Admits a request and, if it is queued, creates its notification channel in the same step:
    /// the ticket may be resolved as soon as the lock is released.
    fn admit_or_enqueue(
        &mut self,
        admit: impl FnOnce(&mut Pool) -> Admission,
    ) -> (Admission, Option<oneshot::Receiver<AdmissionResult>>) {
        let admission = admit(&mut self.pool);
        let Admission::Queued(ticket) = admission else {
            return (admission, None);
        };
        let (sender, receiver) = oneshot::channel();
        self.waiting.insert(ticket, sender);
        (admission, Some(receiver))
    }
}
