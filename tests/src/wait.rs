//! Waiting on conditions in place of sleeping.

use std::time::{Duration, Instant};

use anyhow::bail;

/// Generous, since a busy machine must not fail a test that only takes longer.
const LIMIT: Duration = Duration::from_secs(30);
const INTERVAL: Duration = Duration::from_millis(20);

/// Waits until `condition` holds.
///
/// # Errors
/// When it still does not hold after half a minute.
pub async fn wait_until(
    what: &str,
    mut condition: impl AsyncFnMut() -> bool,
) -> anyhow::Result<()> {
    let begin = Instant::now();
    while !condition().await {
        if begin.elapsed() > LIMIT {
            bail!("waited {LIMIT:?} in vain until {what}");
        }
        tokio::time::sleep(INTERVAL).await;
    }
    Ok(())
}
