//! Store of published values, ordered by revision.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use shallotfork_types::{Epoch, Revision};

/// One version of one published value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedValue {
    /// Name of the value, such as `rules` or `targets.recipe-desk`.
    pub name: String,
    /// Revision of this version.
    pub revision: Revision,
    /// Content of this version.
    pub content: String,
}

/// Error when a value does not have the revision that its publisher expected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RevisionMismatch {
    /// Current revision of the value.
    pub current: Revision,
}

/// All published versions of all values, under one revision counter.
#[derive(Debug, Clone, Default)]
pub struct Store {
    history: Vec<PublishedValue>,
    epoch: Epoch,
}

impl Store {
    /// Creates an empty store.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the newest revision.
    pub fn revision(&self) -> Revision {
        self.history.last().map_or(Revision::NONE, |change| change.revision)
    }

    /// Publishes `content` under the next revision.
    ///
    /// # Errors
    /// Returns an error if `expected` is given and is not the current revision of the value.
    pub fn publish(
        &mut self,
        name: &str,
        content: String,
        expected: Option<Revision>,
    ) -> Result<Revision, RevisionMismatch> {
        let current =
            self.get(name, self.revision()).map_or(Revision::NONE, |value| value.revision);
        if expected.is_some_and(|expected| expected != current) {
            return Err(RevisionMismatch { current });
        }
        let revision = Revision::new(self.revision().value() + 1);
        self.history.push(PublishedValue { name: name.to_owned(), revision, content });
        Ok(revision)
    }

    /// Returns the version of a value that was in force at revision `as_of`.
    pub fn get(&self, name: &str, as_of: Revision) -> Option<&PublishedValue> {
        let visible = self.history.iter().rev().filter(|change| change.revision <= as_of);
        visible.into_iter().find(|change| change.name == name)
    }

    /// Returns the newest versions of the values that changed after `after` and no later than
    /// `as_of`, sorted by revision.
    pub fn changes(&self, after: Revision, as_of: Revision, prefix: &str) -> Vec<PublishedValue> {
        let mut newest: BTreeMap<&str, &PublishedValue> = BTreeMap::new();
        for change in &self.history {
            let is_in_range = change.revision > after && change.revision <= as_of;
            if is_in_range && change.name.starts_with(prefix) {
                newest.insert(&change.name, change);
            }
        }
        let mut values: Vec<PublishedValue> = newest.into_values().cloned().collect();
        values.sort_by_key(|value| value.revision);
        values
    }

    /// Discards all versions after `to`, as a restore from a backup does. The discarded revisions
    /// are assigned again.
    pub fn roll_back(&mut self, to: Revision) {
        self.history.retain(|change| change.revision <= to);
        self.epoch = Epoch::new(self.epoch.value() + 1);
    }

    /// Returns the number of restores.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }
}
