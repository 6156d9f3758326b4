//! Options of `shallotctl status`.

use crate::entries_config::EntriesConfig;

/// Options of `shallotctl status`.
#[derive(Debug)]
pub struct StatusConfig {
    /// The entries to ask.
    pub entries: EntriesConfig,
    /// Output for scripts.
    pub json: bool,
}
