//! Published values in the order of their revisions.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use shallotfork_types::Revision;

/// One version of one published value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Published {
    /// The value's name, such as `rules` or `targets.recipe-desk`.
    pub name: String,
    /// When it last changed.
    pub revision: Revision,
    /// The value itself.
    pub content: String,
}

/// When a publisher's expectation of the revision in force does not hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refused {
    /// The revision that the value really has.
    pub found: Revision,
}

/// Every version ever published, under one revision counter.
#[derive(Debug, Clone, Default)]
pub struct Store {
    history: Vec<Published>,
}

impl Store {
    /// Starts with nothing published.
    pub fn new() -> Self {
        Self::default()
    }

    /// The newest revision.
    pub fn revision(&self) -> Revision {
        self.history.last().map_or(Revision::NONE, |change| change.revision)
    }

    /// Publishes `content` under the next revision.
    ///
    /// # Errors
    /// When `expected` is given and is not the value's present revision.
    pub fn publish(
        &mut self,
        name: &str,
        content: String,
        expected: Option<Revision>,
    ) -> Result<Revision, Refused> {
        let found = self.get(name, self.revision()).map_or(Revision::NONE, |value| value.revision);
        if expected.is_some_and(|expected| expected != found) {
            return Err(Refused { found });
        }
        let revision = Revision::new(self.revision().value() + 1);
        self.history.push(Published { name: name.to_owned(), revision, content });
        Ok(revision)
    }

    /// The value's version in force at `as_of`.
    pub fn get(&self, name: &str, as_of: Revision) -> Option<&Published> {
        let seen = self.history.iter().rev().filter(|change| change.revision <= as_of);
        seen.into_iter().find(|change| change.name == name)
    }

    /// The newest versions that changed after `after` and at latest at `as_of`, by revision.
    pub fn changes(&self, after: Revision, as_of: Revision, prefix: &str) -> Vec<Published> {
        let mut newest: BTreeMap<&str, &Published> = BTreeMap::new();
        for change in &self.history {
            let wanted = change.revision > after && change.revision <= as_of;
            if wanted && change.name.starts_with(prefix) {
                newest.insert(&change.name, change);
            }
        }
        let mut values: Vec<Published> = newest.into_values().cloned().collect();
        values.sort_by_key(|value| value.revision);
        values
    }

    /// Forgets every version after `to`, as a service restored from a backup does; the revisions
    /// are given out again.
    pub fn roll_back(&mut self, to: Revision) {
        self.history.retain(|change| change.revision <= to);
    }
}
