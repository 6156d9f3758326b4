//! Settings of a caller.

use std::time::Duration;

use shallotfork_types::{Endpoint, FailureDomain};

/// How a caller behaves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerConfig {
    /// Entries known from the caller's own settings.
    pub entries: Vec<Endpoint>,
    /// Where the caller is, told to entries when set.
    pub failure_domain: Option<FailureDomain>,
    /// Sends of one request in all; 4 by default.
    pub attempts_max: usize,
    /// Time that one send may take; 10 s by default.
    pub timeout: Duration,
    /// Longest wait before a resend, whatever `Retry-After` says; 1 s by default.
    pub retry_wait_max: Duration,
}

impl CallerConfig {
    /// A caller that knows these entries.
    pub fn new(entries: Vec<Endpoint>) -> Self {
        Self {
            entries,
            failure_domain: None,
            attempts_max: 4,
            timeout: Duration::from_secs(10),
            retry_wait_max: Duration::from_secs(1),
        }
    }

    /// Replaces the number of sends.
    #[must_use]
    pub fn with_attempts_max(mut self, attempts_max: usize) -> Self {
        self.attempts_max = attempts_max;
        self
    }

    /// Replaces the time that one send may take.
    #[must_use]
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }
}
