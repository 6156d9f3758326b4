//! Waiting for a condition instead of sleeping.

use std::time::{Duration, Instant};

use anyhow::bail;

/// Time allowed for a condition; generous, so that a test that is only slow does not fail on a busy
/// machine.
const TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until `condition` holds.
///
/// # Errors
/// Returns an error if it does not hold within 30 s.
pub async fn wait_until(
    what: &str,
    mut condition: impl AsyncFnMut() -> bool,
) -> anyhow::Result<()> {
    let started_at = Instant::now();
    while !condition().await {
        if started_at.elapsed() > TIMEOUT {
            bail!("condition not met within {TIMEOUT:?}: {what}");
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}
