//! Options for requests to entries.

use std::path::PathBuf;
use std::time::Duration;

use shallotfork_types::Endpoint;

/// Entries to query, and how to query them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntriesConfig {
    /// Addresses of the operator ports, or of the metrics ports if metrics are read.
    pub entries: Vec<Endpoint>,
    /// File with the token that the operator ports require.
    pub token_file: Option<PathBuf>,
    /// Timeout of a request to one entry.
    pub timeout: Duration,
}

impl Default for EntriesConfig {
    fn default() -> Self {
        Self { entries: Vec::new(), token_file: None, timeout: Duration::from_secs(2) }
    }
}
