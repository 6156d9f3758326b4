//! Measures how long a published rule list takes to be in force on every entry, and how many calls
//! and bytes entries read from the platform while nothing changes.
//!
//! `cargo run --release -p shallotfork-bench --example list_spread -- ENTRIES CHANGES`

use std::time::{Duration, Instant};

use anyhow::Context;
use futures::future::join_all;
use shallotfork_standin::platform::{CallCounts, Fault, ReplicaMode};
use shallotfork_tests::{Case, Running};
use shallotfork_types::Revision;

const DEFAULT_ENTRIES: usize = 14;
const DEFAULT_CHANGES: u32 = 20;
const IDLE: Duration = Duration::from_secs(65);
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The entries that can read the platform.
#[derive(Debug, Clone, Copy)]
enum PlatformAccess {
    All,
    OneOnly,
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let mut args = std::env::args().skip(1);
    let entries = args.next().map_or(Ok(DEFAULT_ENTRIES), |text| text.parse())?;
    let changes = args.next().map_or(Ok(DEFAULT_CHANGES), |text| text.parse())?;
    println!("entries {entries}, changes {changes}; milliseconds from publishing to in force");
    println!("{:<28} {:>8} {:>8} {:>8}", "platform reached by", "median", "p90", "most");
    for access in [PlatformAccess::All, PlatformAccess::OneOnly] {
        let mut times_ms = measure(entries, changes, access).await?;
        times_ms.sort_unstable();
        let quantile = |permille: usize| times_ms[(times_ms.len() - 1) * permille / 1000];
        println!(
            "{:<28} {:>8} {:>8} {:>8}",
            format!("{access:?}"),
            quantile(500),
            quantile(900),
            quantile(1000)
        );
    }
    let counts = idle_calls(entries).await?;
    println!(
        "idle for {IDLE:?}: {} calls to the platform by {entries} entries, {} bytes of lists",
        counts.total, counts.sent_bytes
    );
    Ok(())
}

/// Counts the calls to the platform while nothing changes.
async fn idle_calls(entries: usize) -> anyhow::Result<CallCounts> {
    let running = Case::new().with_entries(entries).with_replicas(2).start().await?;
    running.platform.reset_counts().await?;
    tokio::time::sleep(IDLE).await;
    running.platform.counts().await
}

async fn measure(
    entries: usize,
    changes: u32,
    access: PlatformAccess,
) -> anyhow::Result<Vec<u128>> {
    let case = Case::new().with_entries(entries).with_replica_for_each_entry();
    let running = case.start().await?;
    if matches!(access, PlatformAccess::OneOnly) {
        for replica in 1..entries {
            let down = Fault::Mode(ReplicaMode::Down);
            running.platform.fault(Some(replica), down).await?;
        }
    }
    let mut times_ms = Vec::new();
    let mut revision = running.entries[0].rules_revision().await;
    for number in 0..changes {
        let rules = format!("[everything]\nthen.deadline_ms = {}\n", 1000 + number);
        let published = running.platform.publish_over("rules", &rules, revision).await?;
        let published_at = Instant::now();
        revision = published.context("the rule list was changed by another publisher")?;
        wait_until_in_force(&running, revision).await;
        times_ms.push(published_at.elapsed().as_millis());
    }
    Ok(times_ms)
}

async fn wait_until_in_force(running: &Running, revision: Revision) {
    let waits = running.entries.iter().map(async |entry| {
        while entry.rules_revision().await < revision {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    });
    join_all(waits).await;
}
