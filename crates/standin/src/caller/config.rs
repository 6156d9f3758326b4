//! Settings of a caller.

use std::time::Duration;

use shallotfork_types::{Endpoint, FailureDomain};

/// Settings of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerConfig {
    /// Entries from the settings, asked for the list of entries after those of the cached list.
    pub entries: Vec<Endpoint>,
    /// Failure domain of the caller, sent to entries when set.
    pub failure_domain: Option<FailureDomain>,
    /// Maximum number of attempts for one request; 4 by default.
    pub attempts_max: usize,
    /// Timeout of one attempt; 10 s by default.
    pub timeout: Duration,
    /// Maximum delay before a retry, even if `Retry-After` is longer; 1 s by default.
    pub retry_delay_max: Duration,
}

impl CallerConfig {
    /// Creates the settings of a caller with these entries and default values otherwise.
    pub fn new(entries: Vec<Endpoint>) -> Self {
        Self {
            entries,
            failure_domain: None,
            attempts_max: 4,
            timeout: Duration::from_secs(10),
            retry_delay_max: Duration::from_secs(1),
        }
    }

    /// Sets the maximum number of attempts.
    #[must_use]
    pub fn with_attempts_max(mut self, attempts_max: usize) -> Self {
        self.attempts_max = attempts_max;
        self
    }

    /// Sets the timeout of one attempt.
    #[must_use]
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }
}
