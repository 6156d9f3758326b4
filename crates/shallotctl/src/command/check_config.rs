//! Options of `shallotctl check`.

use std::path::PathBuf;

use shallotfork_types::ServiceName;

/// Options of `shallotctl check`.
#[derive(Debug)]
pub struct CheckConfig {
    /// File with the rule list.
    pub file: PathBuf,
    /// The service that the list is for; the general list when left out.
    pub service: Option<ServiceName>,
    /// Output for scripts.
    pub json: bool,
}
