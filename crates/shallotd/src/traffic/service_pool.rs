//! The pool of one service, shared by the traffic threads.

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

/// Shortest wait between two looks at the queue's deadlines.
const EXPIRY_STEP: Duration = Duration::from_millis(1);

type Place = Result<Assigned, Shed>;

struct Inner {
    pool: Pool,
    waiting: HashMap<Ticket, oneshot::Sender<Place>>,
}

/// Wraps the pure pool in a lock and wakes the requests that wait in it.
pub struct ServicePool {
    clock: Clock,
    /// Whether an attempt ended since `take_attempt_ended`.
    touched: AtomicBool,
    inner: Mutex<Inner>,
}

/// Leave to send one attempt; gives the place back when dropped.
///
/// A caller that hangs up drops its request anywhere; without the drop the target's slot would
/// count as taken for ever.
pub struct Assigned {
    pool: Arc<ServicePool>,
    assignment: Assignment,
    ended: bool,
}

impl Assigned {
    /// Where to send the attempt.
    pub fn target(&self) -> &TargetId {
        &self.assignment.target
    }

    /// The attempt's name within the pool.
    pub fn attempt(&self) -> AttemptId {
        self.assignment.attempt
    }

    /// Reports how the attempt ended, with the load that the target reported in its answer.
    pub fn finish(mut self, outcome: AttemptOutcome, report: Option<LoadReport>) {
        self.ended = true;
        self.pool.finish(&self.assignment, outcome, report);
    }
}

impl Drop for Assigned {
    fn drop(&mut self) {
        if !self.ended {
            self.pool.finish(&self.assignment, AttemptOutcome::Cancelled, None);
        }
    }
}

/// Takes a request out of the queue when its caller hangs up.
struct Waiting<'a> {
    pool: &'a ServicePool,
    ticket: Ticket,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let mut inner = self.pool.lock();
        if inner.waiting.remove(&self.ticket).is_some() {
            inner.pool.cancel(self.ticket);
        }
    }
}

impl ServicePool {
    /// A pool without targets.
    pub fn new(config: PoolConfig, seed: u64, clock: Clock) -> Arc<Self> {
        let inner = Inner { pool: Pool::new(config, seed), waiting: HashMap::new() };
        Arc::new(Self { clock, touched: AtomicBool::new(false), inner: Mutex::new(inner) })
    }

    /// A place for a request that was not sent before; waits in the queue when needed.
    ///
    /// # Errors
    /// The refusal, with the time after which the caller may come back.
    pub async fn admit(self: &Arc<Self>, ask: PoolRequest) -> Place {
        let now = self.clock.now();
        let (admission, receiver) = self.lock().place(|pool| pool.admit(ask, now));
        self.settle(admission, receiver).await
    }

    /// A place for a request whose attempt failed and may be sent again.
    ///
    /// # Errors
    /// As for `admit`, also when the retry budget is used up.
    pub async fn retry(self: &Arc<Self>, ask: PoolRequest) -> Place {
        let now = self.clock.now();
        let (admission, receiver) = self.lock().place(|pool| pool.retry(ask, now));
        self.settle(admission, receiver).await
    }

    /// A second target for a request in flight, if the hedge budget allows one now.
    pub fn hedge(self: &Arc<Self>, first: AttemptId, ask: PoolRequest) -> Option<Assigned> {
        let now = self.clock.now();
        let assignment = self.lock().pool.hedge(first, ask, now)?;
        Some(self.assigned(assignment))
    }

    /// Takes the published targets.
    pub fn set_targets(self: &Arc<Self>, targets: &[PoolTarget]) {
        let now = self.clock.now();
        let woken = self.lock().pool.set_targets(targets, now);
        self.deliver(woken);
    }

    /// Ends the requests that have waited too long.
    fn expire(self: &Arc<Self>) {
        let now = self.clock.now();
        let mut inner = self.lock();
        if inner.pool.next_expiry().is_none_or(|due| due > now) {
            return;
        }
        let woken = inner.pool.expire(now);
        drop(inner);
        self.deliver(woken);
    }

    /// Takes a target's account of its load that came with a probe's answer.
    pub fn record_load(&self, target: &TargetId, report: LoadReport) {
        let now = self.clock.now();
        self.lock().pool.report(target, report, now);
    }

    /// Share of the service's slots in use; `None` when unknown.
    pub fn load(&self) -> Option<Permille> {
        let now = self.clock.now();
        self.lock().pool.load(now)
    }

    /// Usual time after which an idempotent request is worth a second attempt.
    pub fn hedge_delay(&self) -> Option<Duration> {
        self.lock().pool.hedge_delay()
    }

    /// Whether an attempt ended since the last call, so that there is news of a target.
    pub fn take_attempt_ended(&self) -> bool {
        self.touched.swap(false, Ordering::Relaxed)
    }

    /// What was asked for so far.
    pub fn counts(&self) -> PoolCounts {
        self.lock().pool.counts()
    }

    /// What is thought of each target.
    pub fn status(&self) -> Vec<TargetStatus> {
        let now = self.clock.now();
        self.lock().pool.status(now)
    }

    async fn settle(
        self: &Arc<Self>,
        admission: Admission,
        receiver: Option<oneshot::Receiver<Place>>,
    ) -> Place {
        match (admission, receiver) {
            (Admission::Send(assignment), _) => Ok(self.assigned(assignment)),
            (Admission::Shed(shed), _) => Err(shed),
            (Admission::Queued(ticket), receiver) => {
                let _waiting = Waiting { pool: self, ticket };
                self.wait(receiver.expect("a queued request has a receiver")).await
            }
        }
    }

    /// Waits for a place. Each waiting request looks after the queue's next deadline itself, so
    /// that a process without waiting requests does nothing at all.
    async fn wait(self: &Arc<Self>, mut receiver: oneshot::Receiver<Place>) -> Place {
        loop {
            self.expire();
            let due = self.lock().pool.next_expiry();
            tokio::select! {
                place = &mut receiver => {
                    return place.expect("every ticket is resolved before its sender is dropped");
                }
                () = self.until(due) => {}
            }
        }
    }

    async fn until(&self, due: Option<Mono>) {
        match due {
            Some(due) => {
                let wait = due.since(self.clock.now()).max(EXPIRY_STEP);
                tokio::time::sleep(wait).await;
            }
            None => std::future::pending().await,
        }
    }

    fn assigned(self: &Arc<Self>, assignment: Assignment) -> Assigned {
        Assigned { pool: Arc::clone(self), assignment, ended: false }
    }

    fn finish(
        self: &Arc<Self>,
        assignment: &Assignment,
        outcome: AttemptOutcome,
        report: Option<LoadReport>,
    ) {
        self.touched.store(true, Ordering::Relaxed);
        let now = self.clock.now();
        let mut inner = self.lock();
        let woken = inner.pool.finish(assignment.attempt, outcome, report, now);
        drop(inner);
        self.deliver(woken);
    }

    /// Hands out places with the lock released: a receiver that is gone drops its place, which
    /// takes the lock again.
    fn deliver(self: &Arc<Self>, woken: Vec<ResolvedTicket>) {
        for ResolvedTicket { ticket, resolution } in woken {
            let place = match resolution {
                Resolution::Send(assignment) => Ok(self.assigned(assignment)),
                Resolution::Shed(shed) => Err(shed),
            };
            let sender = self.lock().waiting.remove(&ticket);
            if let Some(sender) = sender {
                let _gone = sender.send(place);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Asks the pool and, for a queued request, makes the channel that wakes it, in one step: the
    /// ticket could be woken as soon as the lock is released.
    fn place(
        &mut self,
        ask: impl FnOnce(&mut Pool) -> Admission,
    ) -> (Admission, Option<oneshot::Receiver<Place>>) {
        let admission = ask(&mut self.pool);
        let Admission::Queued(ticket) = admission else {
            return (admission, None);
        };
        let (sender, receiver) = oneshot::channel();
        self.waiting.insert(ticket, sender);
        (admission, Some(receiver))
    }
}
