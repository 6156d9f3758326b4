//! Sends a request to a target and, if its answer takes too long, a hedge to a second one.

use std::pin::pin;

use futures::future::{Either, select};
use shallotfork_balance::HedgeResult;

use crate::traffic::acquire_hedge::{HedgeSlot, acquire_hedge};
use crate::traffic::attempt_history::AttemptHistory;
use crate::traffic::attempt_outcome::AttemptOutcome;
use crate::traffic::forward::{reject_without_path, wait_until_forwarded};
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
    if !routed.is_idempotent() || !history.has_attempt_left(routed) || !is_clear(routed) {
        return send_attempt(routed, slot).await;
    }
    let slots = routed.context.slots(&routed.service);
    let request = routed.slot_request(&history.excluded);
    let plan = slots.plan_hedge(&slot, &request);
    let first = pin!(send_attempt(routed, slot));
    let (hedge, first) = match select(first, pin!(acquire_hedge(routed, plan, &request))).await {
        Either::Left((outcome, _)) => return outcome,
        Either::Right((hedge, first)) => (hedge, first),
    };
    let Some(HedgeSlot { slot: hedge, is_early }) = hedge else {
        return first.await;
    };
    history.record_start(&hedge);
    let hedged_at = routed.context.clock.now();
    let record_result = |result: HedgeResult| {
        if is_early {
            let duration = routed.context.clock.now().since(hedged_at);
            slots.record_early_hedge(&routed.class(), result, duration);
        }
    };
    match select(first, pin!(send_attempt(routed, hedge))).await {
        Either::Left((outcome @ AttemptOutcome::Answered(_), _)) => {
            record_result(HedgeResult::Lost);
            outcome
        }
        Either::Left((_, hedge)) => {
            let outcome = hedge.await;
            let is_answered = matches!(outcome, AttemptOutcome::Answered(_));
            record_result(if is_answered { HedgeResult::Won } else { HedgeResult::Failed });
            or_lost(outcome)
        }
        Either::Right((outcome @ AttemptOutcome::Answered(_), _)) => {
            record_result(HedgeResult::Won);
            outcome
        }
        Either::Right((_, first)) => {
            record_result(HedgeResult::Failed);
            or_lost(first.await)
        }
    }
}

/// Returns the outcome of the attempt that ended last. The other one may have run even if this one
/// has not.
fn or_lost(outcome: AttemptOutcome) -> AttemptOutcome {
    match outcome {
        AttemptOutcome::NotSent | AttemptOutcome::NotRun => AttemptOutcome::Lost,
        outcome => outcome,
    }
}
