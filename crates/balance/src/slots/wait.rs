//! Ranking of waiting requests, their waiting time, and rejections.

use std::time::Duration;

use shallotfork_types::{Mono, TargetId};

use super::target::Target;
use super::{SlotPool, SlotRequest};
use crate::{Shed, ShedReason};

/// Multiple of its usual time that a request must have left when its wait ends.
const SERVICE_MARGIN: f64 = 1.2;

impl SlotPool {
    /// Returns whether a target of average speed could still answer the request within its
    /// objective.
    pub(super) fn can_meet_objective(&self, request: &SlotRequest, now: Mono) -> bool {
        now.plus(Duration::from_micros(self.estimates.work_us(&request.class) as u64))
            <= request.objective
    }

    pub(super) fn rank_key(&self, request: &SlotRequest, now: Mono) -> (bool, bool, u32, Mono) {
        (
            !self.can_meet_objective(request, now),
            !request.is_resubmitted,
            request.rank,
            request.arrived_at,
        )
    }

    pub(super) fn precedes(&self, other: &SlotRequest, request: &SlotRequest, now: Mono) -> bool {
        self.rank_key(other, now) <= self.rank_key(request, now)
    }

    /// Returns the time until which a request waits: as long as it can still be answered within its
    /// objective. Rejected earlier, it would be resubmitted too late for that, and a shorter wait
    /// would give up requests that can still be in time. A request whose slot is not expected by
    /// then is rejected at once.
    pub(super) fn wait_until(&self, request: &SlotRequest, now: Mono) -> Mono {
        let work = Duration::from_micros(self.estimates.work_us(&request.class) as u64);
        let until_objective = request.objective.since(request.arrived_at);
        let until_deadline = request.deadline.since(request.arrived_at);
        let late = request.arrived_at.plus(until_deadline * self.config.late_wait_permille / 1000);
        if request.is_resubmitted || !self.can_meet_objective(request, now) {
            return late;
        }
        let slack = until_objective.saturating_sub(work.mul_f64(SERVICE_MARGIN));
        request.arrived_at.plus(slack)
    }

    /// Returns the expected waiting time for a slot with `ahead` requests ranked before this one.
    /// Free slots are expected to be usable soon, even in a slow phase. Beyond them Little's law
    /// applies: with all slots in use, one becomes free every (usual time / slots).
    pub(super) fn expected_wait(&self, ahead: usize, request: &SlotRequest, now: Mono) -> Duration {
        let usable = |(id, target): &(&TargetId, &Target)| {
            let healthy = target.looks_healthy(now, &self.config);
            target.published.serving && healthy && !request.exclude.contains(id)
        };
        let has_reached_share = self.has_reached_share();
        let free = self.targets.iter().filter(usable).map(|(_, target)| {
            target.open_slots(now, &self.config, &self.estimates, has_reached_share)
        });
        let free = free.sum::<u32>() as usize;
        self.time_until_slots((ahead + 1).saturating_sub(free), now)
    }

    /// Returns the number of free slots at targets that look healthy, slow ones included.
    pub(super) fn free_slots(&self, now: Mono) -> usize {
        let healthy = |target: &&Target| target.looks_healthy(now, &self.config);
        let has_reached_share = self.has_reached_share();
        let serving = self.targets.values().filter(|target| target.published.serving);
        serving
            .filter(healthy)
            .map(|target| {
                target.open_slots(now, &self.config, &self.estimates, has_reached_share) as usize
            })
            .sum()
    }

    fn time_until_slots(&self, count: usize, now: Mono) -> Duration {
        let slots = self.effective_slots(now);
        if slots <= 0.0 {
            return self.config.retry_after_max;
        }
        let wait_us = self.estimates.mean_work_us() * count as f64 / slots;
        Duration::from_micros(wait_us as u64)
    }

    /// Returns the number of slots that this process can keep busy. A resting target doesn't
    /// count, and one that is cold or has a rate limit only for the slots that this process's share occupies on average.
    fn effective_slots(&self, now: Mono) -> f64 {
        let usual_s = self.estimates.mean_work_us() / 1e6;
        let unused_at = |target: &Target| {
            let slots = f64::from(target.usable_slots(&self.estimates));
            if target.resting_until(now).is_some() {
                return slots;
            }
            let used = target.shares(now).map(|share| share.share().per_s() * usual_s);
            (slots - used.fold(slots, f64::min)).max(0.0)
        };
        let serving = self.targets.values().filter(|target| target.published.serving);
        let unused: f64 = serving.map(unused_at).sum();
        f64::from(self.usable_slots().max(1)) - unused
    }

    /// Returns the end of the first rest if all serving targets rest.
    fn all_resting_until(&self, now: Mono) -> Option<Mono> {
        let serving = self.targets.values().filter(|target| target.published.serving);
        let rests: Option<Vec<Mono>> = serving.map(|target| target.resting_until(now)).collect();
        rests?.into_iter().min()
    }

    pub(super) fn shed(&self, reason: ShedReason, now: Mono) -> Shed {
        if let Some(until) = self.all_resting_until(now) {
            return Shed { retry_after: until.since(now), reason };
        }
        if reason == ShedReason::NoTarget
            && let Some(retry_after) = self.random_rejection_retry_after(now)
        {
            return Shed { retry_after, reason };
        }
        let reinstated_at = self.targets.values().filter_map(Target::ejected_until);
        let reinstated_at = reinstated_at.filter(|until| *until > now).min();
        let wait = match (reason, reinstated_at) {
            // Without any slots there is no better estimate.
            _ if self.serving_slots() == 0 => self.config.retry_after_max,
            (ShedReason::NoTarget, Some(until)) => until.since(now),
            _ => self.time_until_slots(self.queue.len() + 1, now),
        };
        let wait = wait.clamp(self.config.retry_after_min, self.config.retry_after_max);
        Shed { retry_after: wait, reason }
    }
}
