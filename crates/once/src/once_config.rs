//! Limits of sessions, ledgers and archives.

use std::time::Duration;

use shallotfork_types::Bytes;

/// Limits of one issuer and of the archive beside it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OnceConfig {
    /// Time for which a session may name operations; default 10 minutes.
    pub session_lifetime: Duration,
    /// Operations remembered at once over all sessions; default 20,000.
    pub operations_max: usize,
    /// Operations of one session; default 1,000.
    pub operations_per_session_max: usize,
    /// Size of all kept answers together; default 8 MiB.
    pub kept_total_max: Bytes,
    /// Size of one kept answer; default 64 KiB.
    pub kept_answer_max: Bytes,
    /// Time after which a granted operation without completion counts as may-have-run; default
    /// 2 minutes. It is never granted again.
    pub run_timeout: Duration,
    /// Sealed ledgers of other issuers held at once; default 16.
    pub archived_ledgers_max: usize,
    /// Size of all archived ledgers together; default 16 MiB.
    pub archived_total_max: Bytes,
}

impl OnceConfig {
    /// The defaults named on each field.
    pub fn new() -> Self {
        Self {
            session_lifetime: Duration::from_secs(600),
            operations_max: 20_000,
            operations_per_session_max: 1_000,
            kept_total_max: Bytes::from_mib(8),
            kept_answer_max: Bytes::from_kib(64),
            run_timeout: Duration::from_secs(120),
            archived_ledgers_max: 16,
            archived_total_max: Bytes::from_mib(16),
        }
    }
}

impl Default for OnceConfig {
    fn default() -> Self {
        Self::new()
    }
}
