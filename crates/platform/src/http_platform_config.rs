//! Replicas of the platform and limits of calls to them.

use std::time::Duration;

use shallotfork_types::{Bytes, Endpoint, PerSecond};

/// Configuration of `HttpPlatform`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpPlatformConfig {
    /// Replicas, tried in turn; at least one is required.
    pub replicas: Vec<Endpoint>,
    /// Maximum number of calls per second; 8 by default.
    pub calls_per_second: PerSecond,
    /// Timeout of a call beyond the time that the platform may wait for a change; 2 s by default.
    pub timeout: Duration,
    /// Maximum size of the content of one list; 1 MiB by default, the limit of the platform.
    pub list_max: Bytes,
    /// Maximum size of an answer; 16 MiB by default.
    pub answer_max: Bytes,
}

impl HttpPlatformConfig {
    /// Creates a configuration for these replicas with the default limits.
    pub fn new(replicas: Vec<Endpoint>) -> Self {
        Self {
            replicas,
            calls_per_second: PerSecond::new(8),
            timeout: Duration::from_secs(2),
            list_max: Bytes::from_mib(1),
            answer_max: Bytes::from_mib(16),
        }
    }

    /// Sets the maximum number of calls per second.
    #[must_use]
    pub fn with_calls_per_second(self, calls_per_second: PerSecond) -> Self {
        Self { calls_per_second, ..self }
    }

    /// Sets the timeout of a call.
    #[must_use]
    pub fn with_timeout(self, timeout: Duration) -> Self {
        Self { timeout, ..self }
    }

    /// Sets the maximum size of one list.
    #[must_use]
    pub fn with_list_max(self, list_max: Bytes) -> Self {
        Self { list_max, ..self }
    }

    /// Sets the maximum size of one answer.
    #[must_use]
    pub fn with_answer_max(self, answer_max: Bytes) -> Self {
        Self { answer_max, ..self }
    }
}
