//! Planned stop of the process: leaves the fleet, drains requests, seals the ledger and stops.

use std::sync::Arc;

use shallotfork_exchange::ServeControl;

use crate::context::Context;
use shallotfork_lifecycle::{Leaving, Process};

/// Stops the process without interrupting requests in flight.
///
/// 1. Reports to peers that this VM is leaving; it is no longer advertised to callers.
/// 2. Serves callers for `keep_for`, until the answers that advertised this VM to them expire.
/// 3. Announces the close of connections. Once no request is in flight, or after `grace_max`, seals
///    the ledger, sends it to peers and closes the callers' port.
pub async fn leave(context: &Arc<Context>, process: Process<Leaving>, callers: &ServeControl) {
    context.control.leave().await;
    tokio::time::sleep(context.settings.callers.keep_for).await;
    callers.announce_close();
    let grace = context.settings.leaving.grace_max;
    let _timed_out = tokio::time::timeout(grace, context.in_flight.wait_until_drained()).await;
    context.control.seal().await;
    callers.stop();
    let _timed_out = tokio::time::timeout(grace, context.in_flight.wait_until_drained()).await;
    process.stop();
}
