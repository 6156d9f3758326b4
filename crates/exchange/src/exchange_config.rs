//! Settings of [`Exchange`](crate::Exchange).

use std::time::Duration;

use shallotfork_types::Bytes;

const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const DEFAULT_POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
const DEFAULT_POOL_IDLE_MAX: usize = 16;
const DEFAULT_ANSWER_MAX: Bytes = Bytes::from_mib(32);

/// Connection and answer limits of an [`Exchange`](crate::Exchange).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExchangeConfig {
    /// The timeout for opening a connection; 500 ms by default.
    pub connect_timeout: Duration,
    /// The time after which an idle connection is closed; 30 s by default.
    pub pool_idle_timeout: Duration,
    /// The maximum number of idle connections to one target; 16 by default.
    pub pool_idle_max: usize,
    /// The maximum size of an answer's body; 32 MiB by default.
    pub answer_max: Bytes,
}

impl Default for ExchangeConfig {
    fn default() -> Self {
        Self {
            connect_timeout: DEFAULT_CONNECT_TIMEOUT,
            pool_idle_timeout: DEFAULT_POOL_IDLE_TIMEOUT,
            pool_idle_max: DEFAULT_POOL_IDLE_MAX,
            answer_max: DEFAULT_ANSWER_MAX,
        }
    }
}
