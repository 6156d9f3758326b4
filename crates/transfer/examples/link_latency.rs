//! Prints the latency of ordinary answers at an entry's link beside large ones, with and without
//! the pacer, by bandwidth and traffic mix.
//!
//! Run it with `cargo run --release -p shallotfork-transfer --example link_latency`. The figures
//! are calculated from a queue at the link and do not depend on the machine.

#[path = "../tests/support/link.rs"]
mod link;

use std::time::Duration;

use link::{Latencies, Traffic, Writes, latencies, quantile};
use shallotfork_transfer::{LinkPacer, PacerConfig};
use shallotfork_types::{Bytes, BytesPerSecond};

const LINKS_MBPS: [u32; 3] = [10, 50, 200];
const BYTES_PER_MEGABIT: u32 = 125_000;
/// Thousandths of the link for ordinary and for large answers.
const MIXES_PERMILLE: [(u64, u64); 6] =
    [(100, 0), (100, 300), (100, 600), (300, 300), (300, 500), (200, 900)];
/// Largest chunk that the exchange writes.
const EXCHANGE_CHUNK: Bytes = Bytes::from_kib(16);
const SIMULATED: Duration = Duration::from_secs(120);

fn main() {
    println!("| link | ordinary | large | written | ordinary p50 | p99 | max | large p50 | p99 |");
    println!("|---|---|---|---|---|---|---|---|---|");
    for mbps in LINKS_MBPS {
        for (ordinary_permille, large_permille) in MIXES_PERMILLE {
            let link = BytesPerSecond::new(mbps * BYTES_PER_MEGABIT);
            let traffic = Traffic { link, ordinary_permille, large_permille, duration: SIMULATED };
            for writes in kinds_of_writes(&traffic) {
                let written = match writes {
                    Writes::AtOnce => "at once".to_owned(),
                    Writes::Paced { chunk } => format!("paced, chunks of {} B", chunk.value()),
                };
                print!("| {mbps} Mbit/s | {}% | {}% ", ordinary_permille / 10, large_permille / 10);
                println!("| {written} {}", columns(&latencies(&traffic, writes)));
            }
        }
    }
}

/// Returns the kinds of writes to compare. Chunks of the exchange are used where they are not larger
/// than those that the pacer asks for.
fn kinds_of_writes(traffic: &Traffic) -> Vec<Writes> {
    let wanted = LinkPacer::new(PacerConfig::new(traffic.link)).chunk_size();
    let mut chunks = vec![EXCHANGE_CHUNK];
    if wanted < EXCHANGE_CHUNK {
        chunks.push(wanted);
    }
    if traffic.large_permille == 0 {
        chunks.clear();
    }
    let paced = chunks.into_iter().map(|chunk| Writes::Paced { chunk });
    std::iter::once(Writes::AtOnce).chain(paced).collect()
}

fn columns(latencies: &Latencies) -> String {
    let Latencies { ordinary, large } = latencies;
    let quantiles = [
        quantile(ordinary, 500),
        quantile(ordinary, 990),
        quantile(ordinary, 1000),
        quantile(large, 500),
        quantile(large, 990),
    ];
    let texts = quantiles.map(|value| match value {
        Duration::ZERO => "| - ".to_owned(),
        value => format!("| {:.1} ms ", value.as_secs_f64() * 1000.0),
    });
    texts.concat() + "|"
}
