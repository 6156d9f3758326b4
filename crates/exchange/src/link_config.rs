//! Settings of [`TargetConnections`](crate::TargetConnections).

use std::time::Duration;

use shallotfork_types::Bytes;

/// How kept connections to targets are made and used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionConfig {
    /// The longest time to open a connection; 300 ms by default, a hundred times the way to a
    /// target in another failure domain, below the time in which a caller's patience runs out.
    pub connect_timeout: Duration,
    /// A connection is not used again after this time unused; 8 s by default, below the 10 s after
    /// which the users' targets close it.
    pub idle_timeout: Duration,
    /// A request that must not run twice only goes on a connection used within this time; 2 s by
    /// default. A target may forget an idle connection without a word, and whether the request
    /// ran is not known then.
    pub idle_timeout_unrepeatable: Duration,
    /// Taken off the time that a target says it keeps a connection; 1 s by default, since it tells
    /// whole seconds.
    pub keep_alive_margin: Duration,
    /// Idle connections kept to one target; 4 by default, twice the slots of the users' targets.
    pub idle_per_target_max: usize,
    /// Bytes sent but not acknowledged for this time mean that the connection has gone silent; 2 s
    /// by default, far above any round trip and below the least deadline of orders.
    pub unacknowledged_timeout: Duration,
    /// The largest body of an answer; 32 MiB by default.
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
