//! What one replica answers, given its faults.

use serde::{Deserialize, Serialize};
use shallotfork_types::Revision;

use super::store::{Published, Store};

/// How a replica answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(tag = "mode", rename_all = "kebab-case")]
pub enum ReplicaMode {
    /// As it should.
    #[default]
    Serving,
    /// Connections are refused.
    Down,
    /// Requests are taken and never answered.
    Hanging,
    /// The state as of a revision is served, however much was published since.
    Stale {
        /// The last revision that the replica knows.
        revision: Revision,
    },
}

/// Answer to a long poll.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// The newest revision that the replica knows.
    pub revision: Revision,
    /// Values that changed, by revision.
    pub values: Vec<Published>,
}

/// Another content under the revision in force, as after a split of the service's own store.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Conflict {
    name: String,
    content: String,
}

/// One replica's view of the store.
#[derive(Debug, Clone, Default)]
pub(super) struct Replica {
    pub(super) mode: ReplicaMode,
    conflicts: Vec<Conflict>,
}

impl Replica {
    /// Serves `content` under whatever revision `name` has.
    pub(super) fn add_conflict(&mut self, name: String, content: String) {
        self.conflicts.retain(|conflict| conflict.name != name);
        self.conflicts.push(Conflict { name, content });
    }

    /// Serves the published contents again.
    pub(super) fn clear_conflicts(&mut self) {
        self.conflicts.clear();
    }

    /// The newest revision that this replica knows.
    pub(super) fn as_of(&self, store: &Store) -> Revision {
        match self.mode {
            ReplicaMode::Stale { revision } => revision.min(store.revision()),
            _ => store.revision(),
        }
    }

    /// Values that changed after `after`.
    pub(super) fn changes(&self, store: &Store, after: Revision, prefix: &str) -> Changes {
        let revision = self.as_of(store);
        let values = store.changes(after, revision, prefix);
        Changes { revision, values: values.into_iter().map(|value| self.replace(value)).collect() }
    }

    /// One value as this replica knows it.
    pub(super) fn value(&self, store: &Store, name: &str) -> Option<Published> {
        let value = store.get(name, self.as_of(store))?;
        Some(self.replace(value.clone()))
    }

    fn replace(&self, mut value: Published) -> Published {
        let conflict = self.conflicts.iter().find(|conflict| conflict.name == value.name);
        if let Some(conflict) = conflict {
            value.content.clone_from(&conflict.content);
        }
        value
    }
}
