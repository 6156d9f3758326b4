//! The daemon: one process on each entry VM.
//!
//! Control state lives on one thread (`control`): published lists, membership, the ledger, calls
//! between entries and probes. Traffic threads (`traffic`) read snapshots that control publishes.
//! `operator` answers operators on a port of its own.

pub mod args;
mod context;
mod control;
mod identity;
mod leave;
pub mod metrics_catalogue;
mod operator;
mod run;
mod snapshot;
mod traffic;

pub use run::{load_settings, run};
