//! Settings of the membership view.

use std::time::Duration;

/// When a silent VM is taken out of answers.
#[derive(Debug, Clone)]
pub struct ViewConfig {
    /// Silence after which a VM is suspected; default 2 s, four heartbeats.
    pub suspect_after: Duration,
    /// Silence after which a VM that the platform does not list is forgotten; default 60 s.
    pub forget_after: Duration,
}

impl Default for ViewConfig {
    fn default() -> Self {
        Self { suspect_after: Duration::from_secs(2), forget_after: Duration::from_secs(60) }
    }
}
