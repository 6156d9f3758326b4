//! The planned stop: leave, let callers go elsewhere, end what is in flight, seal, stop.

use std::sync::Arc;

use shallotfork_exchange::ServeControl;

use crate::context::Context;
use shallotfork_lifecycle::{Leaving, Process};

/// Stops the process without cutting off a request.
///
/// 1. Peers are told, and no answer names this VM any more.
/// 2. Answers that named it run out after `keep_for`; until then callers who hold one are served.
/// 3. The port closes once nothing is in flight; the ledger is sealed and handed to peers.
pub async fn leave(context: &Arc<Context>, process: Process<Leaving>, callers: &ServeControl) {
    context.control.leave().await;
    tokio::time::sleep(context.settings.callers.keep_for).await;
    callers.announce_close();
    let grace = context.settings.leaving.grace_max;
    let _timed_out = tokio::time::timeout(grace, context.in_flight.drained()).await;
    context.control.seal().await;
    callers.stop();
    let _timed_out = tokio::time::timeout(grace, context.in_flight.drained()).await;
    process.stop();
}
