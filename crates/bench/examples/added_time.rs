//! Measures what an entry adds to a request: time, processor time and memory per connection.
//!
//! Requests arrive at a set rate whether or not earlier ones are done, so that a slow moment shows
//! in every request that fell into it. Direct and proxied seconds take turns within one run; the
//! machine's own noise meets both. Arguments: the rates a second to run.

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
const ANSWER: &[u8] = &[b'x'; 500];
const RATES: [u64; 4] = [500, 1000, 2000, 4000];
const ROUNDS: usize = 5;
const ROUND: Duration = Duration::from_secs(1);
const TIMEOUT: Duration = Duration::from_secs(10);
const CONNECTIONS: usize = 1000;
const SIGNIFICANT_DIGITS: u8 = 3;
const REQUEST: &[u8] = b"GET /card HTTP/1.1\r\nhost: fast-desk\r\n\r\n";

/// One way to the targets, and what was measured on it.
struct Path {
    addresses: Vec<Endpoint>,
    client: reqwest::Client,
    latency_us: Histogram<u64>,
    failures: BTreeMap<String, u64>,
}

impl Path {
    fn new(addresses: Vec<Endpoint>) -> anyhow::Result<Self> {
        let latency_us = Histogram::new(SIGNIFICANT_DIGITS)?;
        Ok(Self {
            addresses,
            client: plain_client(TIMEOUT)?,
            latency_us,
            failures: BTreeMap::new(),
        })
    }

    /// Sends at `rate` a second for one round.
    async fn round(&mut self, rate: u64) -> anyhow::Result<()> {
        let total = rate * ROUND.as_secs();
        let (sender, mut ends) = mpsc::unbounded_channel();
        let runtime = tokio::runtime::Handle::current();
        let (client, addresses) = (self.client.clone(), self.addresses.clone());
        let sending = std::thread::spawn(move || {
            let begin = Instant::now();
            for number in 0..total {
                let due = begin + ROUND.mul_f64(number as f64 / total as f64);
                std::thread::sleep(due.saturating_duration_since(Instant::now()));
                let address = addresses[number as usize % addresses.len()];
                let (client, sender) = (client.clone(), sender.clone());
                runtime.spawn(async move {
                    let end = read(&client, address).await;
                    let _receiver_gone = sender.send((due.elapsed(), end));
                });
            }
        });
        while let Some((latency, end)) = ends.recv().await {
            if let Err(error) = end {
                *self.failures.entry(error.to_string()).or_default() += 1;
            }
            self.latency_us.record(u64::try_from(latency.as_micros())?)?;
        }
        sending.join().map_err(|_| anyhow::anyhow!("the sender failed"))
    }

    fn quantile_us(&self, quantile: f64) -> u64 {
        self.latency_us.value_at_quantile(quantile)
    }
}

async fn read(client: &reqwest::Client, address: Endpoint) -> anyhow::Result<()> {
    let sending = client.get(format!("http://{address}/card")).header("host", SERVICE).send();
    let response = sending.await?;
    let status = response.status();
    let body = response.text().await?;
    let reason = body.split(",\"verdict\"").next().unwrap_or_default();
    ensure!(status.is_success(), "{status}: {reason}");
    Ok(())
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let asked: Vec<u64> = std::env::args().skip(1).filter_map(|rate| rate.parse().ok()).collect();
    let rates = if asked.is_empty() { RATES.to_vec() } else { asked };
    let running =
        Case::new().with_setting("measure", "new_connections_per_s", "100000").start().await?;
    let targets = start_targets(&running).await?;
    println!("rate/s  direct p50 p99 us  proxied p50 p99 us  added p50 p99 us  cpu us  failed");
    for rate in rates {
        measure(&running, &targets, rate).await?;
    }
    measure_connections(&running).await
}

/// Serves targets in this process that answer at once, and publishes them.
///
/// The stand-in of a target works for whole milliseconds, which would hide what an entry adds.
async fn start_targets(running: &Running) -> anyhow::Result<Vec<Endpoint>> {
    let mut addresses = Vec::new();
    let mut published = Vec::new();
    for number in 0..TARGETS {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = Endpoint::new(listener.local_addr()?);
        let endpoint = poem::endpoint::make_sync(|_| ANSWER);
        tokio::spawn(serve(listener, endpoint, ServeConfig::default(), ServeControl::new()));
        addresses.push(address);
        published.push(format!(
            r#"{{"id":"fast-{number}","address":"{address}","failure_domain":"kalgoorlie","state":"serving","slots":{SLOTS},"connections_max":1000,"shed_status":null,"http2":false}}"#
        ));
    }
    let targets = format!(r#"{{"targets":[{}]}}"#, published.join(","));
    running.platform.publish(&format!("targets.{SERVICE}"), &targets).await?;
    let client = plain_client(TIMEOUT)?;
    let entry = running.caller_addresses()[0];
    wait_until("the targets are known", async || read(&client, entry).await.is_ok()).await?;
    Ok(addresses)
}

async fn measure(running: &Running, targets: &[Endpoint], rate: u64) -> anyhow::Result<()> {
    let mut direct = Path::new(targets.to_vec())?;
    let mut proxied = Path::new(running.caller_addresses())?;
    for path in [&mut direct, &mut proxied] {
        path.round(rate).await?;
        path.latency_us.reset();
        path.failures.clear();
    }
    let mut cpu_us = 0;
    for _ in 0..ROUNDS {
        direct.round(rate).await?;
        let before_us = cpu_used_us(running)?;
        proxied.round(rate).await?;
        cpu_us += cpu_used_us(running)? - before_us;
    }
    let (direct_p50, direct_p99) = (direct.quantile_us(0.5), direct.quantile_us(0.99));
    let (proxied_p50, proxied_p99) = (proxied.quantile_us(0.5), proxied.quantile_us(0.99));
    println!(
        "{rate:>6}  {direct_p50:>10} {direct_p99:>6}  {proxied_p50:>11} {proxied_p99:>6}  {:>9} {:>6}  {:>6}  {}+{}",
        proxied_p50.saturating_sub(direct_p50),
        proxied_p99.saturating_sub(direct_p99),
        cpu_us / proxied.latency_us.len().max(1),
        direct.failures.values().sum::<u64>(),
        proxied.failures.values().sum::<u64>(),
    );
    for (failure, count) in direct.failures.iter().chain(&proxied.failures) {
        println!("  {count} times {failure}");
    }
    Ok(())
}

/// Processor time of the entry since its start.
fn cpu_used_us(running: &Running) -> anyhow::Result<u64> {
    Ok(u64::try_from(cpu_time(pid(running)?)?.as_micros())?)
}

fn resident_kib(running: &Running) -> anyhow::Result<u64> {
    Ok(resident_memory(pid(running)?)?.value() / 1024)
}

fn pid(running: &Running) -> anyhow::Result<u32> {
    running.entries[0].program.pid().context("a running entry")
}

/// Opens connections that send one request each and stay.
async fn measure_connections(running: &Running) -> anyhow::Result<()> {
    let before_kib = resident_kib(running)?;
    let mut open = Vec::new();
    for _ in 0..CONNECTIONS {
        let mut stream = TcpStream::connect(running.caller_addresses()[0].address()).await?;
        stream.write_all(REQUEST).await?;
        let mut first = [0; 1];
        stream.read_exact(&mut first).await?;
        open.push(stream);
    }
    let grown_kib = resident_kib(running)?.saturating_sub(before_kib);
    println!(
        "{CONNECTIONS} kept connections: {} bytes each",
        grown_kib * 1024 / CONNECTIONS as u64
    );
    Ok(())
}
