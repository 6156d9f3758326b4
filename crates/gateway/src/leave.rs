//! The planned stop.

use std::sync::Arc;
use std::time::Duration;

use shallotfork_lifecycle::{Leaving, Process};
use shallotfork_types::Mono;

use crate::context::Context;
use crate::control::ControlHandle;

/// Part of the grace in which new connections are still taken: callers come for as long as they
/// keep an old answer. What comes in the last moment has the other half to be answered.
const OPEN_PART: f64 = 0.48;
/// Part of the grace after which requests that are still with a target are given up. The users
/// count it as cut off if that happens before the last sixth.
const ANSWER_PART: f64 = 0.85;
/// Part of the grace after which the process ends, so that it is gone before it is killed, also on
/// a busy VM of a tenth of a processor.
const END_PART: f64 = 0.89;
/// Time for other entries to hear of it; one that is cut off must not hold up the stop.
const TELL_MAX: Duration = Duration::from_millis(500);
/// How often to look whether anything is in flight.
const LOOK: Duration = Duration::from_millis(20);

/// Stops the process without cutting off a request.
///
/// 1. Other entries are told, and no answer of the directory names this one any more.
/// 2. Callers who keep an old answer are served; each answer asks them to close. What can't be
///    served before the end is refused then, while there is time to say so.
/// 3. The port closes; what is in flight ends.
pub async fn leave(context: &Arc<Context>, control: &ControlHandle, process: Process<Leaving>) {
    let callers = &context.callers;
    let began = context.clock.now();
    let grace = context.settings.shutdown_grace;
    context.set_answer_deadline(began.plus(grace.mul_f64(ANSWER_PART)));
    callers.announce_close();
    let _slow = tokio::time::timeout(TELL_MAX, control.leave()).await;
    let (open, end) = (grace.mul_f64(OPEN_PART), grace.mul_f64(END_PART));
    tokio::time::sleep(open.saturating_sub(context.clock.now().since(began))).await;
    callers.stop();
    finish(context, began.plus(end)).await;
    process.stop();
}

/// Stops a process that is asked to before it says that it serves. Nobody was sent to it yet, but
/// callers of the one that ran at its address before may have come, and be waiting for answers.
pub async fn leave_before_serving(context: &Arc<Context>) {
    let (began, grace) = (context.clock.now(), context.settings.shutdown_grace);
    context.set_answer_deadline(began.plus(grace.mul_f64(ANSWER_PART)));
    context.callers.stop();
    finish(context, began.plus(grace.mul_f64(END_PART))).await;
}

/// Waits until nothing is in flight, at most until `end`.
async fn finish(context: &Context, end: Mono) {
    while context.callers.in_flight() > 0 && context.clock.now() < end {
        tokio::time::sleep(LOOK).await;
    }
    // The last answers are on their way out of the process.
    tokio::time::sleep(LOOK).await;
}
