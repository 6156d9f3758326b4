//! Options of `shallotctl check`.

use std::path::PathBuf;

use shallotfork_types::ServiceName;

/// Options of `shallotctl check`.
#[derive(Debug)]
pub struct CheckConfig {
    /// File with the rule list.
    pub file: PathBuf,
    /// The service whose own rules the file holds; a general list by default.
    pub service: Option<ServiceName>,
    /// Output for scripts.
    pub json: bool,
}
