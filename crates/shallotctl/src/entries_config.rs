//! Which entries are asked and how.

use std::path::PathBuf;
use std::time::Duration;

use shallotfork_types::Endpoint;

/// The entries to ask on their operators' port.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntriesConfig {
    /// Operators' ports.
    pub entries: Vec<Endpoint>,
    /// File with the token that they ask for.
    pub token_file: Option<PathBuf>,
    /// Time within which each must answer.
    pub timeout: Duration,
}

impl Default for EntriesConfig {
    fn default() -> Self {
        Self { entries: Vec::new(), token_file: None, timeout: Duration::from_secs(2) }
    }
}
