//! The slots of one service, shared by the traffic threads.

mod hedges;

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use shallotfork_balance::{
    Admission, Assignment, AttemptId, RepeatAllocation, Resolution, ResolvedTicket, Sharer, Shed,
    SlotOutcome, SlotPool, SlotPoolConfig, SlotRequest, SlotSummary, SlotTarget, TargetLoad,
    Ticket, WorkClass,
};
use shallotfork_events::slog::Logger;
use shallotfork_events::{TARGET_COLD, event};
use shallotfork_measure::DemandMeter;
use shallotfork_timer::Clock;
use shallotfork_types::{
    FailureDomain, Mono, PartsPerMillion, Permille, RequestRate, ServiceName, TargetId, Warmup,
};
use tokio::sync::{Notify, oneshot};

use crate::context::lock;

/// Time without a request after which the targets of a service are no longer probed.
const IDLE_AFTER: Duration = Duration::from_secs(1);

type SlotResult = Result<SlotGuard, Shed>;

/// Slot pool of a service behind a lock. Wakes the requests that wait for a slot.
#[derive(Debug)]
pub struct ServiceSlots {
    pub(super) name: ServiceName,
    pub(super) clock: Clock,
    pub(super) log: Logger,
    /// Notified when a request starts to wait.
    request_queued: Arc<Notify>,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
pub(super) struct Inner {
    pub(super) pool: SlotPool,
    pub(super) repeats: RepeatAllocation,
    /// Whether targets rejected requests at random when this was logged last.
    pub(super) logged_random_rejections: bool,
    /// Requests of callers at this entry.
    pub(super) demand: DemandMeter,
    /// Share of the slots that was logged last, and whether it was a share by demand.
    pub(super) logged_share: (bool, PartsPerMillion),
    waiting: HashMap<Ticket, oneshot::Sender<SlotResult>>,
    last_request_at: Option<Mono>,
}

/// Permit to send one attempt to a target; releases the slot when dropped.
///
/// A request may be dropped at any await point when its caller disconnects. Without the release on
/// drop, the slot would stay in use forever.
#[derive(Debug)]
pub struct SlotGuard {
    slots: Arc<ServiceSlots>,
    assignment: Assignment,
    is_finished: bool,
}

impl SlotGuard {
    /// Returns the target of the attempt.
    pub fn target(&self) -> &TargetId {
        &self.assignment.target
    }

    /// Whether another or a later slot would now be better for the request.
    pub fn is_unfit(&self, request: &SlotRequest) -> bool {
        let now = self.slots.clock.now();
        self.slots.lock().pool.is_unfit(&self.assignment, request, now)
    }

    /// Records that the attempt is sent now. Returns whether the target is cold.
    pub fn mark_sent(&self) -> bool {
        let now = self.slots.clock.now();
        self.slots.lock().pool.mark_sent(self.assignment.attempt, now)
    }

    /// Records the outcome of the attempt and the load that the target reported in its answer.
    pub fn finish(mut self, outcome: SlotOutcome, reported_load: Option<TargetLoad>) {
        self.is_finished = true;
        self.slots.finish(self.assignment.attempt, outcome, reported_load);
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        if !self.is_finished {
            self.slots.finish(self.assignment.attempt, SlotOutcome::Cancelled, None);
        }
    }
}

/// Removes a request from the queue when its caller disconnects.
struct QueueGuard<'a> {
    slots: &'a ServiceSlots,
    ticket: Ticket,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        let mut inner = self.slots.lock();
        if inner.waiting.remove(&self.ticket).is_some() {
            inner.pool.cancel(self.ticket);
        }
    }
}

impl ServiceSlots {
    /// Creates the slots of a service without targets.
    pub fn new(
        name: ServiceName,
        config: SlotPoolConfig,
        retry_window: Duration,
        clock: Clock,
        log: Logger,
        request_queued: Arc<Notify>,
    ) -> Arc<Self> {
        let inner = Inner {
            pool: SlotPool::new(config),
            repeats: RepeatAllocation::new(retry_window),
            logged_random_rejections: false,
            demand: DemandMeter::default(),
            logged_share: (false, PartsPerMillion::default()),
            waiting: HashMap::new(),
            last_request_at: None,
        };
        Arc::new(Self { name, clock, log, request_queued, inner: Mutex::new(inner) })
    }

    /// Records a request of a caller, which raises the limit on retries.
    pub fn record_request(&self) {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.repeats.record_request(now);
        inner.demand.record_request(now);
        inner.last_request_at = Some(now);
    }

    /// Acquires a slot for a request; waits until one is available.
    ///
    /// # Errors
    /// Returns the rejection, with the time after which the caller may try again.
    pub async fn admit(self: &Arc<Self>, request: SlotRequest) -> SlotResult {
        let now = self.clock.now();
        let (admission, receiver) = self.lock().request_slot(request, now);
        match (admission, receiver) {
            (Admission::Send(assignment), _) => Ok(self.slot_guard(assignment)),
            (Admission::Shed(shed), _) => Err(shed),
            (Admission::Queued(ticket), receiver) => {
                let _queue_guard = QueueGuard { slots: self, ticket };
                self.request_queued.notify_one();
                let result = receiver.expect("a queued request has a receiver").await;
                result.expect("every ticket is resolved before its sender is dropped")
            }
        }
    }

    /// Returns the rejection of a request that was sent to targets but not run by any of them.
    pub fn shed_no_target(&self) -> Shed {
        let now = self.clock.now();
        self.lock().pool.shed_no_target(now)
    }

    /// Sets the entries that share the targets, and the share of the cold targets'
    /// warm-up rate that these entries may use together.
    pub fn set_sharers(&self, sharers: Vec<Sharer>, share: Permille) {
        let now = self.clock.now();
        self.lock().pool.set_sharers(sharers, share, now);
    }

    /// Sets the warm-up of the targets, which limits their requests while they are cold.
    pub fn set_warmup(&self, warmup: Option<Warmup>) {
        let now = self.clock.now();
        self.lock().pool.set_warmup(warmup, now);
    }

    /// Records a target's report of how much longer it stays cold.
    pub fn record_cold_report(&self, target: &TargetId, cold_for: Duration) {
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

    /// Sets the published targets.
    pub fn set_targets(self: &Arc<Self>, targets: Vec<SlotTarget>) {
        let now = self.clock.now();
        let resolved = self.lock().pool.set_targets(targets, now);
        self.deliver(resolved);
    }

    /// Resets the state of a target that has restarted.
    pub fn reset_target(&self, target: &TargetId) {
        let now = self.clock.now();
        self.lock().pool.reset_target(target, now);
    }

    /// Sets the time until which a target wants no requests from this process.
    pub fn set_rest(self: &Arc<Self>, target: &TargetId, until: Mono) {
        let now = self.clock.now();
        let resolved = self.lock().pool.set_rest(target, until, now);
        self.deliver(resolved);
    }

    /// Stops the use of a target until targets are published that take new work again.
    pub fn stop_serving(self: &Arc<Self>, target: &TargetId) {
        let now = self.clock.now();
        let resolved = self.lock().pool.stop_serving(target, now);
        self.deliver(resolved);
    }

    /// Discards the failures of all targets.
    pub fn clear_failures(self: &Arc<Self>) {
        let now = self.clock.now();
        let resolved = self.lock().pool.clear_failures(now);
        self.deliver(resolved);
    }

    /// Records the load that a target reported in its answer to a probe.
    pub fn record_load(self: &Arc<Self>, target: &TargetId, reported_load: TargetLoad) {
        let now = self.clock.now();
        let resolved = self.lock().pool.record_load(target, reported_load, now);
        self.deliver(resolved);
    }

    /// Whether a target should be probed for its slowdown before a request is sent to it.
    pub fn needs_probe(&self, target: &TargetId) -> bool {
        let now = self.clock.now();
        self.lock().pool.needs_probe(target, now)
    }

    /// Records that the target of a request answered a probe without reporting its load, or could
    /// not be probed.
    pub fn record_missing_load(&self) {
        self.lock().pool.record_missing_load();
    }

    /// Records that a target answered a probe promptly.
    pub fn record_prompt_probe(&self) {
        self.lock().pool.record_prompt_probe();
    }

    /// Returns the rejection of a request that found only full targets; `None` if it is uncertain
    /// whether they are full.
    pub fn shed_full(&self) -> Option<Shed> {
        let now = self.clock.now();
        self.lock().pool.shed_full(now)
    }

    /// Records that a target did not answer a probe promptly.
    pub fn record_unanswered_probe(&self, target: &TargetId) {
        self.lock().pool.record_unanswered_probe(target);
    }

    /// Records that a target answered a probe without reporting its load.
    pub fn record_probe_without_load(&self, target: &TargetId) {
        self.lock().pool.record_probe_without_load(target);
    }

    /// Records that a target could not be probed or did not answer before the timeout. `delay` is
    /// the time from that timeout until this process noticed it.
    pub fn record_failed_probe(&self, target: &TargetId, delay: Duration) {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.pool.record_failed_probe(target, delay, now);
        let changes = inner.pool.take_state_changes();
        drop(inner);
        self.log_state_changes(&changes);
    }

    /// Returns the targets to probe now; none while the service is idle.
    pub fn due_probes(&self) -> Vec<TargetId> {
        let now = self.clock.now();
        let mut inner = self.lock();
        let in_use = inner.last_request_at.is_some_and(|at| now.since(at) < IDLE_AFTER);
        if in_use { inner.pool.due_probes(now) } else { Vec::new() }
    }

    /// Returns the usual time of a class of requests.
    pub fn usual_time(&self, class: &WorkClass) -> Duration {
        self.lock().pool.usual_time(class)
    }

    /// Returns the number of attempts in flight at targets of a failure domain.
    pub fn running_in(&self, failure_domain: &FailureDomain) -> usize {
        self.lock().pool.running_in(failure_domain)
    }

    /// Returns a summary of the current state of the slots.
    pub fn summary(&self) -> SlotSummary {
        let now = self.clock.now();
        self.lock().pool.summary(now)
    }

    /// Whether any request waits for a slot.
    pub fn has_waiting(&self) -> bool {
        !self.lock().waiting.is_empty()
    }

    /// Resolves queued requests whose wait is over. Called at short intervals for the whole queue:
    /// if each waiting request did this itself, all of them would wake up for the end of each one.
    pub fn expire(self: &Arc<Self>) {
        let now = self.clock.now();
        let mut inner = self.lock();
        if inner.waiting.is_empty() {
            return;
        }
        let resolved = inner.pool.expire(now);
        drop(inner);
        self.deliver(resolved);
    }

    fn slot_guard(self: &Arc<Self>, assignment: Assignment) -> SlotGuard {
        SlotGuard { slots: Arc::clone(self), assignment, is_finished: false }
    }

    fn finish(
        self: &Arc<Self>,
        attempt: AttemptId,
        outcome: SlotOutcome,
        reported_load: Option<TargetLoad>,
    ) {
        let now = self.clock.now();
        let mut inner = self.lock();
        let resolved = inner.pool.finish(attempt, outcome, reported_load, now);
        let changes = inner.pool.take_state_changes();
        let rejection_change = inner.take_rejection_change(now);
        drop(inner);
        self.log_state_changes(&changes);
        self.log_rejection_change(rejection_change);
        self.deliver(resolved);
    }

    /// Sends the results to the waiting requests with the lock released: if a receiver is gone, its
    /// slot is dropped, which takes the lock again.
    fn deliver(self: &Arc<Self>, resolved: Vec<ResolvedTicket>) {
        for ResolvedTicket { ticket, resolution } in resolved {
            let result = match resolution {
                Resolution::Send(assignment) => Ok(self.slot_guard(assignment)),
                Resolution::Shed(shed) => Err(shed),
            };
            let sender = self.lock().waiting.remove(&ticket);
            if let Some(sender) = sender {
                let _receiver_gone = sender.send(result);
            }
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Inner> {
        lock(&self.inner)
    }
}

impl Inner {
    /// Requests a slot from the pool and, if the request is queued, creates the channel that wakes
    /// it under the same lock, because the ticket may be resolved as soon as the lock is released.
    fn request_slot(
        &mut self,
        request: SlotRequest,
        now: Mono,
    ) -> (Admission, Option<oneshot::Receiver<SlotResult>>) {
        let admission = self.pool.admit(request, now);
        let Admission::Queued(ticket) = admission else {
            return (admission, None);
        };
        let (sender, receiver) = oneshot::channel();
        self.waiting.insert(ticket, sender);
        (admission, Some(receiver))
    }
}
