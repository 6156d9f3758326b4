//! Measures the control-plane cost of an entry without caller traffic: processor time of the
//! control thread, memory, and bytes between entries and from the platform, for a given size of
//! the fleet and its lists.
//!
//! Only lists are published and no target runs: without caller traffic, entries send nothing to
//! targets.
//!
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
    duration_s: u64,
}

/// Resources that one entry has used up to a moment.
#[derive(Debug, Clone, Copy, Default)]
struct Usage {
    control_thread_s: f64,
    process_s: f64,
    resident_bytes: u64,
    peer_bytes: f64,
    platform_bytes: f64,
    platform_calls: f64,
}

#[tokio::main]
async fn main() -> Result<()> {
    let sizes = parse_sizes()?;
    let running = Case::new().with_entries(sizes.entries).start().await?;
    publish_services(&running, &sizes).await?;
    let before = read_all_usage(&running).await?;
    let started = Instant::now();
    publish_changes(&running, &sizes).await?;
    let elapsed_s = started.elapsed().as_secs_f64();
    let after = read_all_usage(&running).await?;
    let in_force_ms = measure_in_force_times(&running, &sizes).await?;
    print_row(&sizes, &before, &after, elapsed_s, &in_force_ms);
    Ok(())
}

fn parse_sizes() -> Result<Sizes> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    ensure!(
        args.len() == 5,
        "expected five arguments: ENTRIES SERVICES TARGETS_PER_SERVICE CHANGES_PER_S SECONDS"
    );
    Ok(Sizes {
        entries: args[0].parse()?,
        services: args[1].parse()?,
        targets_per_service: args[2].parse()?,
        changes_per_s: args[3].parse()?,
        duration_s: args[4].parse()?,
    })
}

fn targets_json(service: usize, count: usize, generation: usize) -> String {
    let target_json = |index: usize| {
        let port = 1024 + (service * count + index) % 60_000;
        let state = if (generation + index).is_multiple_of(count) { "draining" } else { "serving" };
        format!(
            "{{\"id\":\"service-{service}-target-{index}\",\"address\":\"127.0.0.2:{port}\",\
             \"failure_domain\":\"domain-{}\",\"state\":\"{state}\",\"slots\":2,\
             \"connections_max\":200,\"shed_status\":503}}",
            index % 3
        )
    };
    let all: Vec<String> = (0..count).map(target_json).collect();
    format!("{{\"targets\":[{}]}}", all.join(","))
}

async fn publish_services(running: &Running, sizes: &Sizes) -> Result<()> {
    for service in 0..sizes.services {
        let content = targets_json(service, sizes.targets_per_service, 0);
        running.platform.publish(&format!("targets.service-{service}"), &content).await?;
    }
    let expected_lists = sizes.services + 3;
    for entry in &running.entries {
        wait_until("every list is in force", async || {
            list_count(entry).await >= expected_lists.min(sizes.services)
        })
        .await?;
    }
    Ok(())
}

async fn list_count(entry: &Entry) -> usize {
    entry.status().await.map_or(0, |status| status.lists.len())
}

/// Publishes changes at the configured rate for the configured duration.
async fn publish_changes(running: &Running, sizes: &Sizes) -> Result<()> {
    let end = Instant::now() + Duration::from_secs(sizes.duration_s);
    if sizes.changes_per_s == 0.0 || sizes.services == 0 {
        tokio::time::sleep(Duration::from_secs(sizes.duration_s)).await;
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
    let content = targets_json(service, sizes.targets_per_service, generation);
    running.platform.publish(&format!("targets.service-{service}"), &content).await
}

/// Number of changes whose time until they are in force on every entry is measured.
///
/// They are published after the usage is read, since polling the entries costs them processor time.
const MEASURED_CHANGES: usize = 10;

async fn measure_in_force_times(running: &Running, sizes: &Sizes) -> Result<Vec<f64>> {
    let mut in_force_ms = Vec::new();
    if sizes.services == 0 {
        return Ok(in_force_ms);
    }
    for number in 0..MEASURED_CHANGES {
        let published_at = Instant::now();
        publish_change(running, sizes, 1_000_001 + number).await?;
        in_force_ms.push(wait_in_force(running, published_at).await?);
    }
    Ok(in_force_ms)
}

/// Waits until every entry has synced the published revision; returns the milliseconds since
/// publication.
async fn wait_in_force(running: &Running, published_at: Instant) -> Result<f64> {
    let expected = published_revision(running).await?;
    for entry in &running.entries {
        wait_until("the change is in force", async || synced_revision(entry).await >= expected)
            .await?;
    }
    Ok(published_at.elapsed().as_secs_f64() * 1000.0)
}

async fn published_revision(running: &Running) -> Result<f64> {
    let url = format!("http://{}/v1/changes?after=1000000000", running.platform.replicas[0]);
    let changes: Changes = reqwest::get(url).await?.error_for_status()?.json().await?;
    Ok(changes.revision.value() as f64)
}

async fn synced_revision(entry: &Entry) -> f64 {
    let metrics = entry.operator_get("/metrics").await.unwrap_or_default();
    metric_value(&metrics, "shallotd_synced_revision ")
}

async fn read_all_usage(running: &Running) -> Result<Vec<Usage>> {
    let mut all = Vec::new();
    for entry in &running.entries {
        all.push(read_usage(entry).await?);
    }
    Ok(all)
}

async fn read_usage(entry: &Entry) -> Result<Usage> {
    let pid = entry.program.pid().context("the entry is not running")?;
    let metrics = entry.operator_get("/metrics").await?;
    let peer = |direction: &str| {
        metric_value(&metrics, &format!("shallotd_peer_bytes_total{{direction=\"{direction}\"}} "))
    };
    Ok(Usage {
        control_thread_s: control_thread_cpu_time(pid)?.as_secs_f64(),
        process_s: cpu_time(pid)?.as_secs_f64(),
        resident_bytes: resident_memory(pid)?.value(),
        peer_bytes: peer("sent") + peer("received"),
        platform_bytes: metric_value(&metrics, "shallotd_platform_bytes_total "),
        platform_calls: metric_value(&metrics, "shallotd_platform_calls "),
    })
}

fn metric_value(metrics: &str, metric: &str) -> f64 {
    let line = metrics.lines().find(|line| line.starts_with(metric));
    line.and_then(|line| line.rsplit(' ').next()?.parse().ok()).unwrap_or(0.0)
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

fn print_row(
    sizes: &Sizes,
    before: &[Usage],
    after: &[Usage],
    elapsed_s: f64,
    in_force_ms: &[f64],
) {
    let rate = |field: fn(&Usage) -> f64| {
        let growth = before.iter().zip(after).map(|(earlier, later)| field(later) - field(earlier));
        median(growth.map(|growth| growth / elapsed_s).collect())
    };
    let resident = median(after.iter().map(|usage| usage.resident_bytes as f64).collect());
    let slowest = in_force_ms.iter().copied().fold(0.0, f64::max);
    println!(
        "| {} | {} | {} | {} | {:.2} | {:.2} | {:.1} | {:.0} | {:.0} | {:.2} | {:.0} | {:.0} |",
        sizes.entries,
        sizes.services,
        sizes.services * sizes.targets_per_service,
        sizes.changes_per_s,
        rate(|usage| usage.control_thread_s) * 100.0,
        rate(|usage| usage.process_s) * 100.0,
        resident / 1024.0 / 1024.0,
        rate(|usage| usage.peer_bytes),
        rate(|usage| usage.platform_bytes),
        rate(|usage| usage.platform_calls),
        median(in_force_ms.to_vec()),
        slowest,
    );
}
