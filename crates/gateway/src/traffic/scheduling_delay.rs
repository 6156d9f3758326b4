//! Measures the scheduling delay of the traffic threads.

use std::sync::Arc;
use std::time::Duration;

use crate::context::Context;

/// Interval between two samples while requests are served; short compared with the delays that
/// callers notice.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// Samples the scheduling delay for as long as the process runs.
///
/// Samples only while requests are served: most entries of a large fleet serve none, and would wake
/// up needlessly.
pub async fn monitor_scheduling_delay(context: Arc<Context>) {
    loop {
        if context.callers.in_flight() == 0 {
            context.request_started.notified().await;
        }
        let due_at = context.clock.now().plus(SAMPLE_INTERVAL);
        tokio::time::sleep(SAMPLE_INTERVAL).await;
        context.record_scheduling_delay(context.clock.now().since(due_at));
    }
}
