//! Published items as last seen, for entries that read them here instead of from the platform.

use std::collections::BTreeMap;

use shallotfork_types::Revision;

use crate::feed::{FeedChanges, RawItem};

/// Removed items that are remembered. A peer that was away for longer reads everything anew.
const REMOVED_MAX: usize = 1024;

/// The latest version of every item, and up to which revision this is complete.
///
/// A platform counts each call, and its rate grows more slowly than the fleet: a few entries read
/// it, and all others ask these for what changed after the revision that they know.
#[derive(Debug, Default)]
pub struct Archive {
    items: BTreeMap<String, RawItem>,
    removed: usize,
    position: Revision,
    /// Changes after this revision are all known; of earlier ones, removals may be missing.
    floor: Revision,
}

/// What a peer is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PullResponse {
    /// Items changed after the revision that was asked for, or all.
    pub changes: FeedChanges,
    /// Whether these are all items.
    pub is_snapshot: bool,
}

impl Archive {
    /// Nothing is known.
    pub fn new() -> Self {
        Self::default()
    }

    /// Up to which revision everything is known; [`Revision::NONE`] before the first full read.
    pub fn position(&self) -> Revision {
        self.position
    }

    /// Takes all items as of `revision`.
    pub fn replace(&mut self, items: &[RawItem], revision: Revision) {
        let newer = std::mem::take(&mut self.items);
        let newer = newer.into_values().filter(|item| item.revision > revision);
        for item in items.iter().cloned().chain(newer) {
            self.items.insert(item.key.clone(), item);
        }
        self.removed = self.items.values().filter(|item| item.content.is_none()).count();
        self.floor = revision;
        self.position = self.position.max(revision);
    }

    /// Takes changes that follow on the position.
    pub fn apply(&mut self, changes: &FeedChanges) {
        for item in &changes.items {
            let known = self.items.get(&item.key);
            if known.is_some_and(|known| known.revision > item.revision) {
                continue;
            }
            let old = self.items.insert(item.key.clone(), item.clone());
            self.removed -= usize::from(old.is_some_and(|old| old.content.is_none()));
            self.removed += usize::from(item.content.is_none());
        }
        self.position = self.position.max(changes.revision);
        if self.removed > REMOVED_MAX {
            self.forget_removed();
        }
    }

    /// What changed after a revision; everything if that can't be told.
    pub fn changes_after(&self, revision: Revision) -> PullResponse {
        let is_snapshot = revision < self.floor || revision == Revision::NONE;
        let mut items: Vec<RawItem> = self
            .items
            .values()
            .filter(
                |item| if is_snapshot { item.content.is_some() } else { item.revision > revision },
            )
            .cloned()
            .collect();
        items.sort_by_key(|item| item.revision);
        PullResponse { changes: FeedChanges { items, revision: self.position }, is_snapshot }
    }

    fn forget_removed(&mut self) {
        self.items.retain(|_, item| item.content.is_some());
        self.removed = 0;
        self.floor = self.position;
    }
}
