//! Timing, resident memory and the table.

use std::hint::black_box;
use std::time::{Duration, Instant};

use anyhow::{Context as _, Result};

/// Rounds of one measurement; their median is printed, with the spread.
const ROUNDS: usize = 7;

/// Time that one round should take at least, so that the clock's steps do not matter.
const ROUND_MIN: Duration = Duration::from_millis(20);

/// Bytes in one page of memory on the machines that this runs on.
const PAGE_BYTES: u64 = 4096;

/// Prints the head of the table.
pub fn print_head() {
    println!("| what | size | median | least | most | unit |");
    println!("|---|---|---|---|---|---|");
}

/// Measures the processor time of one call of `work`, in nanoseconds, and prints a row.
pub fn time<T>(what: &str, size: usize, mut work: impl FnMut() -> T) {
    let calls = calls_per_round(&mut work);
    let mut rounds: Vec<f64> = (0..ROUNDS).map(|_| round(calls, &mut work)).collect();
    rounds.sort_by(f64::total_cmp);
    row(what, size, &rounds, "ns");
}

/// Measures the resident memory that `make` leaves behind for each of `items`, and prints a row.
///
/// What was made is never freed: later measurements would fill the freed pages and show nothing.
///
/// # Errors
/// When the kernel's account of this process cannot be read.
pub fn memory<T>(what: &str, items: usize, make: impl Fn() -> T) -> Result<()> {
    let mut rounds = Vec::new();
    for _ in 0..ROUNDS {
        let before = resident_bytes()?;
        std::mem::forget(black_box(make()));
        let grown = resident_bytes()?.saturating_sub(before);
        rounds.push(grown as f64 / items as f64);
    }
    rounds.sort_by(f64::total_cmp);
    row(what, items, &rounds, "bytes each");
    Ok(())
}

fn calls_per_round<T>(work: &mut impl FnMut() -> T) -> u32 {
    let mut calls = 1;
    loop {
        let started = Instant::now();
        for _ in 0..calls {
            black_box(work());
        }
        if started.elapsed() >= ROUND_MIN {
            return calls;
        }
        calls *= 2;
    }
}

fn round<T>(calls: u32, work: &mut impl FnMut() -> T) -> f64 {
    let started = Instant::now();
    for _ in 0..calls {
        black_box(work());
    }
    started.elapsed().as_nanos() as f64 / f64::from(calls)
}

fn row(what: &str, size: usize, sorted: &[f64], unit: &str) {
    let median = sorted[sorted.len() / 2];
    let (least, most) = (sorted[0], sorted[sorted.len() - 1]);
    println!("| {what} | {size} | {median:.0} | {least:.0} | {most:.0} | {unit} |");
}

fn resident_bytes() -> Result<u64> {
    let account = std::fs::read_to_string("/proc/self/statm")?;
    let pages = account.split_whitespace().nth(1).context("statm has a second field")?;
    Ok(pages.parse::<u64>()? * PAGE_BYTES)
}
