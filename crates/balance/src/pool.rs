//! The pool of one service in one process: its targets, queue and budgets.

mod choice;
mod outcomes;
mod waiting;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use shallotfork_measure::LoadReport;
use shallotfork_types::{Mono, Permille, TargetId};

use crate::budget::ShareBudget;
use crate::latency::LatencyHistogram;
use crate::limit::ConcurrencyLimit;
use crate::policy::Selector;
use crate::queue::WaitQueue;
use crate::target::{PoolStats, Ramp, RampKind, Target};
use crate::{
    Admission, Assignment, AttemptId, AttemptOutcome, PoolConfig, PoolCounts, PoolRequest,
    PoolTarget, ResolvedTicket, ShedReason, TargetStatus, Ticket,
};

/// Weight of a new report in the mean number of requests from other processes.
const OTHERS_WEIGHT: f64 = 0.02;

#[derive(Debug)]
struct RunningAttempt {
    target: TargetId,
    started_at: Mono,
    /// Expected time as a multiple of the service time, computed when the attempt was sent.
    wait_factor: f64,
}

/// Decides for one service which request is sent to which target, and when.
///
/// - Every `Assignment` is returned through `finish`. Every `Ticket` ends once: as a
///   `ResolvedTicket` from `finish`, `expire` or `set_targets`, or through `cancel`. Tickets that
///   `report` resolves come with the next of these calls.
/// - Draining and excluded targets are never assigned.
/// - When all serving targets seem unhealthy, the evidence is ignored so that requests are still
///   served.
/// - Memory is bounded by the number of targets, the limit of the queue and the requests in flight.
#[derive(Debug)]
pub struct Pool {
    config: PoolConfig,
    targets: Vec<Target>,
    attempts: BTreeMap<AttemptId, RunningAttempt>,
    queue: WaitQueue,
    selector: Selector,
    hedges: ShareBudget,
    retries: ShareBudget,
    latencies: LatencyHistogram,
    limit: ConcurrencyLimit,
    /// Time since which the queue has not been empty.
    backlog_started_at: Option<Mono>,
    mean_latency_us: f64,
    stats: PoolStats,
    answers_since_update: u32,
    /// Tickets that were resolved outside a call that returns them.
    resolved: Vec<ResolvedTicket>,
    last_id: u64,
}

impl Pool {
    /// Creates a pool without targets. The same seed gives the same choices.
    pub fn new(config: PoolConfig, seed: u64) -> Self {
        Self {
            targets: Vec::new(),
            attempts: BTreeMap::new(),
            queue: WaitQueue::default(),
            selector: Selector::new(config.policy, SmallRng::seed_from_u64(seed)),
            hedges: ShareBudget::new(config.hedge_share, config.hedge_burst),
            retries: ShareBudget::new(config.retry_share, config.retry_burst),
            latencies: LatencyHistogram::new(),
            limit: ConcurrencyLimit::new(),
            backlog_started_at: None,
            mean_latency_us: PoolStats::initial().median_us,
            stats: PoolStats::initial(),
            answers_since_update: 0,
            resolved: Vec::new(),
            last_id: 0,
            config,
        }
    }

    /// Replaces the list of targets. The state of targets that stay is kept; targets that are added
    /// after the first list ramp up, as they may be cold.
    pub fn set_targets(&mut self, published: &[PoolTarget], now: Mono) -> Vec<ResolvedTicket> {
        let cold_ramp = Ramp { from: now, kind: RampKind::Cold };
        let ramp = (!self.targets.is_empty()).then_some(cold_ramp);
        let mut known_targets = std::mem::take(&mut self.targets);
        for target in self.subset(published) {
            let position =
                known_targets.iter().position(|existing| existing.published.id == target.id);
            let kept = position.map(|position| known_targets.swap_remove(position));
            let kept = kept.map(|existing| existing.with_published(target.clone(), now));
            let create = || Target::new(target.clone(), self.attempts_to(&target.id), ramp);
            let next = kept.unwrap_or_else(create);
            self.targets.push(next);
        }
        self.limit.set_max(self.total_target_limit());
        self.shed_without_target(now);
        self.resolve_waiting(now)
    }

    /// Admits, queues or sheds a request that was not sent before.
    pub fn admit(&mut self, request: PoolRequest, now: Mono) -> Admission {
        self.hedges.record_first_attempt();
        self.retries.record_first_attempt();
        self.admit_or_queue(request, now)
    }

    /// Admits, queues or sheds a request whose attempt failed and which may safely be sent again.
    /// `request` should exclude the targets that it was already sent to.
    pub fn retry(&mut self, request: PoolRequest, now: Mono) -> Admission {
        if !self.retries.try_take() {
            return Admission::Shed(self.shed(ShedReason::RetryBudget, 0));
        }
        self.admit_or_queue(request, now)
    }

    /// Returns the delay after which an idempotent request is worth a hedge; `None` while too few
    /// latencies are known.
    pub fn hedge_delay(&self) -> Option<Duration> {
        self.latencies.quantile(self.config.hedge_quantile)
    }

    /// Assigns a second target to a request in flight, if the budget and the concurrency limits of
    /// the targets allow it now. The calling code ensures that the request is idempotent.
    pub fn hedge(
        &mut self,
        attempt: AttemptId,
        request: PoolRequest,
        now: Mono,
    ) -> Option<Assignment> {
        let mut request = request;
        request.exclude.push(self.attempts.get(&attempt)?.target.clone());
        if !self.hedges.has_room() || !self.queue.is_empty() || request.deadline <= now {
            return None;
        }
        let mut candidates = self.candidates(&request, now);
        candidates.retain(|candidate| self.has_free_slot(&self.targets[candidate.index], now));
        let selected = self.selector.select(&candidates)?;
        self.hedges.try_take();
        Some(self.start(selected, now))
    }

    /// Ends an attempt, records its outcome and the load report that came with the answer, and
    /// assigns the freed capacity to waiting requests. The report does not count the request that
    /// it came with.
    pub fn finish(
        &mut self,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        report: Option<LoadReport>,
        now: Mono,
    ) -> Vec<ResolvedTicket> {
        let Some(running) = self.attempts.remove(&attempt) else { return self.take_resolved() };
        if let Some(target) = self.find(&running.target) {
            target.end(attempt, running.started_at);
        }
        if let Some(report) = report {
            self.report(&running.target, report, now);
        }
        self.record_outcome(&running, outcome, now);
        self.resolve_waiting(now)
    }

    /// Removes a waiting request from the queue. Returns false if its ticket was already resolved;
    /// the calling code then receives its `ResolvedTicket`.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.queue.remove(ticket).is_some()
    }

    /// Records a load report of a target that did not come with an answer to a request, such as one
    /// from a probe.
    pub fn report(&mut self, target: &TargetId, report: LoadReport, now: Mono) {
        let found = self.targets.iter_mut().find(|known| known.published.id == *target);
        let Some(target) = found else { return };
        if let Some(others_per_slot) = target.record_report(report, now, &self.config.target) {
            let mean = &mut self.stats.others_per_slot;
            *mean += (others_per_slot - *mean) * OTHERS_WEIGHT;
        }
        if report.draining {
            self.shed_without_target(now);
        }
    }

    /// Sheds waiting requests whose deadline has passed, and assigns requests to targets that have
    /// become available.
    pub fn expire(&mut self, now: Mono) -> Vec<ResolvedTicket> {
        while let Some(ticket) = self.queue.pop_expired(now) {
            self.shed_ticket(ticket, ShedReason::DeadlinePassed);
        }
        self.shed_without_target(now);
        self.resolve_waiting(now)
    }

    /// Returns when to call `expire` next; `None` while no request waits.
    pub fn next_expiry(&self) -> Option<Mono> {
        if !self.resolved.is_empty() {
            return Some(Mono::ZERO);
        }
        let deadline = self.queue.earliest_deadline()?;
        let next_return = self.targets.iter().filter_map(Target::ejected_until).min();
        Some(next_return.map_or(deadline, |at| at.min(deadline)))
    }

    /// Returns the number of requests waiting here.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of attempts in flight.
    pub fn running(&self) -> usize {
        self.attempts.len()
    }

    /// Returns the utilisation of the slots of serving targets, as far as this process knows; over
    /// 1000 when requests wait. `None` without serving targets.
    pub fn load(&self, now: Mono) -> Option<Permille> {
        let serving = || self.targets.iter().filter(|target| target.is_serving());
        let slots: u32 = serving().map(|target| target.published.slots).sum();
        if slots == 0 {
            return None;
        }
        let config = &self.config.target;
        let used = serving()
            .map(|t| f64::from(t.running()) + t.others_in_flight(now, &self.stats, config));
        let wanted = used.sum::<f64>() + self.queue.len() as f64;
        Some(Permille::new((wanted / f64::from(slots) * 1000.0) as u32))
    }

    /// Returns the numbers of attempts requested so far, for operators.
    pub fn counts(&self) -> PoolCounts {
        PoolCounts {
            first_attempts: self.retries.first_attempts(),
            retries: self.retries.extra_attempts(),
            hedges: self.hedges.extra_attempts(),
        }
    }

    /// Returns the state of each target, for operators.
    pub fn status(&self, now: Mono) -> Vec<TargetStatus> {
        self.targets.iter().map(|target| target.status(now)).collect()
    }

    /// Returns the attempts in flight to a target that was removed from the list and added again.
    fn attempts_to(&self, target: &TargetId) -> BTreeSet<(Mono, AttemptId)> {
        let running = self.attempts.iter().filter(|(_, running)| running.target == *target);
        running.map(|(attempt, running)| (running.started_at, *attempt)).collect()
    }

    fn find(&mut self, id: &TargetId) -> Option<&mut Target> {
        self.targets.iter_mut().find(|target| target.published.id == *id)
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }
}
