//! The calls of all entries to the platform stay within the cap in total.

use std::time::{Duration, Instant};

use shallotfork_standin::platform::ReplicaMode;
use shallotfork_tests::{Case, wait_until};

const ENTRIES: usize = 3;
const CALLS_PER_S: u64 = 4;
const CHANGES: u32 = 40;

/// A script publishes many changes in a row; then the platform hangs and recovers while one entry
/// is paused and resumes with calls to catch up on. Each change wakes every waiting reader, and all
/// of them read again at once, which would overload the platform. Each entry caps its calls so that
/// the total stays within what the users allow.
#[tokio::test]
async fn platform_calls_stay_within_the_cap() -> anyhow::Result<()> {
    let case = Case::new()
        .with_entries(ENTRIES)
        .with_service("recipe-desk", 1)
        .with_setting("platform", "calls_per_s", &CALLS_PER_S.to_string())
        .with_setting("platform", "timeout_ms", "200")
        .with_setting("platform", "wait_ms", "1000");
    let running = case.start().await?;
    let platform = &running.platform;
    platform.reset_counts().await?;
    let begin = Instant::now();

    for number in 0..CHANGES {
        let rules = format!("[everything]\nthen.deadline_ms = {}\n", 5000 + number);
        platform.publish("rules", &rules).await?;
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    platform.set_mode(ReplicaMode::Hanging).await?;
    let before = platform.counts().await?.total;
    wait_until("entries call the hanging platform again", async || {
        platform.counts().await.is_ok_and(|counts| counts.total >= before + ENTRIES as u64)
    })
    .await?;
    running.entries[0].program.pause()?;
    tokio::time::sleep(Duration::from_millis(1500)).await;
    running.entries[0].program.resume()?;
    platform.set_mode(ReplicaMode::Serving).await?;
    tokio::time::sleep(Duration::from_millis(1500)).await;

    let counts = platform.counts().await?;
    let lasted_s = begin.elapsed().as_secs_f64();
    // Calls are evenly spaced, so any window holds at most one call above the rate of each entry.
    let entries = ENTRIES as u64;
    let in_second_max = (CALLS_PER_S + 1) * entries;
    let total_max = (CALLS_PER_S as f64 * lasted_s).ceil() as u64 * entries + entries;
    assert!(counts.max_in_second <= in_second_max, "{counts:?}");
    assert!(counts.total <= total_max, "{counts:?} in {lasted_s} s");
    assert!(counts.total > entries, "{counts:?}");
    Ok(())
}
