//! One run of a target's process.

use shallotfork_types::TargetId;

/// One run of a target's process. A target may start again under the same id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetRun {
    /// The target.
    pub target: TargetId,
    /// Start of the process in Unix milliseconds of its own clock; `None` if it is not known.
    pub started_at_ms: Option<u64>,
}

impl TargetRun {
    /// Creates the run of `target` that started at `started_at_ms`.
    pub fn new(target: TargetId, started_at_ms: Option<u64>) -> Self {
        Self { target, started_at_ms }
    }

    /// Whether `other` may be the same run: the same target, started at the same time if both
    /// starts are known.
    pub(crate) fn may_be(&self, other: &Self) -> bool {
        self.target == other.target
            && (self.started_at_ms.is_none()
                || other.started_at_ms.is_none()
                || self.started_at_ms == other.started_at_ms)
    }
}
