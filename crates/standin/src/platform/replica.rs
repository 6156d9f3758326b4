//! Answers of one replica, subject to its faults.

use serde::{Deserialize, Serialize};
use shallotfork_types::{Epoch, Revision};

use super::store::{PublishedValue, Store};

/// How a replica answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(tag = "mode", rename_all = "kebab-case")]
pub enum ReplicaMode {
    /// The replica answers normally.
    #[default]
    Serving,
    /// Connections are refused.
    Down,
    /// Requests are accepted but not answered.
    Hanging,
    /// The state as of an earlier revision is served, regardless of later publications.
    Stale {
        /// Last revision that the replica knows.
        revision: Revision,
    },
}

/// Answer to a long poll for changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// Newest revision that the replica knows.
    pub revision: Revision,
    /// Number of restores from a backup.
    pub epoch: Epoch,
    /// Values that changed, sorted by revision.
    pub values: Vec<PublishedValue>,
}

/// Different content under the revision in force, as after a split brain of the platform's store.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Conflict {
    name: String,
    content: String,
}

/// Mode and conflicts of one replica, which determine its view of the store.
#[derive(Debug, Clone, Default)]
pub(super) struct Replica {
    pub(super) mode: ReplicaMode,
    conflicts: Vec<Conflict>,
}

impl Replica {
    /// Makes the replica serve `content` for `name`, under the revision that the value has.
    pub(super) fn add_conflict(&mut self, name: String, content: String) {
        self.conflicts.retain(|conflict| conflict.name != name);
        self.conflicts.push(Conflict { name, content });
    }

    /// Makes the replica serve the published contents again.
    pub(super) fn clear_conflicts(&mut self) {
        self.conflicts.clear();
    }

    /// Returns the newest revision that this replica knows.
    pub(super) fn visible_revision(&self, store: &Store) -> Revision {
        match self.mode {
            ReplicaMode::Stale { revision } => revision.min(store.revision()),
            _ => store.revision(),
        }
    }

    /// Returns the values that changed after revision `after`.
    pub(super) fn changes(&self, store: &Store, after: Revision, prefix: &str) -> Changes {
        let revision = self.visible_revision(store);
        let values = store.changes(after, revision, prefix);
        Changes {
            revision,
            epoch: store.epoch(),
            values: values.into_iter().map(|value| self.apply_conflict(value)).collect(),
        }
    }

    /// Returns a value as this replica knows it.
    pub(super) fn value(&self, store: &Store, name: &str) -> Option<PublishedValue> {
        let value = store.get(name, self.visible_revision(store))?;
        Some(self.apply_conflict(value.clone()))
    }

    fn apply_conflict(&self, mut value: PublishedValue) -> PublishedValue {
        let conflict = self.conflicts.iter().find(|conflict| conflict.name == value.name);
        if let Some(conflict) = conflict {
            value.content.clone_from(&conflict.content);
        }
        value
    }
}
