//! Settings of [`serve`](crate::serve()).

use std::time::Duration;

use shallotfork_types::Bytes;

const DEFAULT_CONNECTIONS_MAX: usize = 10_000;
const DEFAULT_HEADER_TIMEOUT: Duration = Duration::from_secs(10);
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
const DEFAULT_HEADER_MAX: Bytes = Bytes::from_kib(64);
const DEFAULT_STREAMS_MAX: u32 = 200;

/// What one port may take in connections, time and header bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServeConfig {
    /// Connections served at one time; further ones wait in the kernel. 10,000 by default.
    pub connections_max: usize,
    /// The longest time from a connection's opening to its first request's headers, and for the
    /// headers of each HTTP/1 request; 10 s by default.
    pub header_timeout: Duration,
    /// A connection with no request in progress and no byte written is closed after this time;
    /// 60 s by default.
    pub idle_timeout: Duration,
    /// The largest request head; 64 KiB by default.
    pub header_max: Bytes,
    /// HTTP/2 requests in progress on one connection; 200 by default.
    pub streams_max: u32,
}

impl Default for ServeConfig {
    fn default() -> Self {
        Self {
            connections_max: DEFAULT_CONNECTIONS_MAX,
            header_timeout: DEFAULT_HEADER_TIMEOUT,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            header_max: DEFAULT_HEADER_MAX,
            streams_max: DEFAULT_STREAMS_MAX,
        }
    }
}
