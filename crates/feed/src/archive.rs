//! Latest published items, kept so that other entries can pull them instead of reading the platform.

use std::collections::{BTreeMap, BTreeSet};

use shallotfork_types::Position;

use crate::feed::{FeedChanges, RawItem};

/// Maximum number of tombstones kept for removed items. When it is exceeded, all of them are dropped,
/// and peers that are behind get a full snapshot.
const TOMBSTONES_MAX: usize = 1024;

/// The latest version of every published item, and the position up to which they are complete.
///
/// The platform meters each call, and the call rate it allows grows more slowly than the fleet.
/// Therefore a few entries read the platform, and the others pull from them what changed after the
/// position that they already have.
///
/// After the platform was restored from a copy, most items are as before. These keep the position that
/// they had, so that other entries pull only what differs.
#[derive(Debug, Default)]
pub struct Archive {
    items: BTreeMap<String, RawItem>,
    tombstones: usize,
    position: Position,
    /// All changes after this position are known; removals up to it may be missing.
    history_start: Position,
    /// Position at which the platform's preceding epoch was left.
    previous_end: Option<Position>,
}

/// Response to an entry that pulls published items.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PullResponse {
    /// Items changed after the requested position, or all items of a snapshot.
    pub changes: FeedChanges,
    /// Whether the response contains all published items.
    pub is_snapshot: bool,
}

impl Archive {
    /// Creates an empty archive.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the position up to which all changes are known; [`Position::NONE`] before the first
    /// full read.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Replaces the items by a full read as of `position`, but keeps items that changed after it.
    pub fn replace(&mut self, items: &[RawItem], position: Position) {
        if self.is_restored_at(position) {
            self.adopt(items, position);
            return;
        }
        let newer = std::mem::take(&mut self.items);
        let newer = newer.into_values().filter(|item| item.position > position);
        for item in items.iter().cloned().chain(newer) {
            self.items.insert(item.key.clone(), item);
        }
        self.tombstones = self.items.values().filter(|item| item.content.is_none()).count();
        self.history_start = position;
        self.position = self.position.max(position);
    }

    /// Applies an incremental read that continues from the current position.
    pub fn apply(&mut self, changes: &FeedChanges) {
        if self.is_restored_at(changes.position) {
            self.previous_end = Some(self.position);
        }
        changes.items.iter().for_each(|item| self.insert(item));
        self.position = self.position.max(changes.position);
        if self.tombstones > TOMBSTONES_MAX {
            self.drop_tombstones();
        }
    }

    /// Returns the changes after `position`, or a snapshot if removals since then may be missing.
    pub fn changes_after(&self, position: Position) -> PullResponse {
        let is_snapshot = !self.has_changes_after(position);
        let mut items: Vec<RawItem> = self
            .items
            .values()
            .filter(
                |item| if is_snapshot { item.content.is_some() } else { item.position > position },
            )
            .cloned()
            .collect();
        items.sort_by_key(|item| item.position);
        PullResponse { changes: FeedChanges { items, position: self.position }, is_snapshot }
    }

    /// Returns whether the platform was restored between the current position and `position`.
    fn is_restored_at(&self, position: Position) -> bool {
        self.position != Position::NONE && position.epoch() > self.position.epoch()
    }

    /// Returns whether all changes after `position` are known. In the preceding epoch, an entry may
    /// have known more than this one.
    fn has_changes_after(&self, position: Position) -> bool {
        let is_known = position.epoch() == self.position.epoch()
            || self
                .previous_end
                .is_some_and(|end| position.epoch() == end.epoch() && position <= end);
        is_known && position >= self.history_start && position != Position::NONE
    }

    /// Replaces the items by a full read of the platform's next epoch.
    fn adopt(&mut self, items: &[RawItem], position: Position) {
        let read: BTreeSet<&str> = items.iter().map(|item| item.key.as_str()).collect();
        let missing = self
            .items
            .values()
            .filter(|item| item.content.is_some() && !read.contains(item.key.as_str()));
        let removal = |item: &RawItem| RawItem { key: item.key.clone(), position, content: None };
        let removals: Vec<RawItem> = missing.map(removal).collect();
        items.iter().chain(&removals).for_each(|item| self.insert(item));
        self.previous_end = Some(self.position);
        self.position = position;
    }

    /// Stores an item unless a later version is known, or the same one from an earlier epoch.
    fn insert(&mut self, item: &RawItem) {
        let known = self.items.get(&item.key);
        let is_same = |known: &RawItem| {
            known.position.revision() == item.position.revision() && known.content == item.content
        };
        if known.is_some_and(|known| known.position > item.position || is_same(known)) {
            return;
        }
        let old = self.items.insert(item.key.clone(), item.clone());
        self.tombstones -= usize::from(old.is_some_and(|old| old.content.is_none()));
        self.tombstones += usize::from(item.content.is_none());
    }

    fn drop_tombstones(&mut self) {
        self.items.retain(|_, item| item.content.is_some());
        self.tombstones = 0;
        self.history_start = self.position;
    }
}
