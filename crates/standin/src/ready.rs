//! The line that a started program prints, so that whoever started it learns its ports.

use std::io::{self, Write};

use serde::{Deserialize, Serialize};
use shallotfork_types::Endpoint;

/// What a stand-in prints as one JSON line as soon as its ports are bound.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ready {
    /// Always true; it tells this line from log lines.
    pub ready: bool,
    /// Where requests are taken; the first replica's for a platform.
    pub address: Endpoint,
    /// Where faults are set and records read.
    pub control: Endpoint,
    /// Every replica's address, of a platform.
    #[serde(default)]
    pub replicas: Vec<Endpoint>,
}

/// Prints the ready line on standard output.
///
/// # Errors
/// When standard output is closed.
pub fn print_ready(ready: &Ready) -> io::Result<()> {
    let line = serde_json::to_string(ready)?;
    let mut out = io::stdout().lock();
    writeln!(out, "{line}")?;
    out.flush()
}
