//! Header names, paths and formats that a platform uses with callers and targets.

use std::time::Duration;

use http::HeaderName;
use shallotfork_balance::TargetLoad;
use shallotfork_types::{Endpoint, FailureDomain};

/// Names of the headers that a platform's callers, entries and targets exchange.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Identifies one attempt of a caller; echoed by targets.
    pub request_id: HeaderName,
    /// Milliseconds for which the sender still waits.
    pub deadline_ms: HeaderName,
    /// The only target that may run the request; any other one answers 421.
    pub expected_target: HeaderName,
    /// Proves to a caller that an answer comes from its target.
    pub signature: HeaderName,
    /// Marks an answer to a request that did not run.
    pub not_run: HeaderName,
    /// Load that a target reports.
    pub load: HeaderName,
    /// Rate limit of a target in requests per second, for all entries together.
    pub rate_limit: HeaderName,
    /// States in an answer that its target is leaving, by the value `1`.
    pub leaving: HeaderName,
    /// Milliseconds for which a target stays cold, in answers to health requests.
    pub warmup_remaining_ms: HeaderName,
}

/// Paths that the entry answers itself, outside of all routes.
#[derive(Debug, Clone)]
pub struct Paths {
    /// Path that reports whether this process takes new work.
    pub readiness: String,
    /// Path that lists the addresses that a caller should use.
    pub directory: String,
}

/// Platform-specific header names, paths and formats.
#[derive(Debug, Clone)]
pub struct Dialect {
    /// Names of headers.
    pub headers: HeaderNames,
    /// Paths that the entry answers itself.
    pub paths: Paths,
    /// Parses a target's load report; `None` if it is not in the platform's format.
    pub parse_load: fn(&str) -> Option<TargetLoad>,
    /// Parses a caller's failure domain from the query of a directory request; `None` if the query
    /// does not contain it.
    pub parse_caller_domain: fn(&str) -> Option<FailureDomain>,
    /// Formats the answer to a directory request from the addresses and the time for which callers
    /// may keep them.
    pub format_directory_answer: fn(&[Endpoint], Duration) -> String,
}
