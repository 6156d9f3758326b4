//! Detects callers that do not read their answers.

use std::time::Duration;

use shallotfork_types::Mono;

/// Time without any accepted byte after which a transfer is ended. Callers set at most 10 s for a
/// whole request, so one that has read nothing for half of it will hardly finish; until then the
/// answer occupies memory that other answers need.
pub const STALL_MAX: Duration = Duration::from_secs(5);

/// Progress of one transfer to a caller.
///
/// Only time during which bytes are offered to the connection counts, so that a transfer that the
/// pacer delays is never ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TransferProgress {
    stall_max: Duration,
    /// Start of the time during which the caller has accepted none of the bytes offered.
    blocked_since: Option<Mono>,
}

impl TransferProgress {
    /// Creates the progress of a transfer that ends after `stall_max` without an accepted byte.
    pub fn new(stall_max: Duration) -> Self {
        Self { stall_max, blocked_since: None }
    }

    /// Records that bytes are offered to the connection.
    pub fn record_offered(&mut self, now: Mono) {
        self.blocked_since.get_or_insert(now);
    }

    /// Records that the connection accepted some of the bytes offered. `has_more` states whether
    /// others of them are still offered.
    pub fn record_accepted(&mut self, has_more: bool, now: Mono) {
        self.blocked_since = has_more.then_some(now);
    }

    /// Returns when the transfer is to be ended if nothing is accepted until then; `None` while no
    /// bytes are offered.
    pub fn ends_at(&self) -> Option<Mono> {
        self.blocked_since.map(|since| since.plus(self.stall_max))
    }

    /// Whether the transfer is to be ended.
    pub fn is_stalled(&self, now: Mono) -> bool {
        self.ends_at().is_some_and(|at| now >= at)
    }
}

impl Default for TransferProgress {
    fn default() -> Self {
        Self::new(STALL_MAX)
    }
}
