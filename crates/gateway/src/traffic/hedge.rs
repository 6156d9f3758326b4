//! Sends a request to a target and, if its answer takes too long, a hedge to a second one.

use std::pin::pin;

use futures::future::{Either, select};
use shallotfork_balance::HedgeResult;

use crate::traffic::acquire_hedge::{HedgeSlot, acquire_hedge};
use crate::traffic::attempt_history::AttemptHistory;
use crate::traffic::attempt_outcome::AttemptOutcome;
use crate::traffic::forward::{reject_without_path, wait_until_forwarded};
use crate::traffic::hedge_in_flight::HedgeInFlight;
use crate::traffic::hedge_report::NoHedge;
use crate::traffic::quarantine::is_clear;
use crate::traffic::routed_request::RoutedRequest;
use crate::traffic::send_attempt::send_attempt;
use crate::traffic::service_slots::SlotGuard;

/// Sends the request as [`send_with_hedge`] does. Gives up an idempotent request that can be forwarded
/// once this process has lost its path and no target answers on open connections either.
pub async fn send_until_forwarded(
    routed: &RoutedRequest,
    slot: SlotGuard,
    history: &mut AttemptHistory,
) -> AttemptOutcome {
    let mut sending = pin!(send_with_hedge(routed, slot, history));
    if !routed.is_idempotent() {
        return sending.await;
    }
    tokio::select! {
        outcome = &mut sending => return outcome,
        () = wait_until_forwarded(routed) => {}
    }
    if reject_without_path(&routed.context).is_some() {
        return AttemptOutcome::Lost;
    }
    sending.await
}

/// Sends the request to a target and, if it takes far longer than usual, a hedge to a second one.
///
/// Without hedges, requests at targets that hang or no longer respond would end at the route's
/// timeout although other targets are free. If work has a long tail, an early hedge can also meet
/// the objective that a long run would miss. Only idempotent requests are hedged. The first answer
/// wins; dropping the other attempt closes its connection, which stops its work.
async fn send_with_hedge(
    routed: &RoutedRequest,
    slot: SlotGuard,
    history: &mut AttemptHistory,
) -> AttemptOutcome {
    history.record_start(&slot);
    if let Err(reason) = check_hedge_allowed(routed, history) {
        history.hedge.record_not_sent(reason);
        return send_attempt(routed, slot, history.room.clone()).await;
    }
    let slots = routed.context.slots(&routed.service);
    let request = routed.slot_request(&history.excluded);
    let plan = slots.plan_hedge(&slot, &request);
    let mut reason = NoHedge::TooLate;
    let mut first = pin!(send_attempt(routed, slot, history.room.clone()));
    let acquired = {
        let acquiring = pin!(acquire_hedge(routed, plan, &request, &mut reason));
        match select(first.as_mut(), acquiring).await {
            Either::Left((outcome, _)) => Err(outcome),
            Either::Right((hedge, _)) => Ok(hedge),
        }
    };
    let HedgeSlot { slot: hedge, room, is_early } = match acquired {
        Ok(Some(hedge)) => hedge,
        Ok(None) => {
            history.hedge.record_not_sent(reason);
            return first.await;
        }
        Err(outcome) => {
            history.hedge.record_not_sent(reason);
            return outcome;
        }
    };
    history.record_start(&hedge);
    let in_flight =
        HedgeInFlight::new(&routed.context, &slots, routed.class(), is_early, &mut history.hedge);
    match select(first, pin!(send_attempt(routed, hedge, room))).await {
        Either::Left((outcome @ AttemptOutcome::Answered(_), _)) => {
            in_flight.end(HedgeResult::Lost);
            outcome
        }
        Either::Left((_, hedge)) => {
            let outcome = hedge.await;
            let is_answered = matches!(outcome, AttemptOutcome::Answered(_));
            in_flight.end(if is_answered { HedgeResult::Won } else { HedgeResult::Failed });
            or_lost(outcome)
        }
        Either::Right((outcome @ AttemptOutcome::Answered(_), _)) => {
            in_flight.end(HedgeResult::Won);
            outcome
        }
        Either::Right((_, first)) => {
            in_flight.end(HedgeResult::Failed);
            or_lost(first.await)
        }
    }
}

/// Checks whether the request may be hedged at all.
///
/// # Errors
/// Returns the reason if it may not.
fn check_hedge_allowed(routed: &RoutedRequest, history: &AttemptHistory) -> Result<(), NoHedge> {
    if !routed.is_idempotent() {
        return Err(NoHedge::NotIdempotent);
    }
    if !history.has_attempt_left(routed) {
        return Err(NoHedge::NoAttemptLeft);
    }
    if !is_clear(routed) {
        return Err(NoHedge::Quarantine);
    }
    Ok(())
}

/// Returns the outcome of the attempt that ended last. The other one may have run even if this one
/// has not.
fn or_lost(outcome: AttemptOutcome) -> AttemptOutcome {
    match outcome {
        AttemptOutcome::NotSent | AttemptOutcome::NotRun => AttemptOutcome::Lost,
        outcome => outcome,
    }
}
