//! What callers and targets are spoken to in: header names, paths and forms of a platform.

use std::time::Duration;

use http::HeaderName;
use shallotfork_balance::TargetLoad;
use shallotfork_types::{Endpoint, FailureDomain};

/// Names of the headers by which a platform's callers, entries and targets understand each other.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Identifies one attempt of a caller; echoed by targets.
    pub request_id: HeaderName,
    /// Milliseconds that the sender still waits.
    pub deadline_ms: HeaderName,
    /// The only target that may run the request; any other answers 421.
    pub expected_target: HeaderName,
    /// By which a caller knows the answer to be its target's own.
    pub signature: HeaderName,
    /// On an answer that says that the request did not run.
    pub not_run: HeaderName,
    /// A target's account of its load.
    pub load: HeaderName,
    /// A target's rate limit in requests per second, for all entries together.
    pub rate_limit: HeaderName,
    /// Milliseconds for which a target stays cold, in health answers.
    pub warmup_remaining_ms: HeaderName,
}

/// Paths that are not those of any route.
#[derive(Debug, Clone)]
pub struct Paths {
    /// Whether this process takes new work.
    pub readiness: String,
    /// Which addresses a caller should use.
    pub directory: String,
}

/// The whole dialect of a platform.
#[derive(Debug, Clone)]
pub struct Dialect {
    /// Header names.
    pub headers: HeaderNames,
    /// Paths.
    pub paths: Paths,
    /// Reads a target's account of its load; `None` when it is not in the platform's form.
    pub parse_load: fn(&str) -> Option<TargetLoad>,
    /// Where a caller who asks for addresses stands, by the query of its question; `None` when it
    /// does not say.
    pub parse_caller_domain: fn(&str) -> Option<FailureDomain>,
    /// Writes the answer to a caller who asks for addresses: these, and how long to keep them.
    pub format_directory_answer: fn(&[Endpoint], Duration) -> String,
}
