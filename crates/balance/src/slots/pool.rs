//! Gives out the slots of one service.

use std::collections::BTreeMap;
use std::time::Duration;

use shallotfork_types::{FailureDomain, Mono, Permille, TargetId, Warmup};

use super::config::SlotPoolConfig;
use super::estimate::Learnt;
use super::probe_budget::ProbeBudget;
use super::published::{SlotOutcome, SlotTarget, TargetLoad, TargetStateChange};
use super::queue::SlotQueue;
use super::target::Target;
use super::{SlotRequest, WorkClass};
use crate::{Admission, Assignment, AttemptId, ResolvedTicket, Shed, ShedReason, Ticket};

/// Beyond this, what did not come in time may have come; a timer is a millisecond or two late.
const OWN_LATENESS_MAX: Duration = Duration::from_millis(8);

/// Processes that share the targets of a service and each know most of what runs there.
const FEW_SHARERS: usize = 12;

/// Targets that are asked at one turn for each request that waits. Most of those that are asked turn
/// out to be slow still; with one, the end of a slow phase would often go unseen.
const PROBES_PER_WAITING: usize = 4;

/// Which targets may be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Choice {
    /// Those that don't say that they are slow at the moment.
    Quick,
    /// All with a free slot.
    Any,
}

/// A target that answers a request still counts it as running. Taken for a request of another
/// process, it would make the target look half full for as long as the report counts.
fn without_the_answered(figures: TargetLoad) -> TargetLoad {
    TargetLoad { running: figures.running.saturating_sub(1), ..figures }
}

/// Decides for one service which request goes to which target, and when.
///
/// - At most as many requests are at a target as it has slots, so that none waits there, where it
///   could neither be reordered nor taken back.
/// - Requests that can still be answered within their objective go first, then those that come
///   back after a refusal, then the rest; within each by rank, then by arrival.
/// - A request that has waited for its whole allowance is refused at once with the time when a
///   slot is expected, rather than kept until its caller gives up.
/// - When all serving targets look bad, the evidence is ignored rather than serving nobody.
#[derive(Debug)]
pub struct SlotPool {
    pub(super) config: SlotPoolConfig,
    pub(super) targets: BTreeMap<TargetId, Target>,
    pub(super) attempts: BTreeMap<AttemptId, TargetId>,
    pub(super) queue: SlotQueue,
    pub(super) learnt: Learnt,
    /// Changes of belief that nobody has taken yet.
    beliefs: Vec<TargetStateChange>,
    /// Names of the processes that callers are sent to, which send requests to these targets.
    pub(super) sharers: Vec<String>,
    /// The part of what cold targets bear that these processes may use.
    pub(super) sharers_part: Permille,
    /// What targets bear while they are cold; `None` if they have no such limit.
    pub(super) warmup: Option<Warmup>,
    serving_slots: u32,
    /// Those of them that are used at a time. Counted when it may change, and not for each choice:
    /// with hundreds of targets and waiting requests that would take longer than serving them.
    usable_slots: u32,
    /// Bounds the probes while requests wait.
    probes: ProbeBudget,
    last_id: u64,
}

impl SlotPool {
    /// A pool without targets.
    pub fn new(config: SlotPoolConfig) -> Self {
        let learnt = Learnt::new(config.initial_work_time);
        Self {
            config,
            targets: BTreeMap::new(),
            attempts: BTreeMap::new(),
            queue: SlotQueue::default(),
            learnt,
            beliefs: Vec::new(),
            sharers: Vec::new(),
            sharers_part: Permille::new(0),
            warmup: None,
            serving_slots: 0,
            usable_slots: 0,
            probes: ProbeBudget::new(),
            last_id: 0,
        }
    }

    /// Whether this process uses as many slots as any of those that share them may.
    ///
    /// Under overload each process fills a slot that it gives back again before another one hears of
    /// it: whoever happened to have most went on having most, and of three processes with equal load
    /// one refused 300 requests a second and the others ten. One that has its share leaves slots far
    /// away to those nearby; one that has less takes what is free anywhere, since its own failure
    /// domain may have few.
    pub(super) fn has_share(&self) -> bool {
        self.attempts.len() * self.sharers.len().max(1) >= self.usable_slots() as usize
    }

    /// Slots of all targets that take new work.
    pub(super) fn serving_slots(&self) -> u32 {
        self.serving_slots
    }

    /// Those of them that are used at a time.
    pub(super) fn usable_slots(&self) -> u32 {
        self.usable_slots
    }

    fn count_usable_slots(&mut self) {
        let serving = self.targets.values().filter(|target| target.published.serving);
        self.usable_slots = serving.map(|target| target.usable_slots(&self.learnt)).sum();
    }

    /// Takes the published targets; what is known of those that stay is kept.
    pub fn set_targets(&mut self, published: Vec<SlotTarget>, now: Mono) -> Vec<ResolvedTicket> {
        let mut known = std::mem::take(&mut self.targets);
        let cold_max = self.cold_max();
        for mut target in published {
            target.cold_for = target.cold_for.min(cold_max);
            let id = target.id.clone();
            let next = match known.remove(&id) {
                Some(old) => old.with_published(target, now),
                None => Target::new(target, &self.config, now),
            };
            self.targets.insert(id, next);
        }
        let serving = self.targets.values().filter(|target| target.published.serving);
        self.serving_slots = serving.map(|target| target.published.slots).sum();
        self.add_warmup_shares(now);
        self.count_usable_slots();
        self.wake(now)
    }

    /// Forgets what is known of a target that has started again.
    pub fn reset_target(&mut self, id: &TargetId, now: Mono) {
        let Some(old) = self.targets.remove(id) else { return };
        self.targets.insert(id.clone(), Target::new(old.published, &self.config, now));
        self.add_warmup_shares(now);
    }

    /// Decides about a request.
    pub fn admit(&mut self, ask: SlotRequest, now: Mono) -> Admission {
        if ask.deadline <= now {
            return Admission::Shed(self.shed(ShedReason::DeadlinePassed, now));
        }
        if !self.has_target_for(&ask, now) {
            return Admission::Shed(self.shed(ShedReason::NoTarget, now));
        }
        let ahead = self.queue.iter().filter(|(_, other)| self.goes_before(other, &ask, now));
        let ahead = ahead.count();
        // Whoever waits can't use what is free now, or would have it already.
        if let Some(assignment) = self.assign(&ask, Choice::Quick, now) {
            return Admission::Send(assignment);
        }
        let wait_end = self.wait_end(&ask, now);
        if wait_end <= now {
            return self.assign_any_or_shed(&ask, now);
        }
        let start = now.plus(self.expected_wait(ahead, &ask, now));
        if self.queue.len() >= self.config.queue_max {
            return Admission::Shed(self.shed(ShedReason::QueueFull, now));
        }
        if start > wait_end {
            return Admission::Shed(self.shed(ShedReason::DeadlineTooNear, now));
        }
        let ticket = Ticket(self.next_id());
        self.queue.push(ticket, ask);
        Admission::Queued(ticket)
    }

    /// The refusal of a request that targets have turned away.
    pub fn shed_no_target(&self, now: Mono) -> Shed {
        self.shed(ShedReason::NoTarget, now)
    }

    /// A second target for a request that is in flight, if one is free now.
    pub fn assign_hedge(&mut self, ask: &SlotRequest, now: Mono) -> Option<Assignment> {
        if !self.queue.is_empty() {
            return None;
        }
        self.assign(ask, Choice::Quick, now)
    }

    /// Takes an attempt back, learns from its outcome and gives its slot to a waiting request.
    pub fn finish(
        &mut self,
        attempt: AttemptId,
        outcome: SlotOutcome,
        figures: Option<TargetLoad>,
        now: Mono,
    ) -> Vec<ResolvedTicket> {
        let Some(id) = self.attempts.remove(&attempt) else { return Vec::new() };
        if let Some(target) = self.targets.get_mut(&id) {
            if let Some(running) = target.end(attempt) {
                let change = target.learn(&running, outcome, &self.config, &mut self.learnt, now);
                let belief = change.map(|change| TargetStateChange { target: id.clone(), change });
                self.beliefs.extend(belief);
            }
            if let Some(figures) = figures {
                target.report(without_the_answered(figures), &mut self.learnt, now);
            }
        }
        self.count_usable_slots();
        self.probes.answered();
        self.wake_for(&id, now)
    }

    /// Takes a target's account of its load that came with a probe's answer.
    pub fn record_load(
        &mut self,
        id: &TargetId,
        figures: TargetLoad,
        now: Mono,
    ) -> Vec<ResolvedTicket> {
        let Some(target) = self.targets.get_mut(id) else { return Vec::new() };
        target.is_silent = false;
        target.report(figures, &mut self.learnt, now);
        self.wake_for(id, now)
    }

    /// Gives up a place in the queue.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.queue.remove(ticket);
    }

    /// Refuses those who have waited long enough and uses targets whose time has come. To be called
    /// at short intervals while requests wait.
    pub fn expire(&mut self, now: Mono) -> Vec<ResolvedTicket> {
        self.wake(now)
    }

    /// When to call `expire` next; `None` while nothing waits.
    pub fn next_expiry(&self, now: Mono) -> Option<Mono> {
        let ends = self.queue.iter().map(|(_, ask)| self.wait_end(ask, ask.arrived_at));
        let first = ends.min()?;
        let returning = self.targets.values().filter_map(Target::ejected_until);
        let returning = returning.filter(|until| *until > now).min();
        Some(returning.map_or(first, |at| at.min(first)))
    }

    /// Whether a target should be asked for its pace before a request is sent to it.
    pub fn needs_probe(&self, id: &TargetId, now: Mono) -> bool {
        let SlotPoolConfig { load_max_age, cold_report_max_age, .. } = self.config;
        let Some(target) = self.targets.get(id) else { return false };
        let is_stale = target.pace_is_stale(now, load_max_age)
            || self.warmup.is_some() && target.may_have_turned_cold(now, cold_report_max_age);
        self.learnt.may_have_paces() && target.rate_share.is_none() && is_stale
    }

    /// Whether another slot than the one assigned, or a later one, is better: the target takes no new
    /// work any more, has turned cold, works slowly now by its own word, or is filled by other
    /// processes.
    pub fn is_unfit(&self, assignment: &Assignment, ask: &SlotRequest, now: Mono) -> bool {
        let Some(target) = self.targets.get(&assignment.target) else { return true };
        !target.published.serving
            || target.was_assigned_warm(assignment.attempt)
            || target.is_overfull(now)
            || target.is_slow(ask, now, &self.config, &self.learnt)
    }

    /// A target answered without telling its load. If none has ever told it, none is asked again.
    pub fn record_missing_load(&mut self) {
        self.learnt.untold();
    }

    /// An attempt leaves for its target now. Returns whether the target is cold.
    pub fn mark_sent(&mut self, attempt: AttemptId, now: Mono) -> bool {
        let Some(id) = self.attempts.get(&attempt) else { return false };
        let Some(target) = self.targets.get_mut(id) else { return false };
        target.sending(attempt, now, &self.config, &self.learnt);
        target.is_cold(now)
    }

    /// A target has not answered soon when it was asked for its load. It most likely has no slot for
    /// the question; until it answers, others are chosen before it.
    pub fn record_unanswered_probe(&mut self, id: &TargetId) {
        self.learnt.saw_question(false);
        if let Some(target) = self.targets.get_mut(id) {
            target.is_silent = true;
        }
    }

    /// A target has answered soon when it was asked for its load.
    pub fn record_prompt_probe(&mut self) {
        self.learnt.saw_question(true);
    }

    /// The refusal of a request that found only targets which let the question wait, as full ones do;
    /// `None` if sound targets of this service answer as late, or if so few processes share the targets
    /// that this one's own count of free slots says more.
    pub fn shed_full(&self, now: Mono) -> Option<Shed> {
        let is_full = self.sharers.len() > FEW_SHARERS && self.learnt.answers_soon();
        is_full.then(|| self.shed(ShedReason::DeadlineTooNear, now))
    }

    /// A target has answered a question about its load without telling it.
    pub fn record_probe_without_load(&mut self, id: &TargetId) {
        if let Some(target) = self.targets.get_mut(id) {
            target.is_silent = false;
        }
    }

    /// A target could not be asked for its load, or has not answered at all. This process noticed
    /// later than it wanted to, by `late_by`.
    ///
    /// A process that is short of processor time finds no answer in time although all have come.
    /// Right after a loss of all entries that would leave out sound targets by the dozen.
    pub fn record_failed_probe(&mut self, id: &TargetId, late_by: Duration, now: Mono) {
        let Some(target) = self.targets.get_mut(id) else { return };
        target.is_silent = false;
        if late_by <= OWN_LATENESS_MAX {
            let change = target.probe_failed(&self.config, now);
            self.beliefs
                .extend(change.map(|change| TargetStateChange { target: id.clone(), change }));
        }
    }

    /// Targets with a free slot whose pace may have changed, while requests wait for one; each
    /// counts as probed from now on. Near ones first, and those that were heard of longest ago.
    ///
    /// A few for each request that waits, and not many more than there are answers to show for it.
    /// When all targets are asked at each turn, hundreds of them 40 times a second, asking takes the
    /// processor time that the requests wait for: the queue grows, more targets are asked, and that
    /// lasts long after the burst that began it.
    pub fn due_probes(&mut self, now: Mono) -> Vec<TargetId> {
        if self.queue.is_empty() {
            return Vec::new();
        }
        let (config, learnt, has_share) = (&self.config, &self.learnt, self.has_share());
        let serving = self.targets.iter().filter(|(_, target)| target.published.serving);
        let wanted =
            serving.filter(|(_, target)| target.wants_probe(now, config, learnt, has_share));
        let mut order: Vec<(bool, Mono, &TargetId)> =
            wanted.map(|(id, target)| (target.is_far(config), target.told_at(), id)).collect();
        order.sort();
        let useful = self.queue.len() * PROBES_PER_WAITING;
        order.truncate(self.probes.take(useful.min(order.len()), now));
        let due: Vec<TargetId> = order.into_iter().map(|(_, _, id)| id.clone()).collect();
        for id in &due {
            if let Some(target) = self.targets.get_mut(id) {
                target.probed(now);
            }
        }
        due
    }

    /// What has changed in the beliefs about targets since the last call.
    pub fn take_state_changes(&mut self) -> Vec<TargetStateChange> {
        std::mem::take(&mut self.beliefs)
    }

    /// Requests waiting here.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Attempts in flight at targets of one failure domain.
    pub fn running_in(&self, failure_domain: &FailureDomain) -> usize {
        let there = |t: &&Target| t.published.failure_domain == *failure_domain;
        self.targets.values().filter(there).map(|target| target.running.len()).sum()
    }

    /// Attempts in flight.
    pub fn running(&self) -> usize {
        self.attempts.len()
    }

    /// Expected time of a class at a target of usual speed.
    pub fn usual_time(&self, class: &WorkClass) -> Duration {
        Duration::from_micros((self.learnt.work_us(class) * self.learnt.mean_pace()) as u64)
    }

    pub(super) fn has_target_for(&self, ask: &SlotRequest, now: Mono) -> bool {
        self.targets.iter().any(|(id, t)| t.accepts_work(now) && !ask.exclude.contains(id))
    }

    pub(super) fn assign(
        &mut self,
        ask: &SlotRequest,
        choice: Choice,
        now: Mono,
    ) -> Option<Assignment> {
        self.assign_among(ask, choice, None, now)
    }

    /// A slot of the best target, or of one only.
    pub(super) fn assign_among(
        &mut self,
        ask: &SlotRequest,
        choice: Choice,
        only: Option<&TargetId>,
        now: Mono,
    ) -> Option<Assignment> {
        let (config, learnt, has_share) = (&self.config, &self.learnt, self.has_share());
        let among = match only {
            Some(id) => self.targets.range::<TargetId, _>(id..=id),
            None => self.targets.range::<TargetId, _>(..),
        };
        let open = among.filter(|(id, target)| {
            target.published.serving
                && !ask.exclude.contains(id)
                && target.open_slots(now, config, learnt, has_share) > 0
        });
        let open = open.filter(|(_, target)| {
            choice == Choice::Any || !target.is_slow(ask, now, config, learnt)
        });
        let (good, bad): (Vec<_>, Vec<_>) =
            open.partition(|(_, target)| target.looks_sound(now, config));
        let candidates = if good.is_empty() && self.ignores_evidence(now) { bad } else { good };
        let cost = |target: &Target| target.cost_us(ask, now, config, learnt);
        let order = |a: &Target, b: &Target| cost(a).total_cmp(&cost(b)).then(a.turn.cmp(&b.turn));
        let best = candidates.into_iter().min_by(|a, b| order(a.1, b.1));
        let id = best?.0.clone();
        let attempt = AttemptId(self.next_id());
        let target = self.targets.get_mut(&id)?;
        target.start(attempt, &ask.class, now);
        self.attempts.insert(attempt, id.clone());
        Some(Assignment { attempt, target: id })
    }

    /// For a request that has waited long enough: a slow slot is better than none, unless more
    /// requests wait than slots are free. Then each slot that is used in a slow phase, for five
    /// times as long, keeps several of them waiting until they are late too.
    pub(super) fn assign_any_or_shed(&mut self, ask: &SlotRequest, now: Mono) -> Admission {
        let choice =
            if self.queue.len() <= self.free_slots(now) { Choice::Any } else { Choice::Quick };
        match self.assign(ask, choice, now) {
            Some(assignment) => Admission::Send(assignment),
            None => Admission::Shed(self.shed(ShedReason::DeadlineTooNear, now)),
        }
    }

    /// Whether all targets look bad, so that the fault is more likely this process's own. While some
    /// look sound, even if they are full, those that look bad are not tried: after the loss of a
    /// failure domain requests would be spent on dead targets and refused, that a sound one could have
    /// served a moment later.
    fn ignores_evidence(&self, now: Mono) -> bool {
        let mut serving = self.targets.values().filter(|target| target.published.serving);
        serving.all(|target| !target.looks_sound(now, &self.config))
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }
}
