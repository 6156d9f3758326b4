//! The planned stop.

use std::sync::Arc;
use std::time::Duration;

use shallotfork_lifecycle::{Leaving, Process};

use crate::context::Context;
use crate::control::ControlHandle;

/// Kept back from the grace, so that the process ends by itself before it is killed.
const GRACE_MARGIN: Duration = Duration::from_millis(600);
/// Part of the grace in which new connections are still taken: callers come for as long as they
/// keep an old answer.
const OPEN_PART: f64 = 0.6;
/// Time for other entries to hear of it; one that is cut off must not hold up the stop.
const TELL_MAX: Duration = Duration::from_millis(500);
/// How often to look whether anything is in flight.
const LOOK: Duration = Duration::from_millis(20);

/// Stops the process without cutting off a request.
///
/// 1. Other entries are told, and no answer of the directory names this one any more.
/// 2. Callers who keep an old answer are served; each answer asks them to close.
/// 3. The port closes; what is in flight ends.
pub async fn leave(context: &Arc<Context>, control: &ControlHandle, process: Process<Leaving>) {
    let callers = &context.callers;
    let began = context.clock.now();
    callers.announce_close();
    let _slow = tokio::time::timeout(TELL_MAX, control.leave()).await;
    let grace = context.settings.grace.saturating_sub(GRACE_MARGIN);
    let open = grace.mul_f64(OPEN_PART);
    tokio::time::sleep(open.saturating_sub(context.clock.now().since(began))).await;
    callers.stop();
    while callers.in_flight() > 0 && context.clock.now().since(began) < grace {
        tokio::time::sleep(LOOK).await;
    }
    // The last answers are on their way out of the process.
    tokio::time::sleep(LOOK).await;
    process.stop();
}
