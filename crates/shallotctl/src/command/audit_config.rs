//! Options of `shallotctl audit`.

use crate::entries_config::EntriesConfig;

/// Options of `shallotctl audit`.
#[derive(Debug)]
pub struct AuditConfig {
    /// The entries to query.
    pub entries: EntriesConfig,
    /// Whether to print JSON, for scripts.
    pub json: bool,
}
