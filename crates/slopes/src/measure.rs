//! Measurement of processor time and resident memory, and the table of results.

use std::hint::black_box;
use std::time::{Duration, Instant};

use anyhow::{Context as _, Result};

/// Rounds of one measurement; the table shows their median, minimum and maximum.
const ROUNDS: usize = 7;

/// Minimum duration of a round, so that the resolution of the clock does not matter.
const ROUND_DURATION_MIN: Duration = Duration::from_millis(20);

/// Size of a memory page on the machines on which this program runs.
const PAGE_BYTES: u64 = 4096;

/// Prints the header of the table.
pub fn print_header() {
    println!("| what | size | median | least | most | unit |");
    println!("|---|---|---|---|---|---|");
}

/// Measures the time of one call of `work` in nanoseconds and prints a row.
pub fn measure_time<T>(what: &str, size: usize, mut work: impl FnMut() -> T) {
    let calls = calls_per_round(&mut work);
    let mut rounds: Vec<f64> = (0..ROUNDS).map(|_| time_round(calls, &mut work)).collect();
    rounds.sort_by(f64::total_cmp);
    print_row(what, size, &rounds, "ns");
}

/// Measures the resident memory per item of a value with `items` items and prints a row.
///
/// The values are never freed: later measurements would reuse the freed pages and show no growth.
///
/// # Errors
/// When the resident memory of this process cannot be read.
pub fn measure_memory<T>(what: &str, items: usize, build: impl Fn() -> T) -> Result<()> {
    let mut rounds = Vec::new();
    for _ in 0..ROUNDS {
        let before = resident_bytes()?;
        std::mem::forget(black_box(build()));
        let growth = resident_bytes()?.saturating_sub(before);
        rounds.push(growth as f64 / items as f64);
    }
    rounds.sort_by(f64::total_cmp);
    print_row(what, items, &rounds, "bytes each");
    Ok(())
}

fn calls_per_round<T>(work: &mut impl FnMut() -> T) -> u32 {
    let mut calls = 1;
    loop {
        let started = Instant::now();
        for _ in 0..calls {
            black_box(work());
        }
        if started.elapsed() >= ROUND_DURATION_MIN {
            return calls;
        }
        calls *= 2;
    }
}

fn time_round<T>(calls: u32, work: &mut impl FnMut() -> T) -> f64 {
    let started = Instant::now();
    for _ in 0..calls {
        black_box(work());
    }
    started.elapsed().as_nanos() as f64 / f64::from(calls)
}

fn print_row(what: &str, size: usize, sorted: &[f64], unit: &str) {
    let median = sorted[sorted.len() / 2];
    let (least, most) = (sorted[0], sorted[sorted.len() - 1]);
    println!("| {what} | {size} | {median:.0} | {least:.0} | {most:.0} | {unit} |");
}

fn resident_bytes() -> Result<u64> {
    let statm = std::fs::read_to_string("/proc/self/statm")?;
    let pages = statm.split_whitespace().nth(1).context("statm has no second field")?;
    Ok(pages.parse::<u64>()? * PAGE_BYTES)
}
