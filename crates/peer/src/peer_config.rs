//! Limits and timeouts of calls between processes.

use std::time::Duration;

use shallotfork_types::Bytes;

/// Limits of one process, as server and as client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerConfig {
    /// Time to connect and for both sides to prove the key; default 1 s.
    pub handshake_timeout: Duration,
    /// Time for the answer to a small call; default 1 s.
    pub call_timeout: Duration,
    /// Time for the answer to a call that carries lists or a ledger; default 5 s.
    pub bulk_timeout: Duration,
    /// Connections served at once; further ones are closed at once; default 256.
    pub connections_max: usize,
    /// Size of one message; default 16 MiB.
    pub message_max: Bytes,
    /// Bytes read from a connection before the other side has proved the key; default 4 KiB.
    pub unauthenticated_max: Bytes,
}

impl PeerConfig {
    /// The defaults named on each field.
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
