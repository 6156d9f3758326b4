//! An entry's answer about which entries to use.

use serde::{Deserialize, Serialize};
use shallotfork_types::{Endpoint, FailureDomain};

/// One entry that a caller may use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryAddress {
    /// Where it takes requests.
    pub address: Endpoint,
    /// Where it stands.
    pub failure_domain: FailureDomain,
}

/// Body of `GET /v1/entries`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntriesAnswer {
    /// Entries in order of preference.
    pub entries: Vec<EntryAddress>,
    /// How long the caller may use this answer.
    pub keep_for_ms: u64,
    /// Session for non-idempotent requests; a leaving entry issues none.
    pub session: Option<String>,
}
