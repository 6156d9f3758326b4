//! Settings of the membership view.

use std::time::Duration;

/// When a silent VM is taken out of answers, and how news is spread.
#[derive(Debug, Clone)]
pub struct ViewConfig {
    /// Silence after which a watched VM is suspected; default 2 s, four heartbeats.
    pub suspect_after: Duration,
    /// How long a VM's own heartbeat outweighs what others tell of it; default 2 s.
    pub evidence_for: Duration,
    /// Silence after which a VM that the platform does not list is forgotten; default 60 s.
    pub forget_after: Duration,
    /// Silence after which a live VM is forgotten whose news is not passed on; default 10 s.
    pub forget_unneeded_after: Duration,
    /// Heartbeats that carry the same piece of news; default 12, enough for a fleet of hundreds.
    pub news_sends: u32,
    /// Pieces of news in one heartbeat; default 8.
    pub news_max: usize,
}

impl Default for ViewConfig {
    fn default() -> Self {
        Self {
            suspect_after: Duration::from_secs(2),
            evidence_for: Duration::from_secs(2),
            forget_after: Duration::from_secs(60),
            forget_unneeded_after: Duration::from_secs(10),
            news_sends: 12,
            news_max: 8,
        }
    }
}
