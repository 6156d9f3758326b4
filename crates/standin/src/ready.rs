//! Line that a stand-in prints after startup, from which the process that started it learns its
//! ports.

use std::io::{self, Write};

use serde::{Deserialize, Serialize};
use shallotfork_types::Endpoint;

/// Addresses of a stand-in, printed as one JSON line as soon as its ports are bound.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ready {
    /// Always true; distinguishes this line from log lines.
    pub ready: bool,
    /// Address that accepts requests; that of the first replica for a platform.
    pub address: Endpoint,
    /// Control address, to set faults and read records.
    pub control: Endpoint,
    /// Addresses of all replicas of a platform; empty for a target.
    #[serde(default)]
    pub replicas: Vec<Endpoint>,
}

/// Prints the ready line on standard output.
///
/// # Errors
/// Returns an error if the line cannot be written, as when standard output is closed.
pub fn print_ready(ready: &Ready) -> io::Result<()> {
    let line = serde_json::to_string(ready)?;
    let mut out = io::stdout().lock();
    writeln!(out, "{line}")?;
    out.flush()
}
