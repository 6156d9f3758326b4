//! Measures the processor time and memory of control state at several sizes.
//!
//! `docs/CAPACITY.md` extrapolates these results (slopes) to the design size. Run it as a release
//! build on an otherwise idle machine: `cargo run --release -p shallotfork-slopes`.

mod lists;
mod measure;
mod members;
mod operations;
mod pools;
mod rules;

use anyhow::Result;

fn main() -> Result<()> {
    measure::print_header();
    lists::print_memory()?;
    rules::print_memory()?;
    pools::print_memory()?;
    operations::print_memory()?;
    lists::print_times()?;
    rules::print_times()?;
    members::print_times()?;
    operations::print_times()?;
    pools::print_times()?;
    Ok(())
}
