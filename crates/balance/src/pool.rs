//! The state of one service's targets, queue and budgets in one process.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use shallotfork_measure::LoadReport;
use shallotfork_types::{Mono, Permille, TargetId, rendezvous_weight};

use crate::budget::ShareBudget;
use crate::latency::LatencyHistogram;
use crate::limit::ConcurrencyLimit;
use crate::policy::{Candidate, Chooser};
use crate::queue::WaitQueue;
use crate::target::{PoolView, Ramp, RampKind, Target};
use crate::{
    Admission, Ask, Assignment, AttemptId, AttemptOutcome, PoolConfig, PoolTarget, Resolution,
    Shed, ShedReason, TargetStatus, Ticket, Woken,
};

/// Weight of a new latency in the pool's mean.
const MEAN_WEIGHT: f64 = 0.02;
/// Weight of a new report in the mean number of requests of other processes.
const OTHERS_WEIGHT: f64 = 0.02;
/// Share of requests whose latency counts as usual; an older one in flight is a sign of trouble.
const TAIL_QUANTILE: f64 = 0.98;
/// Share of attempts that must be expected to end in time for one to be worth sending.
const LIKELY_QUANTILE: f64 = 0.9;
/// Answers between two computations of the pool's averages.
const VIEW_EVERY: u32 = 16;
/// Waiting requests that are tried when a target gets room; more could only differ in exclusions.
const WAKE_SCAN_MAX: usize = 32;
/// Bounds of the advice when to come back.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(20);
const RETRY_AFTER_MAX: Duration = Duration::from_secs(10);

#[derive(Debug)]
struct Running {
    target: TargetId,
    started: Mono,
    /// Expected time as a multiple of the service time, when it was sent.
    crowding: f64,
}

/// Decides for one service which request goes to which target, and when.
///
/// - Every `Assignment` is given back by `finish`; every `Ticket` ends once, by `Woken` from
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
    ended: Vec<Woken>,
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
    pub fn set_targets(&mut self, published: &[PoolTarget], now: Mono) -> Vec<Woken> {
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
        self.wake(now)
    }

    /// Decides about a request that was not sent before.
    pub fn admit(&mut self, ask: Ask, now: Mono) -> Admission {
        self.hedges.first_attempt();
        self.retries.first_attempt();
        self.place(ask, now)
    }

    /// Decides about a request whose attempt failed and may safely be sent again. Exclude the
    /// targets that it was sent to.
    pub fn retry(&mut self, ask: Ask, now: Mono) -> Admission {
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
    pub fn hedge(&mut self, attempt: AttemptId, ask: Ask, now: Mono) -> Option<Assignment> {
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
    ) -> Vec<Woken> {
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

    /// Gives up a place in the queue; whether the ticket was still waiting. If not, its `Woken`
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
    pub fn expire(&mut self, now: Mono) -> Vec<Woken> {
        while let Some(ticket) = self.queue.pop_expired(now) {
            self.end(ticket, ShedReason::DeadlinePassed);
        }
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

    /// What is thought of each target, for operators.
    pub fn status(&self, now: Mono) -> Vec<TargetStatus> {
        self.targets.iter().map(|target| target.status(now)).collect()
    }

    fn place(&mut self, ask: Ask, now: Mono) -> Admission {
        if ask.deadline <= now {
            return Admission::Shed(self.shed(ShedReason::DeadlinePassed, 0));
        }
        if !self.has_target_for(&ask, now) {
            return Admission::Shed(self.shed(ShedReason::NoTarget, 0));
        }
        let ahead = self.queue.ahead_of(&ask);
        if ahead == 0
            && let Some(assignment) = self.assign(&ask, now)
        {
            return Admission::Send(assignment);
        }
        self.enqueue(ask, ahead, now)
    }

    fn enqueue(&mut self, ask: Ask, ahead: usize, now: Mono) -> Admission {
        let wait = self.expected_wait(ahead + 1);
        let end = now.plus(wait + self.likely_latency());
        if end > ask.deadline || self.is_standing(now) && wait > self.standing_wait(&ask, now) {
            return Admission::Shed(self.shed(ShedReason::DeadlineTooNear, ahead));
        }
        if self.queue.len() >= self.config.queue_max {
            let Some(last) = self.queue.last_after(&ask) else {
                return Admission::Shed(self.shed(ShedReason::QueueFull, ahead));
            };
            self.queue.remove(last);
            self.end(last, ShedReason::QueueFull);
        }
        let ticket = Ticket(self.next_id());
        self.queue.push(ticket, ask);
        self.waiting_since.get_or_insert(now);
        Admission::Queued(ticket)
    }

    /// Little's law: with the gates full, an attempt ends every (mean latency / in flight).
    fn expected_wait(&self, place: usize) -> Duration {
        let in_flight = self.attempts.len().max(1) as f64;
        Duration::from_micros((self.mean_us * place as f64 / in_flight) as u64)
    }

    /// Whether requests have waited for so long that the cause is no burst. A queue that stands
    /// serves no more requests than a short one, but makes each of them late.
    fn is_standing(&self, now: Mono) -> bool {
        let since = self.waiting_since.unwrap_or(now);
        now.since(since) > self.config.standing_after
    }

    fn standing_wait(&self, ask: &Ask, now: Mono) -> Duration {
        ask.deadline.since(now).mul_f64(self.config.standing_wait)
    }

    /// Time within which most attempts end.
    fn likely_latency(&self) -> Duration {
        self.latencies.quantile(LIKELY_QUANTILE).unwrap_or_else(|| self.usual_latency())
    }

    fn usual_latency(&self) -> Duration {
        Duration::from_micros(self.view.median_us as u64)
    }

    fn shed(&self, reason: ShedReason, ahead: usize) -> Shed {
        let drained = self.expected_wait(ahead + 1);
        Shed { retry_after: drained.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX), reason }
    }

    fn end(&mut self, ticket: Ticket, reason: ShedReason) {
        let shed = self.shed(reason, self.queue.len());
        self.ended.push(Woken { ticket, resolution: Resolution::Shed(shed) });
    }

    fn take_ended(&mut self) -> Vec<Woken> {
        std::mem::take(&mut self.ended)
    }

    /// Assigns waiting requests in order while targets have room.
    fn wake(&mut self, now: Mono) -> Vec<Woken> {
        let mut woken = self.take_ended();
        self.end_those_without_target(now);
        woken.append(&mut self.ended);
        let first: Vec<Ticket> =
            self.queue.iter().take(WAKE_SCAN_MAX).map(|(ticket, _)| ticket).collect();
        for ticket in first {
            let Some(ask) = self.queue.remove(ticket) else { continue };
            if let Some(reason) = self.too_late(&ask, now) {
                let shed = self.shed(reason, 0);
                woken.push(Woken { ticket, resolution: Resolution::Shed(shed) });
                continue;
            }
            match self.assign(&ask, now) {
                Some(assignment) => {
                    woken.push(Woken { ticket, resolution: Resolution::Send(assignment) });
                }
                None => self.queue.push(ticket, ask),
            }
        }
        if self.queue.is_empty() {
            self.waiting_since = None;
        }
        woken
    }

    /// Why a request that gets its turn is not worth sending. One sent with less time left than
    /// most attempts need takes a slot, times out, and costs its connection too.
    fn too_late(&self, ask: &Ask, now: Mono) -> Option<ShedReason> {
        if ask.deadline <= now {
            return Some(ShedReason::DeadlinePassed);
        }
        let too_near = now.plus(self.likely_latency()) > ask.deadline;
        too_near.then_some(ShedReason::DeadlineTooNear)
    }

    fn end_those_without_target(&mut self, now: Mono) {
        let lost = self.queue.iter().filter(|(_, ask)| !self.has_target_for(ask, now));
        let lost: Vec<Ticket> = lost.map(|(ticket, _)| ticket).collect();
        for ticket in lost {
            self.queue.remove(ticket);
            self.end(ticket, ShedReason::NoTarget);
        }
    }

    fn has_target_for(&self, ask: &Ask, now: Mono) -> bool {
        self.serving_for(ask, now).next().is_some()
    }

    /// Targets that take new work, by what was published and by their own word.
    ///
    /// The published list lags behind a target that leaves, which would lose what is sent to it
    /// last; its own word comes with the first answer. When all say that they leave, somebody
    /// has to serve still: then only the list counts.
    fn serving_for<'a>(
        &'a self,
        ask: &'a Ask,
        now: Mono,
    ) -> impl Iterator<Item = (usize, &'a Target)> + 'a {
        let mut serving = self.targets.iter().filter(|target| target.is_serving());
        let all_leave = serving.all(|target| target.says_leaving(now));
        let takes_work =
            move |target: &Target| target.is_serving() && (all_leave || !target.says_leaving(now));
        let wanted = |target: &Target| !ask.exclude.contains(&target.published.id);
        let targets = self.targets.iter().enumerate();
        targets.filter(move |(_, target)| takes_work(target) && wanted(target))
    }

    fn assign(&mut self, ask: &Ask, now: Mono) -> Option<Assignment> {
        if self.config.gated && !self.limit.has_room(self.attempts.len()) {
            return None;
        }
        let candidates = self.candidates(ask, now);
        let chosen = self.chooser.choose(&candidates)?;
        Some(self.start(chosen, now))
    }

    /// Whether a hedge would run there at once, as far as this process can tell. Elsewhere it
    /// would wait behind first attempts and slow them down.
    fn is_free(&self, target: &Target, now: Mono) -> bool {
        target.crowding(now, &self.view, &self.config.target) <= 1.0
    }

    fn start(&mut self, chosen: usize, now: Mono) -> Assignment {
        let crowding = self.targets[chosen].crowding(now, &self.view, &self.config.target);
        let attempt = AttemptId(self.next_id());
        self.targets[chosen].start(attempt, now);
        let target = self.targets[chosen].published.id.clone();
        let running = Running { target: target.clone(), started: now, crowding };
        self.attempts.insert(attempt, running);
        Assignment { attempt, target }
    }

    /// Targets with room. Those ejected are left out, unless that is half of all or more: then
    /// the evidence more likely shows a fault of this process or its network.
    fn candidates(&self, ask: &Ask, now: Mono) -> Vec<Candidate> {
        let serving = self.serving_for(ask, now);
        let (ejected, healthy): (Vec<_>, Vec<_>) = serving.partition(|(_, t)| t.is_ejected(now));
        let ignore_evidence = ejected.len() >= healthy.len();
        let ejected = ejected.into_iter().filter(|_| ignore_evidence);
        let open = healthy.into_iter().chain(ejected).filter(|(_, t)| self.has_room(t, now));
        let mut candidates: Vec<Candidate> =
            open.map(|(index, target)| self.candidate(index, target, ask, now)).collect();
        candidates.sort_unstable_by_key(|candidate| candidate.index);
        candidates
    }

    fn has_room(&self, target: &Target, now: Mono) -> bool {
        if !self.config.gated {
            return true;
        }
        target.running() < target.gate(now, &self.view, &self.config.target)
    }

    fn candidate(&self, index: usize, target: &Target, ask: &Ask, now: Mono) -> Candidate {
        let config = &self.config.target;
        let domain = &target.published.failure_domain;
        let rank = ask.prefer.iter().position(|near| near == domain).unwrap_or(ask.prefer.len());
        let far_us = config.far_cost.as_micros() as f64 * rank as f64;
        let cost = target.cost_us(now, &self.view, config) + far_us;
        Candidate { index, running: target.running(), cost }
    }

    fn learn(&mut self, running: &Running, outcome: AttemptOutcome, now: Mono) {
        let spread = self.chooser.fraction();
        let elapsed_us = now.since(running.started).as_micros() as f64;
        let config = self.config.target.clone();
        if let AttemptOutcome::Answered { latency } = outcome {
            self.learn_latency(latency);
            let usual_us = self.view.median_us;
            let waiting = !self.queue.is_empty();
            self.limit.answered(elapsed_us, usual_us, waiting, now);
        }
        // One that had little time left when it was sent says nothing against the target.
        let tail_us = self.view.tail_us;
        let Some(target) = self.find(&running.target) else { return };
        match outcome {
            AttemptOutcome::Answered { latency } => {
                target.answered(latency.as_micros() as f64 / running.crowding, now);
            }
            AttemptOutcome::Failed => target.failed(now, spread, &config),
            AttemptOutcome::Shed => target.shed(now, spread, &config),
            AttemptOutcome::TimedOut => {
                target.at_least(elapsed_us / running.crowding, now);
                if elapsed_us > tail_us {
                    target.failed(now, spread, &config);
                }
            }
            AttemptOutcome::Cancelled => target.at_least(elapsed_us / running.crowding, now),
        }
    }

    fn gates(&self) -> u32 {
        let serving = self.targets.iter().filter(|target| target.is_serving());
        serving.map(|target| target.whole_gate(&self.config.target)).sum()
    }

    fn learn_latency(&mut self, latency: Duration) {
        self.latencies.record(latency);
        self.mean_us += (latency.as_micros() as f64 - self.mean_us) * MEAN_WEIGHT;
        self.answers_since_view += 1;
        if self.answers_since_view >= VIEW_EVERY {
            self.answers_since_view = 0;
            self.update_view();
        }
    }

    fn update_view(&mut self) {
        let mut latencies: Vec<f64> = self.targets.iter().filter_map(Target::latency_us).collect();
        latencies.sort_by(f64::total_cmp);
        if let Some(median_us) = latencies.get(latencies.len() / 2) {
            self.view.median_us = median_us.max(1.0);
        }
        if let Some(tail) = self.latencies.quantile(TAIL_QUANTILE) {
            self.view.tail_us = tail.as_micros() as f64;
        }
    }

    fn subset<'a>(&self, published: &'a [PoolTarget]) -> Vec<&'a PoolTarget> {
        let mut all: Vec<&PoolTarget> = published.iter().collect();
        if all.len() <= self.config.subset_max {
            return all;
        }
        let own = self.config.subset_of.as_ref().map_or("", |vm| vm.as_str());
        all.sort_by_cached_key(|target| {
            let usable = target.state == crate::TargetState::Serving;
            std::cmp::Reverse((usable, target.home, rendezvous_weight(own, target.id.as_str())))
        });
        all.truncate(self.config.subset_max);
        all
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
