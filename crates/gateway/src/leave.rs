//! Planned stop of the process.

use std::sync::Arc;
use std::time::Duration;

use shallotfork_lifecycle::{Leaving, Process};
use shallotfork_types::Mono;

use crate::context::Context;
use crate::control::ControlHandle;

/// Fraction of the shutdown grace during which new connections are accepted. Callers keep
/// connecting for as long as they cache an earlier directory answer; about half of the grace is
/// left to answer the last of them.
const OPEN_GRACE_FRACTION: f64 = 0.48;
/// Fraction of the grace after which requests that are still at a target are abandoned. The users
/// count a request as cut off if it is abandoned before the last sixth of the grace.
const ANSWER_GRACE_FRACTION: f64 = 0.85;
/// Fraction of the grace after which the process ends, so that it has ended before it is killed,
/// even on a busy VM with a tenth of a processor.
const END_GRACE_FRACTION: f64 = 0.89;
/// Timeout for informing other entries; one that is unreachable must not delay the stop.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval of the checks whether requests are in flight.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Stops the process without cutting off a request.
///
/// 1. Other entries are informed, and directory answers no longer contain this entry.
/// 2. Callers that cache an earlier directory answer are still served, and each answer asks them to
///    close the connection. Requests that can't be served before the end are rejected while there
///    is time to answer them.
/// 3. The port is closed, and the requests in flight end. Their answers are written to the end.
pub async fn leave(context: &Arc<Context>, control: &ControlHandle, process: Process<Leaving>) {
    let callers = &context.callers;
    let started_at = context.clock.now();
    let grace = context.settings.shutdown_grace;
    context.set_answer_deadline(started_at.plus(grace.mul_f64(ANSWER_GRACE_FRACTION)));
    callers.announce_close();
    let _slow = tokio::time::timeout(ANNOUNCE_TIMEOUT, control.leave()).await;
    let (open, end) = (grace.mul_f64(OPEN_GRACE_FRACTION), grace.mul_f64(END_GRACE_FRACTION));
    tokio::time::sleep(open.saturating_sub(context.clock.now().since(started_at))).await;
    callers.stop();
    wait_until_idle(context, started_at.plus(end)).await;
    process.stop();
}

/// Stops a process that is asked to stop before it serves. It has not been advertised yet, but
/// callers of the process that ran at its address before may have connected and be waiting for
/// answers.
pub async fn leave_before_serving(context: &Arc<Context>) {
    let (started_at, grace) = (context.clock.now(), context.settings.shutdown_grace);
    context.set_answer_deadline(started_at.plus(grace.mul_f64(ANSWER_GRACE_FRACTION)));
    context.callers.stop();
    wait_until_idle(context, started_at.plus(grace.mul_f64(END_GRACE_FRACTION))).await;
}

/// Waits until no request is in flight, no answer is being written, and callers have closed the
/// connections on which the last answers were written, at most until `end`.
async fn wait_until_idle(context: &Context, end: Mono) {
    let callers = &context.callers;
    // A large answer that is paced is written long after it was ready. A lingering connection may
    // have unread bytes when the process ends, on which the kernel resets it.
    let is_busy = || {
        callers.in_flight() + callers.writing() + callers.lingering() > 0
            || context.large_answers.is_active()
    };
    while is_busy() && context.clock.now() < end {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    // Leaves time to write the last answers to their connections.
    tokio::time::sleep(POLL_INTERVAL).await;
}
