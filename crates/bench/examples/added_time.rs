//! Measures what an entry adds to a request: latency, processor time and memory per connection.
//!
//! The load is open-loop: requests are sent at a fixed rate whether or not earlier ones have ended,
//! so a stall shows in every request due during it. Direct and proxied rounds of one second
//! alternate within one run, so that noise on the machine affects both. Arguments: the rates to
//! run, in requests per second.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use anyhow::{Context, ensure};
use hdrhistogram::Histogram;
use shallotfork_bench::{cpu_time, resident_memory};
use shallotfork_exchange::{ServeConfig, ServeControl, serve};
use shallotfork_standin::caller::plain_client;
use shallotfork_tests::{Case, Running, wait_until};
use shallotfork_types::Endpoint;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

const SERVICE: &str = "fast-desk";
const TARGETS: usize = 8;
const SLOTS: usize = 64;
const RESPONSE_BODY: &[u8] = &[b'x'; 500];
const RATES: [u64; 4] = [500, 1000, 2000, 4000];
const ROUNDS: usize = 5;
const ROUND_DURATION: Duration = Duration::from_secs(1);
const TIMEOUT: Duration = Duration::from_secs(10);
const CONNECTIONS: usize = 1000;
const SIGNIFICANT_DIGITS: u8 = 3;
const RAW_REQUEST: &[u8] = b"GET /card HTTP/1.1\r\nhost: fast-desk\r\n\r\n";

/// A path to the targets, direct or through an entry, and the measurements on it.
struct RequestPath {
    addresses: Vec<Endpoint>,
    client: reqwest::Client,
    latency_us: Histogram<u64>,
    error_counts: BTreeMap<String, u64>,
}

impl RequestPath {
    fn new(addresses: Vec<Endpoint>) -> anyhow::Result<Self> {
        let latency_us = Histogram::new(SIGNIFICANT_DIGITS)?;
        Ok(Self {
            addresses,
            client: plain_client(TIMEOUT)?,
            latency_us,
            error_counts: BTreeMap::new(),
        })
    }

    /// Sends `rate` requests per second for one round.
    async fn run_round(&mut self, rate: u64) -> anyhow::Result<()> {
        let total = rate * ROUND_DURATION.as_secs();
        let (sender, mut results) = mpsc::unbounded_channel();
        let runtime = tokio::runtime::Handle::current();
        let (client, addresses) = (self.client.clone(), self.addresses.clone());
        let generator = std::thread::spawn(move || {
            let started_at = Instant::now();
            for number in 0..total {
                let due = started_at + ROUND_DURATION.mul_f64(number as f64 / total as f64);
                std::thread::sleep(due.saturating_duration_since(Instant::now()));
                let address = addresses[number as usize % addresses.len()];
                let (client, sender) = (client.clone(), sender.clone());
                runtime.spawn(async move {
                    let result = send_request(&client, address).await;
                    let _receiver_gone = sender.send((due.elapsed(), result));
                });
            }
        });
        while let Some((latency, result)) = results.recv().await {
            if let Err(error) = result {
                *self.error_counts.entry(error.to_string()).or_default() += 1;
            }
            self.latency_us.record(u64::try_from(latency.as_micros())?)?;
        }
        generator.join().map_err(|_| anyhow::anyhow!("the sending thread panicked"))
    }

    fn quantile_us(&self, quantile: f64) -> u64 {
        self.latency_us.value_at_quantile(quantile)
    }
}

async fn send_request(client: &reqwest::Client, address: Endpoint) -> anyhow::Result<()> {
    let request = client.get(format!("http://{address}/card")).header("host", SERVICE).send();
    let response = request.await?;
    let status = response.status();
    let body = response.text().await?;
    let reason = body.split(",\"verdict\"").next().unwrap_or_default();
    ensure!(status.is_success(), "{status}: {reason}");
    Ok(())
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let requested: Vec<u64> =
        std::env::args().skip(1).filter_map(|rate| rate.parse().ok()).collect();
    let rates = if requested.is_empty() { RATES.to_vec() } else { requested };
    let running =
        Case::new().with_setting("measure", "new_connections_per_s", "100000").start().await?;
    let targets = start_targets(&running).await?;
    println!("rate/s  direct p50 p99 us  proxied p50 p99 us  added p50 p99 us  cpu us  failed");
    for rate in rates {
        measure(&running, &targets, rate).await?;
    }
    measure_connections(&running).await
}

/// Serves targets in this process that answer immediately, and publishes them.
///
/// The target stand-in works for whole milliseconds, which would hide the time an entry adds.
async fn start_targets(running: &Running) -> anyhow::Result<Vec<Endpoint>> {
    let mut addresses = Vec::new();
    let mut items = Vec::new();
    for number in 0..TARGETS {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = Endpoint::new(listener.local_addr()?);
        let endpoint = poem::endpoint::make_sync(|_| RESPONSE_BODY);
        tokio::spawn(serve(listener, endpoint, ServeConfig::default(), ServeControl::new()));
        addresses.push(address);
        items.push(format!(
            r#"{{"id":"fast-{number}","address":"{address}","failure_domain":"kalgoorlie","state":"serving","slots":{SLOTS},"connections_max":1000,"shed_status":null,"http2":false}}"#
        ));
    }
    let targets = format!(r#"{{"targets":[{}]}}"#, items.join(","));
    running.platform.publish(&format!("targets.{SERVICE}"), &targets).await?;
    let client = plain_client(TIMEOUT)?;
    let entry = running.caller_addresses()[0];
    wait_until("the targets are known", async || send_request(&client, entry).await.is_ok())
        .await?;
    Ok(addresses)
}

async fn measure(running: &Running, targets: &[Endpoint], rate: u64) -> anyhow::Result<()> {
    let mut direct = RequestPath::new(targets.to_vec())?;
    let mut proxied = RequestPath::new(running.caller_addresses())?;
    for path in [&mut direct, &mut proxied] {
        path.run_round(rate).await?;
        path.latency_us.reset();
        path.error_counts.clear();
    }
    let mut cpu_us = 0;
    for _ in 0..ROUNDS {
        direct.run_round(rate).await?;
        let before_us = entry_cpu_us(running)?;
        proxied.run_round(rate).await?;
        cpu_us += entry_cpu_us(running)? - before_us;
    }
    let (direct_p50, direct_p99) = (direct.quantile_us(0.5), direct.quantile_us(0.99));
    let (proxied_p50, proxied_p99) = (proxied.quantile_us(0.5), proxied.quantile_us(0.99));
    println!(
        "{rate:>6}  {direct_p50:>10} {direct_p99:>6}  {proxied_p50:>11} {proxied_p99:>6}  {:>9} {:>6}  {:>6}  {}+{}",
        proxied_p50.saturating_sub(direct_p50),
        proxied_p99.saturating_sub(direct_p99),
        cpu_us / proxied.latency_us.len().max(1),
        direct.error_counts.values().sum::<u64>(),
        proxied.error_counts.values().sum::<u64>(),
    );
    for (failure, count) in direct.error_counts.iter().chain(&proxied.error_counts) {
        println!("  {count} times {failure}");
    }
    Ok(())
}

/// Returns the processor time that the entry has used since its start, in microseconds.
fn entry_cpu_us(running: &Running) -> anyhow::Result<u64> {
    Ok(u64::try_from(cpu_time(pid(running)?)?.as_micros())?)
}

fn resident_kib(running: &Running) -> anyhow::Result<u64> {
    Ok(resident_memory(pid(running)?)?.value() / 1024)
}

fn pid(running: &Running) -> anyhow::Result<u32> {
    running.entries[0].program.pid().context("the entry is not running")
}

/// Measures the entry's memory per connection, with connections kept open after one request each.
async fn measure_connections(running: &Running) -> anyhow::Result<()> {
    let before_kib = resident_kib(running)?;
    let mut open = Vec::new();
    for _ in 0..CONNECTIONS {
        let mut stream = TcpStream::connect(running.caller_addresses()[0].address()).await?;
        stream.write_all(RAW_REQUEST).await?;
        let mut first_byte = [0; 1];
        stream.read_exact(&mut first_byte).await?;
        open.push(stream);
    }
    let growth_kib = resident_kib(running)?.saturating_sub(before_kib);
    println!(
        "{CONNECTIONS} kept connections: {} bytes each",
        growth_kib * 1024 / CONNECTIONS as u64
    );
    Ok(())
}
