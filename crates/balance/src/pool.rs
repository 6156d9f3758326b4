//! The state of one service's targets, queue and budgets in one process.

mod choice;
mod learn;
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
use crate::policy::Chooser;
use crate::queue::WaitQueue;
use crate::target::{PoolView, Ramp, RampKind, Target};
use crate::{
    Admission, Assignment, AttemptId, AttemptOutcome, PoolConfig, PoolCounts, PoolRequest,
    PoolTarget, ResolvedTicket, ShedReason, TargetStatus, Ticket,
};

/// Weight of a new report in the mean number of requests of other processes.
const OTHERS_WEIGHT: f64 = 0.02;

#[derive(Debug)]
struct Running {
    target: TargetId,
    started: Mono,
    /// Expected time as a multiple of the service time, when it was sent.
    crowding: f64,
}

/// Decides for one service which request goes to which target, and when.
///
/// - Every `Assignment` is given back by `finish`; every `Ticket` ends once, by `ResolvedTicket` from
///   `finish`, `expire`, `report` or `set_targets`, or by `cancel`.
/// - Draining and excluded targets are never assigned.
/// - When all serving targets look bad, the evidence is ignored rather than serving nobody.
/// - Memory is bounded by the number of targets, the queue's limit and requests in flight.
#[derive(Debug)]
pub struct Pool {
    config: PoolConfig,
    targets: Vec<Target>,
    attempts: BTreeMap<AttemptId, Running>,
    queue: WaitQueue,
    chooser: Chooser,
    hedges: ShareBudget,
    retries: ShareBudget,
    latencies: LatencyHistogram,
    limit: ConcurrencyLimit,
    /// Since when requests have waited without a break.
    waiting_since: Option<Mono>,
    mean_us: f64,
    view: PoolView,
    answers_since_view: u32,
    /// Tickets that ended outside a call that returns them.
    ended: Vec<ResolvedTicket>,
    last_id: u64,
}

impl Pool {
    /// A pool without targets. The seed makes choices repeatable.
    pub fn new(config: PoolConfig, seed: u64) -> Self {
        Self {
            targets: Vec::new(),
            attempts: BTreeMap::new(),
            queue: WaitQueue::default(),
            chooser: Chooser::new(config.policy, SmallRng::seed_from_u64(seed)),
            hedges: ShareBudget::new(config.hedge_share, config.hedge_burst),
            retries: ShareBudget::new(config.retry_share, config.retry_burst),
            latencies: LatencyHistogram::new(),
            limit: ConcurrencyLimit::new(),
            waiting_since: None,
            mean_us: PoolView::guess().median_us,
            view: PoolView::guess(),
            answers_since_view: 0,
            ended: Vec::new(),
            last_id: 0,
            config,
        }
    }

    /// Takes the list of targets. What is known of those that stay is kept; targets that appear
    /// later than the first list ramp up, as they may be cold.
    pub fn set_targets(&mut self, published: &[PoolTarget], now: Mono) -> Vec<ResolvedTicket> {
        let cold = Ramp { from: now, kind: RampKind::Cold };
        let ramp = (!self.targets.is_empty()).then_some(cold);
        let mut known = std::mem::take(&mut self.targets);
        for target in self.subset(published) {
            let place = known.iter().position(|old| old.published.id == target.id);
            let kept = place.map(|place| known.swap_remove(place));
            let kept = kept.map(|old| old.with_published(target.clone(), now));
            let fresh = || Target::new(target.clone(), self.started_at(&target.id), ramp);
            let next = kept.unwrap_or_else(fresh);
            self.targets.push(next);
        }
        self.limit.set_max(self.gates());
        self.end_those_without_target(now);
        self.wake(now)
    }

    /// Decides about a request that was not sent before.
    pub fn admit(&mut self, ask: PoolRequest, now: Mono) -> Admission {
        self.hedges.first_attempt();
        self.retries.first_attempt();
        self.place(ask, now)
    }

    /// Decides about a request whose attempt failed and may safely be sent again. Exclude the
    /// targets that it was sent to.
    pub fn retry(&mut self, ask: PoolRequest, now: Mono) -> Admission {
        if !self.retries.take() {
            return Admission::Shed(self.shed(ShedReason::RetryBudget, 0));
        }
        self.place(ask, now)
    }

    /// How long after sending an idempotent request is worth a second attempt; `None` while too
    /// few latencies are known.
    pub fn hedge_delay(&self) -> Option<Duration> {
        self.latencies.quantile(self.config.hedge_quantile)
    }

    /// A second target for a request in flight, if the budget and the gates allow one now. The
    /// caller ensures that the request is idempotent.
    pub fn hedge(&mut self, attempt: AttemptId, ask: PoolRequest, now: Mono) -> Option<Assignment> {
        let mut ask = ask;
        ask.exclude.push(self.attempts.get(&attempt)?.target.clone());
        if !self.hedges.has_room() || !self.queue.is_empty() || ask.deadline <= now {
            return None;
        }
        let mut candidates = self.candidates(&ask, now);
        candidates.retain(|candidate| self.is_free(&self.targets[candidate.index], now));
        let chosen = self.chooser.choose(&candidates)?;
        self.hedges.take();
        Some(self.start(chosen, now))
    }

    /// Takes an attempt back, learns from its outcome and from the load report that came with the
    /// answer, and gives its place to waiting requests. The report does not count the request that
    /// it came with.
    pub fn finish(
        &mut self,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        report: Option<LoadReport>,
        now: Mono,
    ) -> Vec<ResolvedTicket> {
        let Some(running) = self.attempts.remove(&attempt) else { return self.take_ended() };
        if let Some(target) = self.find(&running.target) {
            target.end(attempt, running.started);
        }
        if let Some(report) = report {
            self.report(&running.target, report, now);
        }
        self.learn(&running, outcome, now);
        self.wake(now)
    }

    /// Gives up a place in the queue; whether the ticket was still waiting. If not, its `ResolvedTicket`
    /// is already on its way.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.queue.remove(ticket).is_some()
    }

    /// Takes a target's account of its load that came with no request's answer, as from a probe.
    pub fn report(&mut self, target: &TargetId, report: LoadReport, now: Mono) {
        let found = self.targets.iter_mut().find(|known| known.published.id == *target);
        let Some(target) = found else { return };
        if let Some(others) = target.report(report, now, &self.config.target) {
            let usual = &mut self.view.others_per_slot;
            *usual += (others - *usual) * OTHERS_WEIGHT;
        }
        if report.draining {
            self.end_those_without_target(now);
        }
    }

    /// Ends waiting requests whose deadline has passed, and uses targets whose time has come.
    pub fn expire(&mut self, now: Mono) -> Vec<ResolvedTicket> {
        while let Some(ticket) = self.queue.pop_expired(now) {
            self.end(ticket, ShedReason::DeadlinePassed);
        }
        self.end_those_without_target(now);
        self.wake(now)
    }

    /// When to call `expire` next; `None` while nothing waits.
    pub fn next_expiry(&self) -> Option<Mono> {
        if !self.ended.is_empty() {
            return Some(Mono::ZERO);
        }
        let deadline = self.queue.earliest_deadline()?;
        let returning = self.targets.iter().filter_map(Target::ejected_until).min();
        Some(returning.map_or(deadline, |at| at.min(deadline)))
    }

    /// Requests waiting here.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Attempts in flight.
    pub fn running(&self) -> usize {
        self.attempts.len()
    }

    /// Use of the serving targets' slots as far as this process can tell; over 1000 when
    /// requests wait. `None` without serving targets.
    pub fn load(&self, now: Mono) -> Option<Permille> {
        let serving = || self.targets.iter().filter(|target| target.is_serving());
        let slots: u32 = serving().map(|target| target.published.slots).sum();
        if slots == 0 {
            return None;
        }
        let config = &self.config.target;
        let used = serving().map(|t| f64::from(t.running()) + t.others(now, &self.view, config));
        let wanted = used.sum::<f64>() + self.queue.len() as f64;
        Some(Permille::new((wanted / f64::from(slots) * 1000.0) as u32))
    }

    /// What was asked for so far, for operators.
    pub fn counts(&self) -> PoolCounts {
        PoolCounts {
            first_attempts: self.retries.firsts(),
            retries: self.retries.taken(),
            hedges: self.hedges.taken(),
        }
    }

    /// What is thought of each target, for operators.
    pub fn status(&self, now: Mono) -> Vec<TargetStatus> {
        self.targets.iter().map(|target| target.status(now)).collect()
    }

    /// Attempts in flight to a target that left the list and came back.
    fn started_at(&self, target: &TargetId) -> BTreeSet<(Mono, AttemptId)> {
        let running = self.attempts.iter().filter(|(_, running)| running.target == *target);
        running.map(|(attempt, running)| (running.started, *attempt)).collect()
    }

    fn find(&mut self, id: &TargetId) -> Option<&mut Target> {
        self.targets.iter_mut().find(|target| target.published.id == *id)
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }
}
