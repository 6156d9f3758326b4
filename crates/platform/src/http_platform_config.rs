//! Limits of calls to the platform.

use std::time::Duration;

use shallotfork_types::{Bytes, Endpoint, PerSecond};

/// How the platform is called.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpPlatformConfig {
    /// Replicas, tried in turn; at least one.
    pub replicas: Vec<Endpoint>,
    /// Calls at most in a second; 8 by default.
    pub calls_per_second: PerSecond,
    /// Time for a call beyond what it was asked to wait; 2 s by default.
    pub timeout: Duration,
    /// Largest content of one list; 1 MiB by default, which is what the platform holds.
    pub list_max: Bytes,
    /// Largest answer; 16 MiB by default.
    pub answer_max: Bytes,
}

impl HttpPlatformConfig {
    /// The default limits for these replicas.
    pub fn new(replicas: Vec<Endpoint>) -> Self {
        Self {
            replicas,
            calls_per_second: PerSecond::new(8),
            timeout: Duration::from_secs(2),
            list_max: Bytes::from_mib(1),
            answer_max: Bytes::from_mib(16),
        }
    }

    /// The same with another cap on calls.
    #[must_use]
    pub fn with_calls_per_second(self, calls_per_second: PerSecond) -> Self {
        Self { calls_per_second, ..self }
    }

    /// The same with another timeout.
    #[must_use]
    pub fn with_timeout(self, timeout: Duration) -> Self {
        Self { timeout, ..self }
    }

    /// The same with another limit on one list.
    #[must_use]
    pub fn with_list_max(self, list_max: Bytes) -> Self {
        Self { list_max, ..self }
    }

    /// The same with another limit on one answer.
    #[must_use]
    pub fn with_answer_max(self, answer_max: Bytes) -> Self {
        Self { answer_max, ..self }
    }
}
