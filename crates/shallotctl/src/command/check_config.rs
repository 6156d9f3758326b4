//! Options of `shallotctl check`.

use std::path::PathBuf;

/// Options of `shallotctl check`.
#[derive(Debug)]
pub struct CheckConfig {
    /// File with the rule list.
    pub file: PathBuf,
    /// Output for scripts.
    pub json: bool,
}
