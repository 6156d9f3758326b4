//! Configuration of the roster.

use std::time::Duration;

/// The platform guarantees that records that expired during an outage are published again within
/// about 2 s of its end; 0.2 s are added for the propagation to this process.
const RECONNECT_GRACE: Duration = Duration::from_millis(2200);

/// Longer than any full read or watch can be behind, because the platform keeps 20 s of history.
const ENDED_RETAINED_FOR: Duration = Duration::from_secs(60);

/// Configuration of a [`Roster`](crate::Roster).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RosterConfig {
    /// Time after the platform is reachable again in which a missing record counts as expired
    /// instead of removed; default 2.2 s.
    pub reconnect_grace: Duration,
    /// How long the revision of a removed record is retained, so that outdated changes are ignored;
    /// default 60 s.
    pub ended_retained_for: Duration,
}

impl Default for RosterConfig {
    fn default() -> Self {
        Self { reconnect_grace: RECONNECT_GRACE, ended_retained_for: ENDED_RETAINED_FOR }
    }
}
