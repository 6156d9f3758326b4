//! Choice of the target whose slot a request gets.

use shallotfork_types::{Mono, TargetId};

use super::target::Target;
use super::{SlotPool, SlotRequest};
use crate::{Admission, Assignment, AttemptId, ShedReason};

/// Selects which targets may be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TargetFilter {
    /// Targets that don't report a slow phase.
    NotSlow,
    /// Targets that neither report a slow phase nor would be saturated by the request.
    UnsaturatedNotSlow,
    /// All targets with a free slot.
    Any,
}

/// A target with what it is compared by.
struct Ranked<'a> {
    cost_us: f64,
    tie_breaker: u64,
    id: &'a TargetId,
}

impl Ranked<'_> {
    fn precedes(&self, other: &Self) -> bool {
        let by_cost = self.cost_us.total_cmp(&other.cost_us);
        by_cost.then(self.tie_breaker.cmp(&other.tie_breaker)).is_lt()
    }
}

impl SlotPool {
    pub(super) fn has_target_for(&self, request: &SlotRequest, now: Mono) -> bool {
        self.targets.iter().any(|(id, t)| t.accepts_work(now) && !request.exclude.contains(id))
    }

    /// Assigns a slot of the best target in the subset of this process, or of the best of all targets
    /// if none in the subset is open and healthy.
    pub(super) fn assign(
        &mut self,
        request: &SlotRequest,
        filter: TargetFilter,
        now: Mono,
    ) -> Option<Assignment> {
        if self.is_divided {
            let in_subset = self.targets.iter().filter(|(_, target)| target.is_in_subset);
            if let (Some(id), _) = self.best_targets(in_subset, request, filter, now) {
                return self.assign_to(id.clone(), request, now);
            }
        }
        self.assign_among(request, filter, None, now)
    }

    /// Assigns a slot of the best target, or of the target `only`.
    pub(super) fn assign_among(
        &mut self,
        request: &SlotRequest,
        filter: TargetFilter,
        only: Option<&TargetId>,
        now: Mono,
    ) -> Option<Assignment> {
        let among = match only {
            Some(id) => self.targets.range::<TargetId, _>(id..=id),
            None => self.targets.range::<TargetId, _>(..),
        };
        let (healthy, unhealthy) = self.best_targets(among, request, filter, now);
        let best = match healthy {
            None if self.ignores_health(now) => unhealthy,
            healthy => healthy,
        };
        let id = best?.clone();
        self.assign_to(id, request, now)
    }

    /// Returns the best target that looks healthy and the best one that doesn't.
    fn best_targets<'a>(
        &self,
        among: impl Iterator<Item = (&'a TargetId, &'a Target)>,
        request: &SlotRequest,
        filter: TargetFilter,
        now: Mono,
    ) -> (Option<&'a TargetId>, Option<&'a TargetId>) {
        let (config, estimates, has_reached_share) =
            (&self.config, &self.estimates, self.has_reached_share());
        let open = among.filter(|(id, target)| {
            target.published.serving
                && !request.exclude.contains(id)
                && target.open_slots(now, config, estimates, has_reached_share) > 0
        });
        let open = open.filter(|(_, target)| {
            filter == TargetFilter::Any || !target.is_slow(request, now, config, estimates)
        });
        let open = open.filter(|(_, target)| {
            filter != TargetFilter::UnsaturatedNotSlow || !target.would_saturate(now)
        });
        let (mut healthy, mut unhealthy): (Option<Ranked<'a>>, Option<Ranked<'a>>) = (None, None);
        for (id, target) in open {
            let best =
                if target.looks_healthy(now, config) { &mut healthy } else { &mut unhealthy };
            let cost_us = target.cost_us(request, now, config, estimates);
            let ranked = Ranked { cost_us, tie_breaker: target.tie_breaker, id };
            if best.as_ref().is_none_or(|best| ranked.precedes(best)) {
                *best = Some(ranked);
            }
        }
        (healthy.map(|ranked| ranked.id), unhealthy.map(|ranked| ranked.id))
    }

    fn assign_to(&mut self, id: TargetId, request: &SlotRequest, now: Mono) -> Option<Assignment> {
        let attempt = AttemptId(self.next_id());
        let target = self.targets.get_mut(&id)?;
        target.start_attempt(attempt, &request.class, now);
        self.attempts.insert(attempt, id.clone());
        self.populations.record_assignment(request, attempt, now);
        Some(Assignment { attempt, target: id })
    }

    /// Assigns any slot to a request that has waited long enough, since a slow slot is better than
    /// none; slow slots are left out if more requests wait than slots are free. A slot used in a
    /// slow phase is occupied for five times as long and would make several waiting requests late.
    pub(super) fn assign_any_or_shed(&mut self, request: &SlotRequest, now: Mono) -> Admission {
        let filter = if self.queue.len() <= self.free_slots(now) {
            TargetFilter::Any
        } else {
            TargetFilter::NotSlow
        };
        match self.assign(request, filter, now) {
            Some(assignment) => Admission::Send(assignment),
            None => Admission::Shed(self.shed_for_lack_of_slot(ShedReason::DeadlineTooNear, now)),
        }
    }

    /// Returns whether all targets look unhealthy, in which case the fault is more likely in this
    /// process. While some targets look healthy, even if they are full, the others are not tried:
    /// after the loss of a failure domain, requests would be spent on dead targets and rejected
    /// although a healthy target could have served them a moment later.
    fn ignores_health(&self, now: Mono) -> bool {
        let mut serving = self.targets.values().filter(|target| target.published.serving);
        serving.all(|target| !target.looks_healthy(now, &self.config))
    }
}
