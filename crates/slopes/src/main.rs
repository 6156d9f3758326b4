//! Measures what control state costs in processor time and memory, at several sizes each.
//!
//! `docs/CAPACITY.md` multiplies these slopes up to the size to design for. Run it in a release
//! build on a quiet machine: `cargo run --release -p shallotfork-slopes`.

mod lists;
mod measure;
mod members;
mod operations;
mod pools;
mod rules;

use anyhow::Result;

fn main() -> Result<()> {
    measure::print_head();
    lists::lists_memory()?;
    rules::rules_memory()?;
    pools::pools_memory()?;
    operations::operations_memory()?;
    lists::lists()?;
    rules::rules()?;
    members::members()?;
    operations::operations()?;
    pools::pools()?;
    Ok(())
}
