//! Options of `shallotctl explain`.

use std::path::PathBuf;

use jiff::Timestamp;
use shallotfork_types::{CallerName, Permille, ServiceName};

use crate::entries_config::EntriesConfig;

/// Source of the rules.
#[derive(Debug)]
pub enum RulesSource {
    /// Files with the general rule list and, optionally, the service's own rule list.
    Files(PathBuf, Option<PathBuf>),
    /// The rules in force at an entry.
    Entry(EntriesConfig),
}

/// Options of `shallotctl explain`.
#[derive(Debug)]
pub struct ExplainConfig {
    /// Source of the rules.
    pub source: RulesSource,
    /// The requested service.
    pub service: ServiceName,
    /// The caller that sends the request.
    pub caller: Option<CallerName>,
    /// Time of the request; now by default.
    pub at: Timestamp,
    /// Load of the service; `None` if unknown.
    pub load: Option<Permille>,
    /// Whether to print JSON, for scripts.
    pub json: bool,
}
