//! Settings of [`TargetConnections`](crate::TargetConnections).

use std::time::Duration;

use shallotfork_types::Bytes;

/// Limits for opening and reusing connections to targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionConfig {
    /// The timeout for opening a connection; 300 ms by default. This is a hundred times the network
    /// delay to a target in another failure domain, and less than the timeout of a caller.
    pub connect_timeout: Duration,
    /// The idle time after which a connection is not reused; 8 s by default, below the 10 s after
    /// which the operators' targets close idle connections.
    pub idle_timeout: Duration,
    /// The idle time after which a connection is not reused for a request that must not run twice;
    /// 2 s by default. A target may drop an idle connection without closing it, and then it is
    /// unknown whether a request sent on it ran.
    pub idle_timeout_unrepeatable: Duration,
    /// Subtracted from a target's reported keep-alive timeout; 1 s by default, because the timeout
    /// is reported in whole seconds.
    pub keep_alive_margin: Duration,
    /// The maximum number of idle connections to one target; 4 by default, twice the number of
    /// slots of the operators' targets.
    pub idle_per_target_max: usize,
    /// The time after which a connection with unacknowledged bytes is considered broken; 2 s by
    /// default, far above any round-trip time and below the shortest deadline of orders.
    pub unacknowledged_timeout: Duration,
    /// The maximum size of an answer's body; 32 MiB by default.
    pub answer_max: Bytes,
}

impl Default for ConnectionConfig {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(300),
            idle_timeout: Duration::from_secs(8),
            idle_timeout_unrepeatable: Duration::from_secs(2),
            keep_alive_margin: Duration::from_secs(1),
            idle_per_target_max: 4,
            unacknowledged_timeout: Duration::from_secs(2),
            answer_max: Bytes::from_mib(32),
        }
    }
}
