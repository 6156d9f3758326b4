//! The slots of one service, shared by the traffic threads.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use shallotfork_balance::{
    Admission, Assignment, AttemptId, Resolution, ResolvedTicket, RetryAllowance, RetryWindow,
    Shed, SlotOutcome, SlotPool, SlotPoolConfig, SlotRequest, SlotSummary, SlotTarget, StateChange,
    TargetLoad, TargetStateChange, Ticket, WorkClass,
};
use shallotfork_events::slog::Logger;
use shallotfork_events::{TARGET_COLD, TARGET_EJECTED, TARGET_RETURNED, event};
use shallotfork_timer::Clock;
use shallotfork_types::{
    FailureDomain, Mono, Permille, RequestRate, ServiceName, TargetId, Warmup,
};
use tokio::sync::{Notify, oneshot};

use crate::context::lock;

/// A service without a request for this long needs no probes.
const IDLE_AFTER: Duration = Duration::from_secs(1);

type Place = Result<Assigned, Shed>;

/// Wraps the pure pool in a lock and wakes the requests that wait in it.
#[derive(Debug)]
pub struct ServiceSlots {
    name: ServiceName,
    clock: Clock,
    log: Logger,
    /// Signalled when a request begins to wait.
    waits: Arc<Notify>,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    pool: SlotPool,
    repeats: RetryWindow,
    waiting: HashMap<Ticket, oneshot::Sender<Place>>,
    asked_at: Option<Mono>,
}

/// Leave to send one attempt; gives the slot back when dropped.
///
/// A caller that hangs up drops its request anywhere; without the drop the slot would count as
/// taken for ever.
#[derive(Debug)]
pub struct Assigned {
    slots: Arc<ServiceSlots>,
    assignment: Assignment,
    ended: bool,
}

impl Assigned {
    /// Where to send the attempt.
    pub fn target(&self) -> &TargetId {
        &self.assignment.target
    }

    /// Whether another slot, or a later one, is better now.
    pub fn is_unfit(&self, ask: &SlotRequest) -> bool {
        let now = self.slots.clock.now();
        self.slots.lock().pool.is_unfit(&self.assignment, ask, now)
    }

    /// Says that the attempt leaves for its target now. Returns whether the target is cold.
    pub fn sending(&self) -> bool {
        let now = self.slots.clock.now();
        self.slots.lock().pool.mark_sent(self.assignment.attempt, now)
    }

    /// Reports how the attempt ended, with the load that the target reported in its answer.
    pub fn finish(mut self, outcome: SlotOutcome, figures: Option<TargetLoad>) {
        self.ended = true;
        self.slots.finish(self.assignment.attempt, outcome, figures);
    }
}

impl Drop for Assigned {
    fn drop(&mut self) {
        if !self.ended {
            self.slots.finish(self.assignment.attempt, SlotOutcome::Cancelled, None);
        }
    }
}

/// Takes a request out of the queue when its caller hangs up.
struct Waiting<'a> {
    slots: &'a ServiceSlots,
    ticket: Ticket,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let mut inner = self.slots.lock();
        if inner.waiting.remove(&self.ticket).is_some() {
            inner.pool.cancel(self.ticket);
        }
    }
}

impl ServiceSlots {
    /// A service without targets.
    pub fn new(
        name: ServiceName,
        config: SlotPoolConfig,
        retry_window: Duration,
        clock: Clock,
        log: Logger,
        waits: Arc<Notify>,
    ) -> Arc<Self> {
        let inner = Inner {
            pool: SlotPool::new(config),
            repeats: RetryWindow::new(retry_window),
            waiting: HashMap::new(),
            asked_at: None,
        };
        Arc::new(Self { name, clock, log, waits, inner: Mutex::new(inner) })
    }

    /// Counts a request of a caller, for the limit on repeated sends.
    pub fn count_request(&self) {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.repeats.record_request(now);
        inner.asked_at = Some(now);
    }

    /// Takes leave to send a request once more.
    pub fn try_repeat(&self, allowance: RetryAllowance) -> bool {
        let now = self.clock.now();
        self.lock().repeats.try_acquire(allowance, now)
    }

    /// A slot for a request; waits for it when needed.
    ///
    /// # Errors
    /// The refusal, with the time after which the caller may come back.
    pub async fn admit(self: &Arc<Self>, ask: SlotRequest) -> Place {
        let now = self.clock.now();
        let (admission, receiver) = self.lock().place(ask, now);
        match (admission, receiver) {
            (Admission::Send(assignment), _) => Ok(self.assigned(assignment)),
            (Admission::Shed(shed), _) => Err(shed),
            (Admission::Queued(ticket), receiver) => {
                let _waiting = Waiting { slots: self, ticket };
                self.waits.notify_one();
                let place = receiver.expect("a queued request has a receiver").await;
                place.expect("every ticket is resolved before its sender is dropped")
            }
        }
    }

    /// What to tell a caller whose request reached targets but ran at none of them.
    pub fn shed(&self) -> Shed {
        let now = self.clock.now();
        self.lock().pool.shed_no_target(now)
    }

    /// A slot at a second target for a request in flight, if one is free and nobody waits.
    pub fn spare(self: &Arc<Self>, ask: &SlotRequest) -> Option<Assigned> {
        let now = self.clock.now();
        let assignment = self.lock().pool.assign_hedge(ask, now)?;
        Some(self.assigned(assignment))
    }

    /// Sets the names of the entries that send requests to the targets, and the part of what cold
    /// targets bear that these may use.
    pub fn set_sharers(&self, sharers: Vec<String>, part: Permille) {
        let now = self.clock.now();
        self.lock().pool.set_sharers(sharers, part, now);
    }

    /// Sets what the targets bear while they are cold.
    pub fn set_warmup(&self, warmup: Option<Warmup>) {
        let now = self.clock.now();
        self.lock().pool.set_warmup(warmup, now);
    }

    /// Takes a target's own word on how much longer it is cold.
    pub fn told_cold_for(&self, target: &TargetId, cold_for: Duration) {
        let now = self.clock.now();
        if self.lock().pool.record_cold_report(target, cold_for, now) {
            event!(self.log, TARGET_COLD, "service" => self.name.as_str(),
                "target" => target.as_str(),
                "cold_ms" => u64::try_from(cold_for.as_millis()).unwrap_or(u64::MAX));
        }
    }

    /// Sets the rate limit of a target, which applies to all entries together; `None` removes it.
    pub fn set_rate_limit(&self, target: &TargetId, limit: Option<RequestRate>) {
        let now = self.clock.now();
        self.lock().pool.set_rate_limit(target, limit, now);
    }

    /// Takes the published targets.
    pub fn set_targets(self: &Arc<Self>, targets: Vec<SlotTarget>) {
        let now = self.clock.now();
        let woken = self.lock().pool.set_targets(targets, now);
        self.deliver(woken);
    }

    /// Forgets what is known of a target that has started again.
    pub fn reset_target(&self, target: &TargetId) {
        let now = self.clock.now();
        self.lock().pool.reset_target(target, now);
    }

    /// Takes a target's account of its load that came with a probe's answer.
    pub fn report(self: &Arc<Self>, target: &TargetId, figures: TargetLoad) {
        let now = self.clock.now();
        let woken = self.lock().pool.record_load(target, figures, now);
        self.deliver(woken);
    }

    /// Whether a target should be asked for its pace before a request is sent to it.
    pub fn wants_check(&self, target: &TargetId) -> bool {
        let now = self.clock.now();
        self.lock().pool.needs_probe(target, now)
    }

    /// A target answered without telling its load.
    pub fn untold(&self) {
        self.lock().pool.record_missing_load();
    }

    /// A target has answered soon when it was asked for its load.
    pub fn answered_soon(&self) {
        self.lock().pool.record_prompt_probe();
    }

    /// What to tell a caller whose request found only targets that are full; `None` if it can't be told
    /// whether they are.
    pub fn shed_full(&self) -> Option<Shed> {
        let now = self.clock.now();
        self.lock().pool.shed_full(now)
    }

    /// A target has not answered soon when it was asked for its load.
    pub fn unanswered(&self, target: &TargetId) {
        self.lock().pool.record_unanswered_probe(target);
    }

    /// A target has answered a question about its load without telling it.
    pub fn probe_answered(&self, target: &TargetId) {
        self.lock().pool.record_probe_without_load(target);
    }

    /// A target could not be asked for its load, or has not answered at all; this process noticed too
    /// late by `late_by`.
    pub fn probe_failed(&self, target: &TargetId, late_by: Duration) {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.pool.record_failed_probe(target, late_by, now);
        let beliefs = inner.pool.take_state_changes();
        drop(inner);
        self.report_beliefs(&beliefs);
    }

    /// Targets to probe now; none while the service is not used.
    pub fn due_probes(&self) -> Vec<TargetId> {
        let now = self.clock.now();
        let mut inner = self.lock();
        let used = inner.asked_at.is_some_and(|at| now.since(at) < IDLE_AFTER);
        if used { inner.pool.due_probes(now) } else { Vec::new() }
    }

    /// Usual time of a class of requests.
    pub fn usual_time(&self, class: &WorkClass) -> Duration {
        self.lock().pool.usual_time(class)
    }

    /// Attempts in flight at targets of one failure domain.
    pub fn running_in(&self, failure_domain: &FailureDomain) -> usize {
        self.lock().pool.running_in(failure_domain)
    }

    /// What the slots look like now.
    pub fn summary(&self) -> SlotSummary {
        let now = self.clock.now();
        self.lock().pool.summary(now)
    }

    /// Whether any request waits for a slot.
    pub fn has_waiting(&self) -> bool {
        !self.lock().waiting.is_empty()
    }

    /// Ends those who have waited long enough. To be called at short intervals: were each waiting
    /// request to look after the queue, all of them would wake up for each one's end.
    pub fn expire(self: &Arc<Self>) {
        let now = self.clock.now();
        let mut inner = self.lock();
        if inner.waiting.is_empty() {
            return;
        }
        let woken = inner.pool.expire(now);
        drop(inner);
        self.deliver(woken);
    }

    fn assigned(self: &Arc<Self>, assignment: Assignment) -> Assigned {
        Assigned { slots: Arc::clone(self), assignment, ended: false }
    }

    fn finish(
        self: &Arc<Self>,
        attempt: AttemptId,
        outcome: SlotOutcome,
        figures: Option<TargetLoad>,
    ) {
        let now = self.clock.now();
        let mut inner = self.lock();
        let woken = inner.pool.finish(attempt, outcome, figures, now);
        let beliefs = inner.pool.take_state_changes();
        drop(inner);
        self.report_beliefs(&beliefs);
        self.deliver(woken);
    }

    fn report_beliefs(&self, beliefs: &[TargetStateChange]) {
        for TargetStateChange { target, change } in beliefs {
            let (service, target) = (self.name.as_str(), target.as_str());
            match change {
                StateChange::Ejected { failures, pause } => {
                    let pause_ms = u64::try_from(pause.as_millis()).unwrap_or(u64::MAX);
                    event!(self.log, TARGET_EJECTED, "service" => service, "target" => target,
                        "failures" => *failures, "pause_ms" => pause_ms);
                }
                StateChange::Returned => {
                    event!(self.log, TARGET_RETURNED, "service" => service, "target" => target);
                }
            }
        }
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
        lock(&self.inner)
    }
}

impl Inner {
    /// Asks the pool and, for a queued request, makes the channel that wakes it, in one step: the
    /// ticket could be woken as soon as the lock is released.
    fn place(
        &mut self,
        ask: SlotRequest,
        now: Mono,
    ) -> (Admission, Option<oneshot::Receiver<Place>>) {
        let admission = self.pool.admit(ask, now);
        let Admission::Queued(ticket) = admission else {
            return (admission, None);
        };
        let (sender, receiver) = oneshot::channel();
        self.waiting.insert(ticket, sender);
        (admission, Some(receiver))
    }
}
