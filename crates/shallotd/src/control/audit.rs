//! The trail of changes of published lists, kept in memory.

use std::collections::VecDeque;

use shallotfork_types::report::AuditChange;

/// Changes remembered; older ones are in the log only.
const CHANGES_MAX: usize = 1000;

/// The latest changes, oldest first.
#[derive(Debug, Default)]
pub struct AuditTrail {
    changes: VecDeque<AuditChange>,
}

impl AuditTrail {
    /// Adds a change; the oldest one gives way.
    pub fn add(&mut self, change: AuditChange) {
        if self.changes.len() == CHANGES_MAX {
            self.changes.pop_front();
        }
        self.changes.push_back(change);
    }

    /// The changes, oldest first.
    pub fn changes(&self) -> Vec<AuditChange> {
        self.changes.iter().cloned().collect()
    }
}
