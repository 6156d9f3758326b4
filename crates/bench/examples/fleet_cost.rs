//! What control costs a node while no caller calls: processor time of the control thread, memory,
//! bytes between entries and from the platform, at several sizes of fleet and lists.
//!
//! Only lists are published; no target runs, since entries do not call targets unasked.
//! `cargo build --release --workspace && cargo run --release -p shallotfork-bench --example
//! fleet_cost -- ENTRIES SERVICES TARGETS_PER_SERVICE CHANGES_PER_S SECONDS`

use std::time::{Duration, Instant};

use anyhow::{Context, Result, ensure};
use shallotfork_bench::{control_thread_cpu_time, cpu_time, resident_memory};
use shallotfork_standin::platform::Changes;
use shallotfork_tests::{Case, Entry, Running, wait_until};

struct Sizes {
    entries: usize,
    services: usize,
    targets_per_service: usize,
    changes_per_s: f64,
    seconds: u64,
}

/// One entry's account at one moment.
#[derive(Debug, Clone, Copy, Default)]
struct Account {
    control_s: f64,
    all_s: f64,
    resident_bytes: u64,
    peer_bytes: f64,
    platform_bytes: f64,
    platform_calls: f64,
}

#[tokio::main]
async fn main() -> Result<()> {
    let sizes = sizes()?;
    let running = Case::new().with_entries(sizes.entries).start().await?;
    publish_services(&running, &sizes).await?;
    let before = accounts(&running).await?;
    let started = Instant::now();
    change(&running, &sizes).await?;
    let elapsed_s = started.elapsed().as_secs_f64();
    let after = accounts(&running).await?;
    let in_force_ms = follow(&running, &sizes).await?;
    print_row(&sizes, &before, &after, elapsed_s, &in_force_ms);
    Ok(())
}

fn sizes() -> Result<Sizes> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    ensure!(args.len() == 5, "five numbers: entries services targets changes_per_s seconds");
    Ok(Sizes {
        entries: args[0].parse()?,
        services: args[1].parse()?,
        targets_per_service: args[2].parse()?,
        changes_per_s: args[3].parse()?,
        seconds: args[4].parse()?,
    })
}

fn targets(service: usize, count: usize, generation: usize) -> String {
    let one = |index: usize| {
        let port = 1024 + (service * count + index) % 60_000;
        let state = if (generation + index).is_multiple_of(count) { "draining" } else { "serving" };
        format!(
            "{{\"id\":\"service-{service}-target-{index}\",\"address\":\"127.0.0.2:{port}\",\
             \"failure_domain\":\"domain-{}\",\"state\":\"{state}\",\"slots\":2,\
             \"connections_max\":200,\"shed_status\":503}}",
            index % 3
        )
    };
    let all: Vec<String> = (0..count).map(one).collect();
    format!("{{\"targets\":[{}]}}", all.join(","))
}

async fn publish_services(running: &Running, sizes: &Sizes) -> Result<()> {
    for service in 0..sizes.services {
        let content = targets(service, sizes.targets_per_service, 0);
        running.platform.publish(&format!("targets.service-{service}"), &content).await?;
    }
    let last = sizes.services + 3;
    for entry in &running.entries {
        wait_until("every list is in force", async || {
            lists(entry).await >= last.min(sizes.services)
        })
        .await?;
    }
    Ok(())
}

async fn lists(entry: &Entry) -> usize {
    entry.status().await.map_or(0, |status| status.lists.len())
}

/// Publishes changes at the rate asked for.
async fn change(running: &Running, sizes: &Sizes) -> Result<()> {
    let end = Instant::now() + Duration::from_secs(sizes.seconds);
    if sizes.changes_per_s == 0.0 || sizes.services == 0 {
        tokio::time::sleep(Duration::from_secs(sizes.seconds)).await;
        return Ok(());
    }
    let mut ticks = tokio::time::interval(Duration::from_secs_f64(1.0 / sizes.changes_per_s));
    let mut generation = 0;
    while Instant::now() < end {
        ticks.tick().await;
        generation += 1;
        publish_change(running, sizes, generation).await?;
    }
    Ok(())
}

async fn publish_change(running: &Running, sizes: &Sizes, generation: usize) -> Result<()> {
    let service = generation % sizes.services;
    let content = targets(service, sizes.targets_per_service, generation);
    running.platform.publish(&format!("targets.service-{service}"), &content).await
}

/// Changes that are followed until they are in force everywhere, after the accounts were taken:
/// asking the entries how far they are costs them time.
const FOLLOWED: usize = 10;

async fn follow(running: &Running, sizes: &Sizes) -> Result<Vec<f64>> {
    let mut in_force_ms = Vec::new();
    if sizes.services == 0 {
        return Ok(in_force_ms);
    }
    for number in 0..FOLLOWED {
        let published = Instant::now();
        publish_change(running, sizes, 1_000_001 + number).await?;
        in_force_ms.push(in_force(running, published).await?);
    }
    Ok(in_force_ms)
}

/// Waits until every entry holds what the platform has published.
async fn in_force(running: &Running, published: Instant) -> Result<f64> {
    let wanted = published_revision(running).await?;
    for entry in &running.entries {
        wait_until("the change is in force", async || synced(entry).await >= wanted).await?;
    }
    Ok(published.elapsed().as_secs_f64() * 1000.0)
}

async fn published_revision(running: &Running) -> Result<f64> {
    let url = format!("http://{}/v1/changes?after=1000000000", running.platform.replicas[0]);
    let changes: Changes = reqwest::get(url).await?.error_for_status()?.json().await?;
    Ok(changes.revision.value() as f64)
}

async fn synced(entry: &Entry) -> f64 {
    let page = entry.operator_get("/metrics").await.unwrap_or_default();
    value(&page, "shallotd_synced_revision ")
}

async fn accounts(running: &Running) -> Result<Vec<Account>> {
    let mut all = Vec::new();
    for entry in &running.entries {
        all.push(account(entry).await?);
    }
    Ok(all)
}

async fn account(entry: &Entry) -> Result<Account> {
    let pid = entry.program.pid().context("the entry runs")?;
    let page = entry.operator_get("/metrics").await?;
    let peer = |direction: &str| {
        value(&page, &format!("shallotd_peer_bytes_total{{direction=\"{direction}\"}} "))
    };
    Ok(Account {
        control_s: control_thread_cpu_time(pid)?.as_secs_f64(),
        all_s: cpu_time(pid)?.as_secs_f64(),
        resident_bytes: resident_memory(pid)?.value(),
        peer_bytes: peer("sent") + peer("received"),
        platform_bytes: value(&page, "shallotd_platform_bytes_total "),
        platform_calls: value(&page, "shallotd_platform_calls "),
    })
}

fn value(page: &str, metric: &str) -> f64 {
    let line = page.lines().find(|line| line.starts_with(metric));
    line.and_then(|line| line.rsplit(' ').next()?.parse().ok()).unwrap_or(0.0)
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

fn print_row(
    sizes: &Sizes,
    before: &[Account],
    after: &[Account],
    elapsed_s: f64,
    in_force_ms: &[f64],
) {
    let rate = |field: fn(&Account) -> f64| {
        let grown = before.iter().zip(after).map(|(was, is)| field(is) - field(was));
        median(grown.map(|grown| grown / elapsed_s).collect())
    };
    let resident = median(after.iter().map(|account| account.resident_bytes as f64).collect());
    let slowest = in_force_ms.iter().copied().fold(0.0, f64::max);
    println!(
        "| {} | {} | {} | {} | {:.2} | {:.2} | {:.1} | {:.0} | {:.0} | {:.2} | {:.0} | {:.0} |",
        sizes.entries,
        sizes.services,
        sizes.services * sizes.targets_per_service,
        sizes.changes_per_s,
        rate(|account| account.control_s) * 100.0,
        rate(|account| account.all_s) * 100.0,
        resident / 1024.0 / 1024.0,
        rate(|account| account.peer_bytes),
        rate(|account| account.platform_bytes),
        rate(|account| account.platform_calls),
        median(in_force_ms.to_vec()),
        slowest,
    );
}
