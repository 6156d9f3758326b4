//! Response to a caller's request for the entries to use.

use serde::{Deserialize, Serialize};
use shallotfork_types::{Endpoint, FailureDomain};

/// An entry advertised to callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryAddress {
    /// Address on which the entry accepts requests.
    pub address: Endpoint,
    /// Failure domain of the entry.
    pub failure_domain: FailureDomain,
}

/// Response body of `GET /v1/entries`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntriesAnswer {
    /// Entries to use, most preferred first.
    pub entries: Vec<EntryAddress>,
    /// How long the caller may cache this response, in milliseconds.
    pub keep_for_ms: u64,
    /// Session for non-idempotent requests; a leaving entry issues none.
    pub session: Option<String>,
}
