//! Audit trail of changes to published lists, kept in memory.

use std::collections::VecDeque;

use shallotfork_types::report::AuditChange;

/// Maximum number of changes kept; older ones are only in the log.
const CHANGES_MAX: usize = 1000;

/// The most recent changes, oldest first.
#[derive(Debug, Default)]
pub struct AuditTrail {
    changes: VecDeque<AuditChange>,
}

impl AuditTrail {
    /// Adds a change and drops the oldest one if the trail is full.
    pub fn add(&mut self, change: AuditChange) {
        if self.changes.len() == CHANGES_MAX {
            self.changes.pop_front();
        }
        self.changes.push_back(change);
    }

    /// Returns the changes, oldest first.
    pub fn changes(&self) -> Vec<AuditChange> {
        self.changes.iter().cloned().collect()
    }
}
