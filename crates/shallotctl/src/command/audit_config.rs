//! Options of `shallotctl audit`.

use crate::entries_config::EntriesConfig;

/// Options of `shallotctl audit`.
#[derive(Debug)]
pub struct AuditConfig {
    /// The entries to ask.
    pub entries: EntriesConfig,
    /// Output for scripts.
    pub json: bool,
}
