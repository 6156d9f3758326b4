//! Latest published items, kept so that other entries can pull them instead of reading the platform.

use std::collections::BTreeMap;

use shallotfork_types::{Epoch, Revision};

use crate::feed::{FeedChanges, RawItem};

/// Maximum number of tombstones kept for removed items. When it is exceeded, all of them are dropped,
/// and peers that are behind get a full snapshot.
const TOMBSTONES_MAX: usize = 1024;

/// The latest version of every published item, and the revision up to which they are complete.
///
/// The platform meters each call, and the call rate it allows grows more slowly than the fleet.
/// Therefore a few entries read the platform, and the others pull from them what changed after the
/// revision that they already have.
#[derive(Debug, Default)]
pub struct Archive {
    items: BTreeMap<String, RawItem>,
    tombstones: usize,
    position: Revision,
    /// All changes after this revision are known; removals up to it may be missing.
    history_start: Revision,
}

/// Response to an entry that pulls published items.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PullResponse {
    /// Items changed after the requested revision, or all items of a snapshot.
    pub changes: FeedChanges,
    /// Whether the response contains all published items.
    pub is_snapshot: bool,
}

impl Archive {
    /// Creates an empty archive.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the revision up to which all changes are known; [`Revision::NONE`] before the first
    /// full read.
    pub fn position(&self) -> Revision {
        self.position
    }

    /// Replaces the items by a full read as of `revision`, but keeps items that changed after it.
    pub fn replace(&mut self, items: &[RawItem], revision: Revision) {
        let newer = std::mem::take(&mut self.items);
        let newer = newer.into_values().filter(|item| item.revision > revision);
        for item in items.iter().cloned().chain(newer) {
            self.items.insert(item.key.clone(), item);
        }
        self.tombstones = self.items.values().filter(|item| item.content.is_none()).count();
        self.history_start = revision;
        self.position = self.position.max(revision);
    }

    /// Applies an incremental read that continues from the current position.
    pub fn apply(&mut self, changes: &FeedChanges) {
        for item in &changes.items {
            let known = self.items.get(&item.key);
            if known.is_some_and(|known| known.revision > item.revision) {
                continue;
            }
            let old = self.items.insert(item.key.clone(), item.clone());
            self.tombstones -= usize::from(old.is_some_and(|old| old.content.is_none()));
            self.tombstones += usize::from(item.content.is_none());
        }
        self.position = self.position.max(changes.revision);
        if self.tombstones > TOMBSTONES_MAX {
            self.drop_tombstones();
        }
    }

    /// Returns the changes after `revision`, or a snapshot if removals since then may be missing.
    pub fn changes_after(&self, revision: Revision) -> PullResponse {
        let is_snapshot = revision < self.history_start || revision == Revision::NONE;
        let mut items: Vec<RawItem> = self
            .items
            .values()
            .filter(
                |item| if is_snapshot { item.content.is_some() } else { item.revision > revision },
            )
            .cloned()
            .collect();
        items.sort_by_key(|item| item.revision);
        PullResponse {
            changes: FeedChanges { items, epoch: Epoch::NONE, revision: self.position },
            is_snapshot,
        }
    }

    fn drop_tombstones(&mut self) {
        self.items.retain(|_, item| item.content.is_some());
        self.tombstones = 0;
        self.history_start = self.position;
    }
}
