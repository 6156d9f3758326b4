//! Options of `shallotctl explain`.

use std::path::PathBuf;

use jiff::Timestamp;
use shallotfork_types::{CallerName, Permille, ServiceName};

use crate::entries_config::EntriesConfig;

/// Where the rules come from.
#[derive(Debug)]
pub enum RulesSource {
    /// Files: the general list, and the service's own one if it has any.
    Files(PathBuf, Option<PathBuf>),
    /// The rules in force at an entry.
    Entry(EntriesConfig),
}

/// Options of `shallotctl explain`.
#[derive(Debug)]
pub struct ExplainConfig {
    /// Where the rules come from.
    pub source: RulesSource,
    /// The service that the request asks for.
    pub service: ServiceName,
    /// Who sends it.
    pub caller: Option<CallerName>,
    /// When it is sent; now by default.
    pub at: Timestamp,
    /// Load of the service; unknown by default.
    pub load: Option<Permille>,
    /// Output for scripts.
    pub json: bool,
}
