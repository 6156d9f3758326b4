//! Who goes first, how long a request may wait, and what a refused one is told.

use std::time::Duration;

use shallotfork_types::{Mono, TargetId};

use super::target::Target;
use super::{SlotPool, SlotRequest};
use crate::{Shed, ShedReason};

/// Multiple of its usual time for which a request must still have time when its wait ends.
const SERVICE_MARGIN: f64 = 1.2;

impl SlotPool {
    /// Whether the request could still be answered within its objective by a target of usual
    /// speed.
    pub(super) fn is_in_time(&self, ask: &SlotRequest, now: Mono) -> bool {
        now.plus(Duration::from_micros(self.learnt.work_us(&ask.class) as u64)) <= ask.objective
    }

    pub(super) fn order(&self, ask: &SlotRequest, now: Mono) -> (bool, bool, u32, Mono) {
        (!self.is_in_time(ask, now), !ask.is_resubmitted, ask.rank, ask.arrived_at)
    }

    pub(super) fn goes_before(&self, other: &SlotRequest, ask: &SlotRequest, now: Mono) -> bool {
        self.order(other, now) <= self.order(ask, now)
    }

    /// When a request has waited long enough: for as long as it can still be answered within its
    /// objective. Refused sooner, it comes back too late for that; it is refused at once if its turn
    /// is not expected by then. A shorter wait would give up requests that can still be
    /// in time.
    pub(super) fn wait_end(&self, ask: &SlotRequest, now: Mono) -> Mono {
        let work = Duration::from_micros(self.learnt.work_us(&ask.class) as u64);
        let until_objective = ask.objective.since(ask.arrived_at);
        let until_deadline = ask.deadline.since(ask.arrived_at);
        let late = ask.arrived_at.plus(until_deadline * self.config.late_wait_permille / 1000);
        if ask.is_resubmitted || !self.is_in_time(ask, now) {
            return late;
        }
        let slack = until_objective.saturating_sub(work.mul_f64(SERVICE_MARGIN));
        ask.arrived_at.plus(slack)
    }

    /// How long a request with so many ahead of it waits for a slot. One that is free now, though in
    /// a slow phase, is waited for on trust; for the others Little's law holds: with all slots
    /// taken, one gets free every (usual time / slots).
    pub(super) fn expected_wait(&self, ahead: usize, ask: &SlotRequest, now: Mono) -> Duration {
        let usable = |(id, target): &(&TargetId, &Target)| {
            let good = target.looks_sound(now, &self.config);
            target.published.serving && good && !ask.exclude.contains(id)
        };
        let has_share = self.has_share();
        let free = self
            .targets
            .iter()
            .filter(usable)
            .map(|(_, target)| target.open_slots(now, &self.config, &self.learnt, has_share));
        let free = free.sum::<u32>() as usize;
        self.wait_for_slots((ahead + 1).saturating_sub(free), now)
    }

    /// Free slots at targets that look sound, slow ones included.
    pub(super) fn free_slots(&self, now: Mono) -> usize {
        let good = |target: &&Target| target.looks_sound(now, &self.config);
        let has_share = self.has_share();
        let serving = self.targets.values().filter(|target| target.published.serving);
        serving
            .filter(good)
            .map(|target| target.open_slots(now, &self.config, &self.learnt, has_share) as usize)
            .sum()
    }

    fn wait_for_slots(&self, count: usize, now: Mono) -> Duration {
        let slots = self.effective_slots(now);
        if slots <= 0.0 {
            return self.config.retry_after_max;
        }
        let wait_us = self.learnt.usual_us() * count as f64 / slots;
        Duration::from_micros(wait_us as u64)
    }

    /// Number of slots that this process can keep busy. A target with a limit, or one that is cold,
    /// counts only for the slots that this process's share occupies on average.
    fn effective_slots(&self, now: Mono) -> f64 {
        let usual_s = self.learnt.usual_us() / 1e6;
        let unused_at = |target: &Target| {
            let slots = f64::from(target.usable_slots(&self.learnt));
            let used = target.shares(now).map(|share| share.share().per_s() * usual_s);
            (slots - used.fold(slots, f64::min)).max(0.0)
        };
        let serving = self.targets.values().filter(|target| target.published.serving);
        let unused: f64 = serving.map(unused_at).sum();
        f64::from(self.usable_slots().max(1)) - unused
    }

    pub(super) fn shed(&self, reason: ShedReason, now: Mono) -> Shed {
        let returning = self.targets.values().filter_map(Target::ejected_until);
        let returning = returning.filter(|until| *until > now).min();
        let wait = match (reason, returning) {
            // No slot is expected, so that there is no better estimate.
            _ if self.serving_slots() == 0 => self.config.retry_after_max,
            (ShedReason::NoTarget, Some(until)) => until.since(now),
            _ => self.wait_for_slots(self.queue.len() + 1, now),
        };
        let wait = wait.clamp(self.config.retry_after_min, self.config.retry_after_max);
        Shed { retry_after: wait, reason }
    }
}
