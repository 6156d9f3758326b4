//! Sends a request to a target and, if its answer takes too long, a hedge to a second one.

use std::pin::pin;
use std::time::Duration;

use futures::future::{Either, select};

use crate::traffic::answer_room::try_reserve_hedge;
use crate::traffic::attempt_history::AttemptHistory;
use crate::traffic::attempt_outcome::AttemptOutcome;
use crate::traffic::forward::{reject_without_path, wait_until_forwarded};
use crate::traffic::quarantine::is_clear;
use crate::traffic::retry_allowance::retry_allowance;
use crate::traffic::routed_request::RoutedRequest;
use crate::traffic::send_attempt::send_attempt;
use crate::traffic::service_slots::SlotGuard;

/// Multiple of the usual request time after which a hedge is sent.
const HEDGE_DELAY_FACTOR: f64 = 3.0;
/// Lower bound of the hedge delay, for use while few requests have been measured.
const HEDGE_DELAY_MIN: Duration = Duration::from_millis(200);

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
/// timeout although other targets are free. Only idempotent requests are hedged. The first answer
/// wins; dropping the other attempt closes its connection, which stops its work.
async fn send_with_hedge(
    routed: &RoutedRequest,
    slot: SlotGuard,
    history: &mut AttemptHistory,
) -> AttemptOutcome {
    history.record_start(&slot);
    let first = pin!(send_attempt(routed, slot, history.room.clone()));
    if !routed.is_idempotent() || !history.has_attempt_left(routed) || !is_clear(routed) {
        return first.await;
    }
    let slots = routed.context.slots(&routed.service);
    let hedge_delay =
        slots.usual_time(&routed.class()).mul_f64(HEDGE_DELAY_FACTOR).max(HEDGE_DELAY_MIN);
    let first = match select(first, pin!(tokio::time::sleep(hedge_delay))).await {
        Either::Left((outcome, _)) => return outcome,
        Either::Right(((), first)) => first,
    };
    let Some(hedge) = slots.assign_hedge(&routed.slot_request(&history.excluded)) else {
        return first.await;
    };
    let Some(hedge_room) = try_reserve_hedge(routed) else {
        return first.await;
    };
    if routed.caller.is_closed()
        || !is_clear(routed)
        || !slots.try_acquire_retry(retry_allowance(&routed.context))
    {
        return first.await;
    }
    history.record_start(&hedge);
    match select(first, pin!(send_attempt(routed, hedge, hedge_room))).await {
        Either::Left((outcome, other)) => prefer_answered(outcome, other).await,
        Either::Right((outcome, other)) => prefer_answered(outcome, other).await,
    }
}

/// Returns the outcome of the attempt that ended first if it was answered, otherwise that of the
/// other attempt.
async fn prefer_answered(
    outcome: AttemptOutcome,
    other: impl Future<Output = AttemptOutcome>,
) -> AttemptOutcome {
    match outcome {
        AttemptOutcome::Answered(_) => outcome,
        _ => match other.await {
            // The first attempt may have run even if the second one has not.
            AttemptOutcome::NotSent | AttemptOutcome::NotRun => AttemptOutcome::Lost,
            last => last,
        },
    }
}
