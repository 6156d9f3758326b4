//! Pool that assigns the slots of one service.

use std::collections::BTreeMap;
use std::time::Duration;

use shallotfork_types::{FailureDomain, Mono, PartsPerMillion, Permille, TargetId, Warmup};

use super::assign::TargetFilter;
use super::config::SlotPoolConfig;
use super::estimate::Estimates;
use super::fair_order::Populations;
use super::hedge::EarlyHedges;
use super::probe_budget::ProbeBudget;
use super::published::{SlotOutcome, SlotTarget, TargetLoad, TargetStateChange};
use super::queue::SlotQueue;
use super::rejections::RejectionMonitor;
use super::subset::{Sharer, SlotCounts};
use super::target::{Target, usable_slots};
use super::{SlotRequest, WorkClass};
use crate::{Admission, Assignment, AttemptId, ResolvedTicket, Shed, ShedReason, Ticket};

/// Scheduling delay of this process beyond which an answer that seems missing may have arrived
/// unread. Timers fire a millisecond or two late in any case.
const OWN_SCHEDULING_DELAY_MAX: Duration = Duration::from_millis(8);

/// Largest number of processes sharing the targets of a service at which each of them knows most of
/// the requests that run there.
const FEW_SHARERS_MAX: usize = 12;

/// Targets probed in one round per waiting request. Most of the probed targets are still slow; with
/// a single probe the end of a slow phase would often be missed.
const PROBES_PER_WAITING: usize = 4;

/// Excludes the answered request, which the target still counts as running, from its load report.
/// Counted as a request of another process, it would make the target look half full until the
/// report expires.
fn exclude_answered_request(load: TargetLoad) -> TargetLoad {
    TargetLoad { running: load.running.saturating_sub(1), ..load }
}

/// Decides which target serves each request of one service, and when.
///
/// - A target receives at most as many requests as it has slots, so that none is queued at the
///   target, where it could be neither reordered nor withdrawn.
/// - Requests that can still be answered within their objective are served first, then those
///   resubmitted after a rejection, then the rest; within each group by rank, then by arrival.
/// - A request whose waiting time is used up is rejected at once, with the time at which a slot is
///   expected, rather than kept until its caller gives up.
/// - If all serving targets look unhealthy, their health is ignored, so that requests are still
///   served.
#[derive(Debug)]
pub struct SlotPool {
    pub(super) config: SlotPoolConfig,
    pub(super) targets: BTreeMap<TargetId, Target>,
    pub(super) attempts: BTreeMap<AttemptId, TargetId>,
    pub(super) queue: SlotQueue,
    pub(super) estimates: Estimates,
    pub(super) early_hedges: EarlyHedges,
    /// State changes that the caller of the pool has not collected yet.
    pub(super) state_changes: Vec<TargetStateChange>,
    /// Processes that are advertised to callers and send requests to these targets.
    pub(super) sharers: Vec<Sharer>,
    /// Share of the usable slots for this process; `None` if all sharers have equal shares.
    pub(super) demand_share: Option<PartsPerMillion>,
    /// Share of the warm-up rate of cold targets that all sharers together may use.
    pub(super) sharers_total_share: Permille,
    /// Warm-up rate of cold targets; `None` if they have no such limit.
    pub(super) warmup: Option<Warmup>,
    pub(super) slot_counts: SlotCounts,
    /// Whether this process chooses among a part of the targets first.
    pub(super) is_divided: bool,
    /// Number of slots in use at a time at most. Recounted only when it may have changed.
    usable_slots: u32,
    /// Bounds the probes sent while requests wait.
    probe_budget: ProbeBudget,
    pub(super) rejections: RejectionMonitor,
    pub(super) populations: Populations,
    last_id: u64,
}

impl SlotPool {
    /// Creates a pool without targets.
    pub fn new(config: SlotPoolConfig) -> Self {
        let estimates = Estimates::new(config.initial_work_time);
        Self {
            config,
            targets: BTreeMap::new(),
            attempts: BTreeMap::new(),
            queue: SlotQueue::default(),
            estimates,
            early_hedges: EarlyHedges::default(),
            state_changes: Vec::new(),
            sharers: Vec::new(),
            demand_share: None,
            sharers_total_share: Permille::new(0),
            warmup: None,
            slot_counts: SlotCounts::default(),
            is_divided: false,
            usable_slots: 0,
            probe_budget: ProbeBudget::new(),
            rejections: RejectionMonitor::default(),
            populations: Populations::default(),
            last_id: 0,
        }
    }

    /// Returns the number of slots of all targets that take new work.
    pub(super) fn serving_slots(&self) -> u32 {
        self.slot_counts.serving_slots
    }

    /// Returns how many of the serving slots may be in use at a time.
    pub(super) fn usable_slots(&self) -> u32 {
        self.usable_slots
    }

    fn count_slots(&mut self) {
        self.slot_counts = SlotCounts::of(self.targets.values());
        self.count_usable_slots();
    }

    fn count_usable_slots(&mut self) {
        let kinds = self.slot_counts.kinds.iter();
        let usable = kinds
            .map(|((slots, part), count)| count * usable_slots(*slots, *part, &self.estimates));
        self.usable_slots = usable.sum();
    }

    /// Sets the published targets and keeps the state of those that were known before.
    pub fn set_targets(&mut self, published: Vec<SlotTarget>, now: Mono) -> Vec<ResolvedTicket> {
        let mut known = std::mem::take(&mut self.targets);
        let cold_for_max = self.cold_for_max();
        for mut target in published {
            target.cold_for = target.cold_for.min(cold_for_max);
            let id = target.id.clone();
            let next = match known.remove(&id) {
                Some(old) => old.with_published(target, now),
                None => Target::new(target, &self.config, now),
            };
            self.targets.insert(id, next);
        }
        self.add_warmup_shares(now);
        self.update_subset();
        self.count_slots();
        self.wake(now)
    }

    /// Stops the use of a target that takes no new work any more, ahead of what is published.
    pub fn stop_serving(&mut self, id: &TargetId, now: Mono) -> Vec<ResolvedTicket> {
        let Some(target) = self.targets.get_mut(id) else { return Vec::new() };
        target.published.serving = false;
        self.count_slots();
        self.wake(now)
    }

    /// Discards the state of a target that has restarted.
    pub fn reset_target(&mut self, id: &TargetId, now: Mono) {
        let Some(old) = self.targets.remove(id) else { return };
        let is_in_subset = old.is_in_subset;
        let mut target = Target::new(old.published, &self.config, now);
        target.is_in_subset = is_in_subset;
        self.targets.insert(id.clone(), target);
        self.add_warmup_shares(now);
    }

    /// Sets the time until which a target wants no requests from this process.
    pub fn set_rest(&mut self, id: &TargetId, until: Mono, now: Mono) -> Vec<ResolvedTicket> {
        let Some(target) = self.targets.get_mut(id) else { return Vec::new() };
        target.set_rest(until);
        self.wake(now)
    }

    /// Discards the failures of all targets, which were those of this process's own path to them.
    pub fn clear_failures(&mut self, now: Mono) -> Vec<ResolvedTicket> {
        self.targets.values_mut().for_each(Target::clear_failures);
        self.wake(now)
    }

    /// Admits, queues or sheds a request.
    pub fn admit(&mut self, request: SlotRequest, now: Mono) -> Admission {
        if request.deadline <= now {
            return Admission::Shed(self.shed(ShedReason::DeadlinePassed, now));
        }
        if !self.has_target_for(&request, now) {
            return Admission::Shed(self.shed(ShedReason::NoTarget, now));
        }
        self.populations.record_arrival(&request, now);
        let ahead = self.count_ahead(&request, now);
        // Requests in the queue can't use the slots that are free now, or they would have been
        // assigned.
        if let Some(assignment) = self.assign(&request, TargetFilter::NotSlow, now) {
            return Admission::Send(assignment);
        }
        let wait_until = self.wait_until(&request, now);
        if wait_until <= now {
            return self.assign_any_or_shed(&request, now);
        }
        let start = now.plus(self.expected_wait(ahead, &request, now));
        if self.queue.len() >= self.config.queue_max {
            return Admission::Shed(self.shed_for_lack_of_slot(ShedReason::QueueFull, now));
        }
        if start > wait_until {
            return Admission::Shed(self.shed_for_lack_of_slot(ShedReason::DeadlineTooNear, now));
        }
        let ticket = Ticket(self.next_id());
        self.queue.push(ticket, request);
        Admission::Queued(ticket)
    }

    /// Returns the rejection of a request that targets have turned away.
    pub fn shed_no_target(&self, now: Mono) -> Shed {
        self.shed(ShedReason::NoTarget, now)
    }

    /// Assigns a second target for a request that is in flight, if one is free now and no request
    /// waits.
    pub fn assign_hedge(&mut self, request: &SlotRequest, now: Mono) -> Option<Assignment> {
        if !self.queue.is_empty() {
            return None;
        }
        self.assign(request, TargetFilter::NotSlow, now)
    }

    /// Ends an attempt, records its outcome and assigns its slot to a waiting request.
    pub fn finish(
        &mut self,
        attempt: AttemptId,
        outcome: SlotOutcome,
        load: Option<TargetLoad>,
        now: Mono,
    ) -> Vec<ResolvedTicket> {
        let Some(id) = self.attempts.remove(&attempt) else { return Vec::new() };
        let ended = self.targets.get_mut(&id).and_then(|target| target.remove_attempt(attempt));
        if let Some(running) = ended {
            self.populations.record_end(&running.class, attempt, running.is_sent, now);
            self.record_attempt_outcome(&id, &running, outcome, load, now);
        }
        if let (Some(target), Some(load)) = (self.targets.get_mut(&id), load) {
            target.record_load(exclude_answered_request(load), &mut self.estimates, now);
        }
        self.count_usable_slots();
        self.probe_budget.record_answer();
        self.wake_for_target(&id, now)
    }

    /// Records the load that a target reported in a probe answer.
    pub fn record_load(
        &mut self,
        id: &TargetId,
        load: TargetLoad,
        now: Mono,
    ) -> Vec<ResolvedTicket> {
        let Some(target) = self.targets.get_mut(id) else { return Vec::new() };
        target.is_silent = false;
        target.record_load(load, &mut self.estimates, now);
        self.wake_for_target(id, now)
    }

    /// Removes a request from the queue.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.queue.remove(ticket);
    }

    /// Sheds requests that have waited long enough and uses targets whose ejection has ended. To be
    /// called at short intervals while requests wait.
    pub fn expire(&mut self, now: Mono) -> Vec<ResolvedTicket> {
        self.wake(now)
    }

    /// Returns when to call `expire` next; `None` while nothing waits.
    pub fn next_expiry(&self, now: Mono) -> Option<Mono> {
        let wait_ends =
            self.queue.iter().map(|(_, request)| self.wait_until(request, request.arrived_at));
        let first = wait_ends.min()?;
        let reinstated_at = self.targets.values().filter_map(Target::ejected_until);
        let reinstated_at = reinstated_at.filter(|until| *until > now).min();
        Some(reinstated_at.map_or(first, |at| at.min(first)))
    }

    /// Returns whether a target should be probed before a request is sent to it.
    pub fn needs_probe(&self, id: &TargetId, now: Mono) -> bool {
        let SlotPoolConfig { load_max_age, cold_report_max_age, .. } = self.config;
        let Some(target) = self.targets.get(id) else { return false };
        let is_stale = target.is_slowdown_stale(now, load_max_age)
            || self.warmup.is_some() && target.is_cold_report_stale(now, cold_report_max_age);
        self.estimates.may_report_slowdown() && target.rate_share.is_none() && is_stale
    }

    /// Returns whether a later slot or one at another target is better than the assigned one,
    /// because the target takes no new work any more, rests, has turned cold, reports a slow phase, or is
    /// filled by other processes.
    pub fn is_unfit(&self, assignment: &Assignment, request: &SlotRequest, now: Mono) -> bool {
        let Some(target) = self.targets.get(&assignment.target) else { return true };
        !target.published.serving
            || target.resting_until(now).is_some()
            || target.was_assigned_warm(assignment.attempt)
            || target.is_overfilled(now)
            || target.is_slow(request, now, &self.config, &self.estimates)
    }

    /// Records that a target answered without reporting its load. If no target has ever reported
    /// its load, none is probed again.
    pub fn record_missing_load(&mut self) {
        self.estimates.record_missing_load();
    }

    /// Records that an attempt is sent to its target now. Returns whether the target is cold.
    pub fn mark_sent(&mut self, attempt: AttemptId, now: Mono) -> bool {
        let Some(id) = self.attempts.get(&attempt) else { return false };
        let Some(target) = self.targets.get_mut(id) else { return false };
        target.mark_sent(attempt, now, &self.config, &self.estimates);
        target.is_cold(now)
    }

    /// Records that a target has not answered a load probe promptly. It most likely has no free
    /// slot for the probe, so other targets are preferred until it answers.
    pub fn record_unanswered_probe(&mut self, id: &TargetId) {
        self.estimates.record_probe(false);
        if let Some(target) = self.targets.get_mut(id) {
            target.is_silent = true;
        }
    }

    /// Records that a target has answered a load probe promptly.
    pub fn record_prompt_probe(&mut self) {
        self.estimates.record_probe(true);
    }

    /// Returns the rejection of a request that found only targets which leave the probe waiting, as
    /// full ones do. Returns `None` if healthy targets of this service answer just as late, or if
    /// the targets are shared by so few processes that this one's own count of free slots is more
    /// accurate.
    pub fn shed_full(&self, now: Mono) -> Option<Shed> {
        let is_full = self.sharers.len() > FEW_SHARERS_MAX && self.estimates.are_probes_prompt();
        is_full.then(|| self.shed(ShedReason::DeadlineTooNear, now))
    }

    /// Records that a target has answered a load probe without reporting its load.
    pub fn record_probe_without_load(&mut self, id: &TargetId) {
        if let Some(target) = self.targets.get_mut(id) {
            target.is_silent = false;
        }
    }

    /// Records that a load probe could not be sent or was not answered at all. `scheduling_delay`
    /// is how late this process noticed it.
    ///
    /// A process that is short of processor time reads answers too late although they arrived in
    /// time. Right after a loss of all entries this would eject healthy targets by the dozen.
    pub fn record_failed_probe(&mut self, id: &TargetId, scheduling_delay: Duration, now: Mono) {
        let Some(target) = self.targets.get_mut(id) else { return };
        target.is_silent = false;
        if scheduling_delay <= OWN_SCHEDULING_DELAY_MAX {
            let change = target.record_failed_probe(&self.config, now);
            self.state_changes
                .extend(change.map(|change| TargetStateChange { target: id.clone(), change }));
        }
    }

    /// Returns the targets with a free slot whose slowdown may have changed, if requests wait, and
    /// marks them as probed. Local targets come first, then those with the oldest report.
    ///
    /// The number of probes is bounded by the number of waiting requests and of recent answers.
    /// Probing hundreds of targets 40 times a second takes the processor time that the requests
    /// wait for: the queue grows, more targets are probed, and the overload outlasts the burst that
    /// caused it.
    pub fn due_probes(&mut self, now: Mono) -> Vec<TargetId> {
        if self.queue.is_empty() {
            return Vec::new();
        }
        let (config, estimates, has_reached_share) =
            (&self.config, &self.estimates, self.has_reached_share());
        let serving = self.targets.iter().filter(|(_, target)| target.published.serving);
        let due_targets = serving
            .filter(|(_, target)| target.is_probe_due(now, config, estimates, has_reached_share));
        let mut candidates: Vec<(bool, Mono, &TargetId)> = due_targets
            .map(|(id, target)| (target.is_remote(config), target.slowdown_reported_at(), id))
            .collect();
        candidates.sort();
        let wanted = self.queue.len() * PROBES_PER_WAITING;
        candidates.truncate(self.probe_budget.acquire(wanted.min(candidates.len()), now));
        let due: Vec<TargetId> = candidates.into_iter().map(|(_, _, id)| id.clone()).collect();
        for id in &due {
            if let Some(target) = self.targets.get_mut(id) {
                target.mark_probed(now);
            }
        }
        due
    }

    /// Returns the state changes of targets since the last call.
    pub fn take_state_changes(&mut self) -> Vec<TargetStateChange> {
        std::mem::take(&mut self.state_changes)
    }

    /// Returns the number of queued requests.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of attempts in flight at targets of one failure domain.
    pub fn running_in(&self, failure_domain: &FailureDomain) -> usize {
        let is_in_domain = |t: &&Target| t.published.failure_domain == *failure_domain;
        self.targets.values().filter(is_in_domain).map(|target| target.running.len()).sum()
    }

    /// Returns the number of attempts in flight.
    pub fn running(&self) -> usize {
        self.attempts.len()
    }

    /// Returns the expected time of a class at a target of average speed.
    pub fn usual_time(&self, class: &WorkClass) -> Duration {
        Duration::from_micros(
            (self.estimates.work_us(class) * self.estimates.mean_slowdown()) as u64,
        )
    }

    pub(super) fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }
}
