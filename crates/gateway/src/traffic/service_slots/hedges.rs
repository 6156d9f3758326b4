//! Slots and allowance of hedges.

use std::sync::Arc;
use std::time::Duration;

use shallotfork_balance::{HedgePlan, HedgeResult, RetryAllowance, SlotRequest, WorkClass};

use super::{ServiceSlots, SlotGuard};

impl ServiceSlots {
    /// Plans the hedge of a request whose first attempt is sent now with `slot`.
    pub fn plan_hedge(&self, slot: &SlotGuard, request: &SlotRequest) -> HedgePlan {
        let now = self.clock.now();
        self.lock().pool.plan_hedge(slot.assignment.attempt, request, now)
    }

    /// Returns a slot at a second target for a request in flight, if one is free and none waits.
    pub fn assign_hedge(self: &Arc<Self>, request: &SlotRequest) -> Option<SlotGuard> {
        let now = self.clock.now();
        let assignment = self.lock().pool.assign_hedge(request, now)?;
        Some(self.slot_guard(assignment))
    }

    /// Returns a slot for an early hedge at a target that stays unsaturated with it, if no request
    /// waits.
    pub fn assign_early_hedge(self: &Arc<Self>, request: &SlotRequest) -> Option<SlotGuard> {
        let now = self.clock.now();
        let assignment = self.lock().pool.assign_early_hedge(request, now)?;
        Some(self.slot_guard(assignment))
    }

    /// Acquires permission for an early hedge. Returns whether its part of the allowance still
    /// permits one.
    pub fn try_acquire_early_hedge(&self, allowance: RetryAllowance) -> bool {
        let now = self.clock.now();
        let mut inner = self.lock();
        // All repeats are needed for rejected requests then.
        !inner.pool.rejects_at_random(now) && inner.repeats.try_acquire_early_hedge(allowance, now)
    }

    /// Records the result of an early hedge that was in flight for `duration`.
    pub fn record_early_hedge(&self, class: &WorkClass, result: HedgeResult, duration: Duration) {
        self.lock().pool.record_early_hedge(class, result, duration);
    }
}
