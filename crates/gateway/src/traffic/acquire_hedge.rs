//! Acquires the slot and the allowance for a hedge while the first attempt is in flight.

use std::sync::Arc;
use std::time::Duration;

use shallotfork_balance::{EarlyHedge, HedgePlan, SlotRequest};

use crate::traffic::answer_room::{AnswerRoom, try_reserve_hedge};
use crate::traffic::hedge_report::NoHedge;
use crate::traffic::probes::{ProbeResult, probe};
use crate::traffic::quarantine::is_clear;
use crate::traffic::retry_allowance::retry_allowance;
use crate::traffic::routed_request::RoutedRequest;
use crate::traffic::service_slots::{ServiceSlots, SlotGuard};

/// Interval at which an early hedge is tried again that found no slot or no allowance; a fraction of
/// the usual work time of requests that are hedged early.
const EARLY_HEDGE_RETRY: Duration = Duration::from_millis(50);
/// Maximum number of targets probed for one try of an early hedge.
const PROBED_TARGETS_MAX: u32 = 4;

/// Slot for a hedge that may be sent now.
pub struct HedgeSlot {
    /// Slot of the hedge.
    pub slot: SlotGuard,
    /// Room for the answer, if the answers of the route are large.
    pub room: AnswerRoom,
    /// Whether the hedge is an early one.
    pub is_early: bool,
}

/// Waits until a request is to be hedged by `plan` and acquires a slot and the allowance for it.
/// Returns `None` if the request can't be hedged. `reason` is then, and while this waits, the reason
/// why no hedge was sent before the objective.
pub async fn acquire_hedge(
    routed: &RoutedRequest,
    plan: HedgePlan,
    request: &SlotRequest,
    reason: &mut NoHedge,
) -> Option<HedgeSlot> {
    let context = &routed.context;
    let slots = context.slots(&routed.service);
    let planned_at = context.clock.now();
    if let Some(early) = plan.early
        && let Some(hedge) = acquire_early(routed, &slots, early, request, reason).await
    {
        return Some(hedge);
    }
    let passed = context.clock.now().since(planned_at);
    tokio::time::sleep(plan.usual_delay.saturating_sub(passed)).await;
    match acquire_usual(routed, &slots, request) {
        Ok(hedge) => Some(hedge),
        Err(refused) => {
            // After the objective, any hedge is too late.
            if context.clock.now() < routed.objective {
                *reason = refused;
            }
            None
        }
    }
}

fn acquire_usual(
    routed: &RoutedRequest,
    slots: &Arc<ServiceSlots>,
    request: &SlotRequest,
) -> Result<HedgeSlot, NoHedge> {
    let slot = slots.assign_hedge(request).ok_or(NoHedge::NoFreeTarget)?;
    if routed.caller.is_closed() {
        return Err(NoHedge::TooLate);
    }
    if !is_clear(routed) {
        return Err(NoHedge::Quarantine);
    }
    let room = try_reserve_hedge(routed).ok_or(NoHedge::NoRoom)?;
    if !slots.try_acquire_retry(retry_allowance(&routed.context)) {
        return Err(NoHedge::NoAllowance);
    }
    Ok(HedgeSlot { slot, room, is_early: false })
}

/// Tries to acquire a slot and the allowance for an early hedge as long as it may be sent.
async fn acquire_early(
    routed: &RoutedRequest,
    slots: &Arc<ServiceSlots>,
    early: EarlyHedge,
    request: &SlotRequest,
    reason: &mut NoHedge,
) -> Option<HedgeSlot> {
    let context = &routed.context;
    let latest = context.clock.now().plus(early.latest);
    tokio::time::sleep(early.delay).await;
    while !routed.caller.is_closed() {
        if !is_clear(routed) {
            *reason = NoHedge::Quarantine;
            return None;
        }
        *reason = match probed_hedge_slot(routed, slots, request).await {
            None => NoHedge::NoFreeTarget,
            Some(slot) => match try_reserve_hedge(routed) {
                None => NoHedge::NoRoom,
                Some(room) if slots.try_acquire_early_hedge(retry_allowance(context)) => {
                    return Some(HedgeSlot { slot, room, is_early: true });
                }
                Some(_) => NoHedge::NoAllowance,
            },
        };
        if context.clock.now().plus(EARLY_HEDGE_RETRY) > latest {
            return None;
        }
        tokio::time::sleep(EARLY_HEDGE_RETRY).await;
    }
    None
}

/// Returns a slot for an early hedge at a target that a probe has just found neither slow nor full.
/// A hedge that runs in a slow phase would miss the objective as well.
async fn probed_hedge_slot(
    routed: &RoutedRequest,
    slots: &Arc<ServiceSlots>,
    request: &SlotRequest,
) -> Option<SlotGuard> {
    for _ in 0..PROBED_TARGETS_MAX {
        let slot = slots.assign_early_hedge(request)?;
        if !slots.needs_probe(slot.target()) {
            return Some(slot);
        }
        match probe(&routed.context, slots, slot.target()).await {
            ProbeResult::Reported if !slot.is_unfit(request) => return Some(slot),
            ProbeResult::Reported | ProbeResult::Full | ProbeResult::Unanswered => {}
            ProbeResult::NoLoad => {
                slots.record_missing_load();
                return Some(slot);
            }
        }
    }
    None
}
