//! Prints what becomes of requests with large answers at the smallest VM, with and without reserved
//! room.
//!
//! Run it with `cargo run --release -p shallotfork-transfer --example room_load`. The figures are
//! calculated from a queue in each direction of the link and do not depend on the machine.

#[path = "../tests/support/entry.rs"]
mod entry;

use std::time::Duration;

use entry::{BODY_BUDGET_BYTES, Load, simulate};

/// Requests in a second, and the time that callers take to read in addition to the transmission.
const LOADS: [(u64, u64); 5] = [(5, 0), (10, 0), (20, 0), (100, 0), (100, 60)];
const BYTES_PER_MB: f64 = 1e6;

fn main() {
    println!("Memory for bodies: {:.1} MB", BODY_BUDGET_BYTES as f64 / BYTES_PER_MB);
    println!("| requests/s | read time | room | in time | late | refused | most held |");
    println!("|---|---|---|---|---|---|---|");
    for (requests_per_s, read_time_s) in LOADS {
        let load = Load { requests_per_s, read_time: Duration::from_secs(read_time_s) };
        for has_room in [false, true] {
            let outcome = simulate(&load, has_room);
            let room = if has_room { "reserved" } else { "not reserved" };
            println!(
                "| {requests_per_s} | {read_time_s} s | {room} | {} | {} | {} | {:.1} MB |",
                outcome.in_time(),
                outcome.late,
                outcome.refused,
                outcome.held_bytes_max as f64 / BYTES_PER_MB,
            );
        }
    }
}
