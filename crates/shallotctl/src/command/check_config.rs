//! Options of `shallotctl check`.

use std::path::PathBuf;

use shallotfork_types::ServiceName;

/// Options of `shallotctl check`.
#[derive(Debug)]
pub struct CheckConfig {
    /// File with the rule list.
    pub file: PathBuf,
    /// The service whose own rules the file holds; `None` for a general list.
    pub service: Option<ServiceName>,
    /// Whether to print JSON, for scripts.
    pub json: bool,
}
