//! Settings of the membership view.

use std::time::Duration;

/// When a silent VM is removed from responses to callers, and how updates are propagated.
#[derive(Debug, Clone)]
pub struct ViewConfig {
    /// Silence after which a monitored VM is suspected; default 2 s, four heartbeats.
    pub suspect_after: Duration,
    /// Time for which a VM's own heartbeat overrides updates about it from others; default 2 s.
    pub evidence_valid_for: Duration,
    /// Silence after which a VM that the platform does not list is forgotten; default 60 s.
    pub forget_after: Duration,
    /// Silence after which a live VM is forgotten if updates about it are not propagated; default
    /// 10 s.
    pub forget_unneeded_after: Duration,
    /// Number of heartbeats that carry the same update; default 12, enough for a fleet of hundreds.
    pub update_sends: u32,
    /// Maximum number of updates in one heartbeat; default 8.
    pub updates_max: usize,
}

impl Default for ViewConfig {
    fn default() -> Self {
        Self {
            suspect_after: Duration::from_secs(2),
            evidence_valid_for: Duration::from_secs(2),
            forget_after: Duration::from_secs(60),
            forget_unneeded_after: Duration::from_secs(10),
            update_sends: 12,
            updates_max: 8,
        }
    }
}
