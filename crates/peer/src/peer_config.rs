//! Limits and timeouts of calls between processes.

use std::time::Duration;

use shallotfork_types::Bytes;

/// Limits and timeouts of one process, both as server and as client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerConfig {
    /// Timeout for connecting, including the proof of the key by both sides; default 1 s.
    pub handshake_timeout: Duration,
    /// Timeout of a call with a small message; default 1 s.
    pub call_timeout: Duration,
    /// Timeout of a call that transfers lists or a ledger; default 5 s.
    pub bulk_timeout: Duration,
    /// Maximum number of concurrent connections; further ones are closed immediately; default 256.
    pub connections_max: usize,
    /// Maximum size of one message; default 16 MiB.
    pub message_max: Bytes,
    /// Maximum number of bytes read from a connection until the client has proved the key; default
    /// 4 KiB.
    pub unauthenticated_max: Bytes,
}

impl PeerConfig {
    /// Creates a configuration with the default of each field.
    pub fn new() -> Self {
        Self {
            handshake_timeout: Duration::from_secs(1),
            call_timeout: Duration::from_secs(1),
            bulk_timeout: Duration::from_secs(5),
            connections_max: 256,
            message_max: Bytes::from_mib(16),
            unauthenticated_max: Bytes::from_kib(4),
        }
    }
}

impl Default for PeerConfig {
    fn default() -> Self {
        Self::new()
    }
}
