//! Latest published items, kept so that other entries can pull them instead of reading the platform.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;

use shallotfork_history::{Precedence, Register, Version};
use shallotfork_types::{ListsDigest, Mono, Position, Revision};

use crate::feed::{FeedChanges, RawItem};
use crate::restore::{Retained, SettleTime, in_epoch};

/// Maximum number of tombstones kept for removed items. When it is exceeded, all of them are dropped,
/// and peers that are behind get a full snapshot.
const TOMBSTONES_MAX: usize = 1024;

/// Maximum number of ranges of positions after which all changes are known.
const KNOWN_RANGES_MAX: usize = 16;

/// Decides which of two versions of an item is later: one known from an earlier epoch, or the one that
/// is published now.
pub type Judge<'a> = dyn Fn(&RawItem, &RawItem) -> Precedence + 'a;

/// The latest version of every published item, and the position up to which they are complete.
///
/// The platform meters each call, and the call rate it allows grows more slowly than the fleet.
/// Therefore a few entries read the platform, and the others pull from them what changed after the
/// position that they already have.
///
/// After the platform was restored from a copy, most items are as before. These keep the position that
/// they had, so that other entries pull only what differs. Later versions than the copy's are retained
/// until their writers publish again or the settle time is over; see [`Register`].
#[derive(Debug, Default)]
pub struct Archive {
    pub(crate) items: BTreeMap<String, Register<Vec<u8>>>,
    pub(crate) position: Position,
    /// Positions after which all changes are known, as ranges within one epoch. The last one ends at the
    /// current position.
    known_after: Vec<KnownRange>,
    /// Position from which on no removal was missed by the last full read; `None` if it is not known.
    exact_from: Option<Position>,
    /// Lowest revision seen of the platform in the current epoch. The copy is not later than that.
    pub(crate) seen_from: Revision,
    pub(crate) settle_time: SettleTime,
    pub(crate) retained_digest: ListsDigest,
}

/// Positions after which all changes up to the last one are known.
#[derive(Debug, Clone)]
struct KnownRange {
    positions: RangeInclusive<Position>,
    /// Whether all items are known that existed at these positions. A full read misses those that were
    /// removed while it was in progress, until the changes made meanwhile are known as well.
    is_exact: bool,
}

impl KnownRange {
    fn new(position: Position) -> Self {
        Self { positions: position..=position, is_exact: false }
    }
}

/// Response to an entry that pulls published items.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PullResponse {
    /// Items changed after the requested position, or all items of a snapshot.
    pub changes: FeedChanges,
    /// Whether the response contains all published items.
    pub is_snapshot: bool,
    /// Whether items that came and went since the requested position may be missing, because the
    /// responding entry has not seen all changes since.
    pub has_gap: bool,
    /// Lowest revision that the responding entry knows of the platform in the current epoch; `None` if
    /// it states none.
    pub seen_from: Option<Revision>,
    /// Versions of earlier epochs that hold in place of the published ones.
    pub retained: Retained,
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

    /// Returns the content of all items that exist, at the position of their published versions.
    pub fn items(&self) -> Vec<RawItem> {
        let existing = self.items.iter().filter(|(_, register)| register.content().is_some());
        existing.map(|(key, register)| effective_item(key, register)).collect()
    }

    /// Replaces the items by a full read of the platform as of `position`, but keeps items that changed
    /// after it.
    pub fn replace(&mut self, items: &[RawItem], position: Position, now: Mono, judge: &Judge<'_>) {
        self.replace_seen_from(position.revision(), items, position, now, judge);
        self.exact_from = None;
    }

    /// Records the position of the platform at the end of the full read that has been applied.
    pub fn end_read(&mut self, newest: Position) {
        self.exact_from = Some(newest);
    }

    /// Applies an incremental read of the platform that continues from the current position, and returns
    /// the items that it contains as they are now.
    pub fn apply(&mut self, changes: &FeedChanges, judge: &Judge<'_>) -> Vec<RawItem> {
        self.apply_then(changes, judge, Self::advance)
    }

    /// Applies changes that may lack items that came and went. Responses of this entry then lack them as
    /// well, so that its history begins anew.
    pub(crate) fn apply_with_gap(
        &mut self,
        changes: &FeedChanges,
        judge: &Judge<'_>,
    ) -> Vec<RawItem> {
        let changed = self.apply_then(changes, judge, Self::skip_to);
        self.forget_exactness();
        changed
    }

    /// Forgets from which position on no removal was missed, because responses of other entries do not
    /// state it.
    pub(crate) fn forget_exactness(&mut self) {
        self.exact_from = None;
    }

    fn apply_then(
        &mut self,
        changes: &FeedChanges,
        judge: &Judge<'_>,
        move_on: impl FnOnce(&mut Self, Position),
    ) -> Vec<RawItem> {
        changes.items.iter().for_each(|item| self.write(item, judge));
        move_on(self, changes.position);
        let changed = changes.items.iter().filter_map(|item| {
            let register = self.items.get(&item.key)?;
            Some(effective_item(&item.key, register))
        });
        let changed = changed.collect();
        self.limit_tombstones();
        self.update_retained_digest();
        changed
    }

    /// Returns the changes after `position`, or a snapshot if removals since then may be missing.
    pub fn changes_after(&self, position: Position) -> PullResponse {
        let is_snapshot = !self.has_changes_after(position);
        self.response(position, is_snapshot, false)
    }

    /// Returns the changes after `position` for an entry that [accepts a gap](Self::accepts_gap).
    ///
    /// After the platform has discarded its history, the entries that read it know what exists but
    /// not what happened meanwhile. If all others had to pull a snapshot from them, a loss of history
    /// would transfer every item to every entry.
    pub fn changes_with_gap_after(&self, position: Position) -> PullResponse {
        if self.has_changes_after(position) {
            return self.response(position, false, false);
        }
        let is_known = |known: &KnownRange| known.is_exact && known.positions.contains(&position);
        let has_gap =
            self.known_after.iter().any(is_known) && position.epoch() == self.position.epoch();
        self.response(position, !has_gap, has_gap)
    }

    /// Returns whether this entry can apply changes that may lack items that came and went after its
    /// position: it holds no item of a later position, which might be one of these.
    pub fn accepts_gap(&self) -> bool {
        self.items.values().all(|register| register.published().position <= self.position)
    }

    fn response(&self, position: Position, is_snapshot: bool, has_gap: bool) -> PullResponse {
        let is_included = |version: &Version<Vec<u8>>| {
            if is_snapshot { version.content.is_some() } else { version.position > position }
        };
        let included = self.items.iter().filter(|(_, register)| is_included(register.published()));
        let mut items: Vec<RawItem> =
            included.map(|(key, register)| published_item(key, register)).collect();
        items.sort_by_key(|item| item.position);
        PullResponse {
            changes: FeedChanges { items, position: self.position },
            is_snapshot,
            has_gap,
            seen_from: Some(self.seen_from),
            retained: Retained::default(),
        }
    }

    /// Returns whether what has changed since `position` is known.
    ///
    /// An entry in the current epoch will claim in turn to know all changes since `position`, so none may
    /// have been missed here. One in an earlier epoch claims that only from the current position on.
    fn has_changes_after(&self, position: Position) -> bool {
        let is_current = position.epoch() == self.position.epoch();
        let skipped = if is_current { self.known_after.len().saturating_sub(1) } else { 0 };
        self.known_after.iter().skip(skipped).any(|known| known.positions.contains(&position))
    }

    /// Moves on to a position up to which all changes have been applied.
    fn advance(&mut self, position: Position) {
        self.position = self.position.max(position);
        match self.known_after.pop() {
            Some(last) => self
                .known_after
                .push(KnownRange { positions: *last.positions.start()..=self.position, ..last }),
            None => self.known_after.push(KnownRange::new(self.position)),
        }
    }

    /// Moves on to a position although some changes up to it may have been missed. Another entry may know
    /// of an item that has come and gone meanwhile.
    pub(crate) fn skip_to(&mut self, position: Position) {
        if position <= self.position {
            return;
        }
        let is_exact = self.exact_from.is_some_and(|from| from <= self.position);
        if let Some(last) = self.known_after.last_mut() {
            last.is_exact = is_exact;
        }
        self.position = position;
        self.known_after.push(KnownRange::new(position));
        let excess = self.known_after.len().saturating_sub(KNOWN_RANGES_MAX);
        self.known_after.drain(..excess);
    }

    fn write(&mut self, item: &RawItem, judge: &Judge<'_>) {
        match self.items.get_mut(&item.key) {
            Some(register) => write(&item.key, register, version_of(item), judge),
            None => self.insert(item),
        }
    }

    /// Replaces the items by a full read as of `position`. The platform is known in that epoch from the
    /// revision `seen_from` on.
    pub(crate) fn replace_seen_from(
        &mut self,
        seen_from: Revision,
        items: &[RawItem],
        position: Position,
        now: Mono,
        judge: &Judge<'_>,
    ) {
        if self.is_restored_at(position) {
            self.adopt_snapshot(seen_from, items, position, now, judge);
            return;
        }
        let read: BTreeSet<&str> = items.iter().map(|item| item.key.as_str()).collect();
        if self.position == Position::NONE {
            self.seen_from = seen_from;
        }
        for (key, register) in &mut self.items {
            let is_missing = !read.contains(key.as_str())
                && (register.published().content.is_some() || is_tombstone(register))
                && register.published().position <= position;
            if is_missing {
                write(key, register, Version { position, content: None }, judge);
            }
        }
        for item in items {
            let item = in_epoch(item, position.epoch());
            let is_unchanged = |register: &Register<_>| register.is_unchanged(&version_of(&item));
            if !self.items.get(&item.key).is_some_and(is_unchanged) {
                self.write(&item, judge);
            }
        }
        self.skip_to(position);
        self.limit_tombstones();
        self.update_retained_digest();
    }

    pub(crate) fn insert(&mut self, item: &RawItem) {
        self.items.insert(item.key.clone(), Register::new(version_of(item)));
    }

    /// Drops all tombstones if there are too many of them.
    pub(crate) fn limit_tombstones(&mut self) {
        if self.items.values().filter(|register| is_tombstone(register)).count() > TOMBSTONES_MAX {
            self.items.retain(|_, register| !is_tombstone(register));
            self.known_after = vec![KnownRange::new(self.position)];
        }
    }
}

fn write(key: &str, register: &mut Register<Vec<u8>>, next: Version<Vec<u8>>, judge: &Judge<'_>) {
    register.write(next, |known, published| judge_versions(judge, key, known, published));
}

pub(crate) fn judge_versions(
    judge: &Judge<'_>,
    key: &str,
    known: &Version<Vec<u8>>,
    published: &Version<Vec<u8>>,
) -> Precedence {
    judge(&item_of(key, known), &item_of(key, published))
}

/// Whether an item was removed and nothing is retained of it.
fn is_tombstone(register: &Register<Vec<u8>>) -> bool {
    register.published().content.is_none() && register.retained().is_none()
}

pub(crate) fn version_of(item: &RawItem) -> Version<Vec<u8>> {
    Version { position: item.position, content: item.content.clone() }
}

pub(crate) fn item_of(key: &str, version: &Version<Vec<u8>>) -> RawItem {
    let Version { position, content } = version.clone();
    RawItem { key: key.to_owned(), position, content }
}

fn published_item(key: &str, register: &Register<Vec<u8>>) -> RawItem {
    item_of(key, register.published())
}

/// Returns the content that holds, at the position of the published version, so that what is applied
/// later has a later position.
fn effective_item(key: &str, register: &Register<Vec<u8>>) -> RawItem {
    let position = register.published().position;
    RawItem { key: key.to_owned(), position, content: register.content().cloned() }
}
