//! Limits of sessions, ledgers and archives.

use std::time::Duration;

use shallotfork_types::Bytes;

/// Limits of an issuer and of the archive in the same process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OnceConfig {
    /// Lifetime of a session; default 10 minutes.
    pub session_lifetime: Duration,
    /// Maximum number of operations in the ledger, over all sessions; default 20,000.
    pub operations_max: usize,
    /// Maximum number of operations of one session; default 1,000.
    pub operations_per_session_max: usize,
    /// Maximum total size of kept answers; default 8 MiB.
    pub kept_total_max: Bytes,
    /// Maximum size of one kept answer; default 64 KiB.
    pub kept_answer_max: Bytes,
    /// Time after which a granted operation without a completion counts as may-have-run; default
    /// 2 minutes. The operation is never granted again.
    pub run_timeout: Duration,
    /// Maximum number of sealed ledgers of other issuers; default 16.
    pub archived_ledgers_max: usize,
    /// Maximum total size of archived ledgers; default 16 MiB.
    pub archived_total_max: Bytes,
}

impl OnceConfig {
    /// Creates a configuration with the default of each field.
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
