//! Options of `shallotctl configuration`.

use crate::entries_config::EntriesConfig;

/// Options of `shallotctl configuration`.
#[derive(Debug)]
pub struct ConfigurationConfig {
    /// The entries to query, on their metrics ports.
    pub entries: EntriesConfig,
    /// Whether to print JSON, for scripts.
    pub json: bool,
}
