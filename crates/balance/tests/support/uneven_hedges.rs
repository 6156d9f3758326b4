//! Hedges in the simulation of uneven work.

use shallotfork_balance::{Assignment, SlotRequest};

use super::uneven_report::ALLOWANCE;
use super::{Event, PROBED_TARGETS_MAX, Simulation, millis};

/// Interval at which an early hedge that found no slot is tried again, as in the entry.
const EARLY_HEDGE_RETRY_MS: u64 = 50;

impl Simulation {
    pub(super) fn hedge_due(&mut self, number: u64) {
        let Some(request) = self.requests.get(&number) else { return };
        if request.hedge.is_some() {
            return;
        }
        let (sent_ms, tries_early) = (request.sent_ms, request.tries_early);
        let plan = request.plan.expect("the first attempt has been sent");
        if self.send_hedge(number, tries_early) {
            return;
        }
        let Some(early) = plan.early.filter(|_| tries_early) else { return };
        let next_ms = self.now_ms + EARLY_HEDGE_RETRY_MS;
        if next_ms <= sent_ms + millis(early.latest) {
            return self.schedule(next_ms, Event::HedgeDue(number));
        }
        self.requests.get_mut(&number).expect("the request is in flight").tries_early = false;
        let usual_ms = sent_ms + millis(plan.usual_delay);
        self.schedule(usual_ms.max(self.now_ms), Event::HedgeDue(number));
    }

    /// Sends a hedge if a slot and the allowance permit it; returns whether they do.
    fn send_hedge(&mut self, number: u64, is_early: bool) -> bool {
        let request = &self.requests[&number];
        let first = request.first.as_ref().expect("the first attempt has been sent");
        let slot_request = self.slot_request(request.arrived_ms, vec![first.target.clone()]);
        let Some(hedge) = self.hedge_slot(&slot_request, is_early) else {
            self.report.refused_no_target += 1;
            return false;
        };
        let now = self.now();
        let is_allowed = if is_early {
            self.retries.try_acquire_early_hedge(ALLOWANCE, now)
        } else {
            self.retries.try_acquire(ALLOWANCE, now)
        };
        if !is_allowed {
            self.report.refused_no_allowance += 1;
            self.give_back(&hedge);
            return false;
        }
        self.repeats_ms.push(self.now_ms);
        let count =
            if is_early { &mut self.report.early_hedges } else { &mut self.report.usual_hedges };
        *count += 1;
        self.start(number, 1, &hedge);
        let request = self.requests.get_mut(&number).expect("the request is in flight");
        request.hedge = Some((hedge, self.now_ms, is_early));
        true
    }

    /// Returns a slot for a hedge; an early one is sent only to a target that was probed.
    fn hedge_slot(&mut self, request: &SlotRequest, is_early: bool) -> Option<Assignment> {
        if !is_early {
            return self.pool.assign_hedge(request, self.now());
        }
        for _ in 0..PROBED_TARGETS_MAX {
            let hedge = self.pool.assign_early_hedge(request, self.now())?;
            self.probe(&hedge.target);
            if !self.pool.is_unfit(&hedge, request, self.now()) {
                return Some(hedge);
            }
            self.give_back(&hedge);
        }
        None
    }
}
