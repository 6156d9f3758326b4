//! Sends a request to targets until one answers or no further attempt is allowed.

use std::sync::Arc;

use shallotfork_balance::Shed;

use crate::traffic::answer_room::{
    RoomCheck, check_memory, check_room, wait_for_memory, wait_for_room,
};
use crate::traffic::attempt_history::AttemptHistory;
use crate::traffic::attempt_outcome::AttemptOutcome;
use crate::traffic::forward::{forward, reject_without_path, should_forward, wait_until_forwarded};
use crate::traffic::hedge::send_until_forwarded;
use crate::traffic::probes::{ProbeResult, probe};
use crate::traffic::quarantine::{begin_run, record_answer};
use crate::traffic::repeats::retry_class;
use crate::traffic::request_outcome::{CompletedRequest, RequestOutcome};
use crate::traffic::retry_allowance::retry_allowance;
use crate::traffic::routed_request::RoutedRequest;
use crate::traffic::service_slots::{ServiceSlots, SlotGuard};

/// Maximum number of targets probed for one request before it is sent without a probe.
const PROBED_TARGETS_MAX: u32 = 4;

/// Makes attempts for a request until it is answered or no further attempt is allowed.
pub async fn run_attempts(routed: &RoutedRequest) -> CompletedRequest {
    let context = &routed.context;
    let slots = context.slots(&routed.service);
    if !should_forward(routed) {
        slots.record_request();
    }
    let mut history = AttemptHistory::default();
    loop {
        if should_forward(routed) {
            // The answer passes through this entry as one of a target would.
            if let Err(shed) = reserve_room_for_forwarding(routed, &mut history).await {
                return history.complete_without_slot(shed);
            }
            if let Some(outcome) = forward(routed).await {
                return history.complete_forwarded(outcome);
            }
        }
        if let Some(shed) = reject_without_path(context) {
            return history.complete_without_slot(shed);
        }
        // Rejects a request that the quarantine holds back, before it waits for a slot.
        if let Err(shed) = begin_run(routed, history.next_send_kind()) {
            return history.complete_without_slot(shed);
        }
        let requested_at = context.clock.now();
        let acquired = tokio::select! {
            acquired = acquire_probed_slot(routed, &slots, &history) => acquired,
            () = wait_until_forwarded(routed) => continue,
        };
        history.queued += context.clock.now().since(requested_at);
        let slot = match acquired {
            Ok(slot) => slot,
            Err(shed) => return history.complete_without_slot(shed),
        };
        if routed.caller.is_closed() {
            return history.complete(RequestOutcome::CallerLeft);
        }
        // Answers may have used up the memory while the request waited for its slot.
        match check_memory(routed) {
            Ok(true) => {}
            Ok(false) => {
                drop(slot);
                match wait_for_memory(routed).await {
                    Ok(()) => continue,
                    Err(shed) => return history.complete_without_slot(shed),
                }
            }
            Err(shed) => return history.complete_without_slot(shed),
        }
        match check_room(routed, history.room.take()) {
            Ok(RoomCheck::Send(room)) => history.room = room,
            Ok(RoomCheck::Wait(pending)) => {
                // Others may use the slot meanwhile.
                drop(slot);
                let requested_at = context.clock.now();
                let reserved = tokio::select! {
                    reserved = wait_for_room(pending) => reserved,
                    () = wait_until_forwarded(routed) => continue,
                };
                history.queued += context.clock.now().since(requested_at);
                match reserved {
                    Ok(room) => history.room = room,
                    Err(shed) => return history.complete_without_slot(shed),
                }
                continue;
            }
            Err(shed) => return history.complete_without_slot(shed),
        }
        // Checks again, since other runs may have started or ended while the request waited.
        let run = match begin_run(routed, history.next_send_kind()) {
            Ok(run) => run,
            Err(shed) => return history.complete_without_slot(shed),
        };
        let outcome = send_until_forwarded(routed, slot, &mut history).await;
        drop(run);
        if let AttemptOutcome::Answered(answer) = outcome {
            record_answer(routed);
            return history.complete(RequestOutcome::Answered(answer));
        }
        let was_sent = !matches!(outcome, AttemptOutcome::NotSent);
        let may_retry = history.record_outcome(outcome, routed)
            // An attempt that was not sent loads no target, so its retry needs no allowance.
            && (!was_sent || acquire_retry(routed, &slots));
        if !may_retry || routed.remaining(context.clock.now()).is_zero() {
            return history.complete_unanswered(routed);
        }
    }
}

/// Acquires permission for a retry. Returns whether there is one left for this request.
fn acquire_retry(routed: &RoutedRequest, slots: &ServiceSlots) -> bool {
    slots.try_acquire_repeat(retry_class(routed, slots), retry_allowance(&routed.context))
}

/// Reserves room for the answer to a request that is forwarded; waits until there is room.
async fn reserve_room_for_forwarding(
    routed: &RoutedRequest,
    history: &mut AttemptHistory,
) -> Result<(), Shed> {
    history.room = match check_room(routed, history.room.take())? {
        RoomCheck::Send(room) => room,
        RoomCheck::Wait(pending) => wait_for_room(pending).await?,
    };
    Ok(())
}

/// Acquires a slot at a target that a probe has just found neither slow nor full.
///
/// A request is rejected if all probed targets are full. Otherwise it would queue at one of them,
/// and with many entries doing so the targets would stay full long after a burst.
///
/// Targets share hosts with neighbours that slow them down for a fraction of a second at a time,
/// and a run keeps the slowdown at which it started. Load reports in earlier answers are too old to
/// detect this, hence the probe.
async fn acquire_probed_slot(
    routed: &RoutedRequest,
    slots: &Arc<ServiceSlots>,
    history: &AttemptHistory,
) -> Result<SlotGuard, Shed> {
    let request = routed.slot_request(&history.excluded);
    let mut full_count = 0;
    for _ in 0..PROBED_TARGETS_MAX {
        let slot = slots.admit(request.clone()).await?;
        let target = slot.target().clone();
        if !slots.needs_probe(&target) {
            return Ok(slot);
        }
        match probe(&routed.context, slots, &target).await {
            ProbeResult::Reported if !slot.is_unfit(&request) => return Ok(slot),
            ProbeResult::Full => full_count += 1,
            ProbeResult::Reported | ProbeResult::Unanswered => {}
            ProbeResult::NoLoad => {
                slots.record_missing_load();
                return Ok(slot);
            }
        }
    }
    if full_count == PROBED_TARGETS_MAX
        && let Some(shed) = slots.shed_full()
    {
        return Err(shed);
    }
    slots.admit(request).await
}
