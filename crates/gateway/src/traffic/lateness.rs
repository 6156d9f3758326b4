//! Measures how late the traffic threads do their work.

use std::sync::Arc;
use std::time::Duration;

use crate::context::Context;

/// Time between two samples while requests are served; short beside the waits that matter.
const SAMPLE: Duration = Duration::from_millis(20);

/// Samples for as long as the process runs.
///
/// Only while requests are served: most entries of a large fleet serve none, and would wake up for
/// nothing.
pub async fn monitor_scheduling_delay(context: Arc<Context>) {
    loop {
        if context.callers.in_flight() == 0 {
            context.begins.notified().await;
        }
        let due = context.clock.now().plus(SAMPLE);
        tokio::time::sleep(SAMPLE).await;
        context.note_lateness(context.clock.now().since(due));
    }
}
