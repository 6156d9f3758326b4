//! The daemon that runs on each entry VM.
//!
//! The control thread (`control`) owns the published lists, membership, the ledger, calls between
//! entries and probes. Traffic threads (`traffic`) read the snapshots that it publishes. `operator`
//! serves operators on a separate port.

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
