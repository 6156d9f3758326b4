//! Options of `shallotctl status`.

use crate::entries_config::EntriesConfig;

/// Options of `shallotctl status`.
#[derive(Debug)]
pub struct StatusConfig {
    /// The entries to query.
    pub entries: EntriesConfig,
    /// Whether to print JSON, for scripts.
    pub json: bool,
}
