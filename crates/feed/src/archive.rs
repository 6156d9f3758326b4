//! Latest published items, kept so that other entries can pull them instead of reading the platform.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;
use std::time::Duration;

use shallotfork_history::{AdoptionContext, Precedence, Register, SETTLE_TIME, Version};
use shallotfork_types::{Epoch, ListsDigest, Mono, Position, Revision, rendezvous_weight};

use crate::feed::{FeedChanges, RawItem};

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
    items: BTreeMap<String, Register<Vec<u8>>>,
    position: Position,
    /// Positions after which all changes are known, as ranges within one epoch. The last one ends at the
    /// current position.
    known_after: Vec<RangeInclusive<Position>>,
    /// Lowest revision seen of the platform in the current epoch. The copy is not later than that.
    seen_from: Revision,
    settle_time: SettleTime,
    retained_digest: ListsDigest,
}

/// The settle time of the current epoch.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum SettleTime {
    /// This entry does not know when the epoch began.
    #[default]
    Unknown,
    /// The settle time ends then.
    Until(Mono),
    /// The settle time is over.
    Over,
}

/// Response to an entry that pulls published items.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PullResponse {
    /// Items changed after the requested position, or all items of a snapshot.
    pub changes: FeedChanges,
    /// Whether the response contains all published items.
    pub is_snapshot: bool,
    /// Lowest revision that the responding entry knows of the platform in the current epoch; `None` if
    /// it states none.
    pub seen_from: Option<Revision>,
    /// Versions of earlier epochs that hold in place of the published ones.
    pub retained: Retained,
}

/// Versions of earlier epochs that hold in place of the published ones.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Retained {
    /// The versions.
    pub items: Vec<RawItem>,
    /// Remaining settle time; `None` if it is not known.
    pub settles_in: Option<Duration>,
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

    /// Returns the keys of the items of which a version of an earlier epoch is retained.
    pub fn retained_keys(&self) -> Vec<String> {
        let retained = self.items.iter().filter(|(_, register)| register.retained().is_some());
        retained.map(|(key, _)| key.clone()).collect()
    }

    /// Returns the digest of the retained versions; zero if there are none.
    pub fn retained_digest(&self) -> ListsDigest {
        self.retained_digest
    }

    /// Replaces the items by a full read of the platform as of `position`, but keeps items that changed
    /// after it.
    pub fn replace(&mut self, items: &[RawItem], position: Position, now: Mono, judge: &Judge<'_>) {
        self.replace_seen_from(position.revision(), items, position, now, judge);
    }

    /// Applies an incremental read of the platform that continues from the current position, and returns
    /// the items that it contains as they are now.
    pub fn apply(&mut self, changes: &FeedChanges, judge: &Judge<'_>) -> Vec<RawItem> {
        changes.items.iter().for_each(|item| self.write(item, judge));
        self.advance(changes.position);
        let changed = changes.items.iter().filter_map(|item| {
            let register = self.items.get(&item.key)?;
            Some(effective_item(&item.key, register))
        });
        let changed = changed.collect();
        self.limit_tombstones();
        self.update_retained_digest();
        changed
    }

    /// Applies a response of another entry, which must have passed [`check`](Self::check). Returns the
    /// items that have changed; `None` if any may have.
    pub fn apply_response(
        &mut self,
        response: &PullResponse,
        now: Mono,
        judge: &Judge<'_>,
    ) -> Option<Vec<RawItem>> {
        let PullResponse { changes, is_snapshot, seen_from, retained } = response;
        let FeedChanges { items, position } = changes;
        let is_restored = self.is_restored_at(*position);
        let seen_from = seen_from.unwrap_or(position.revision());
        let changed = if *is_snapshot {
            self.replace_seen_from(seen_from, items, *position, now, judge);
            None
        } else if is_restored {
            let is_unchanged = {
                let changed: BTreeSet<&str> = items.iter().map(|item| item.key.as_str()).collect();
                move |key: &str| !changed.contains(key)
            };
            let unchanged = self.items.iter().filter(|(key, _)| is_unchanged(key));
            let unchanged = unchanged.map(|(_, register)| register.published());
            let copied_at_least = latest_revision(unchanged);
            self.adopt_epoch(items, *position, seen_from, copied_at_least, now, judge);
            None
        } else {
            Some(self.apply(changes, judge))
        };
        let ends_at = retained.settles_in.map(|settles_in| now.plus(settles_in));
        self.settle_time = match (self.settle_time, ends_at) {
            (SettleTime::Unknown, Some(ends_at)) => SettleTime::Until(ends_at),
            (SettleTime::Until(own), Some(ends_at)) => SettleTime::Until(own.min(ends_at)),
            (unchanged, _) => unchanged,
        };
        if *position == self.position {
            self.seen_from = self.seen_from.min(seen_from);
        }
        let is_retained = self.retain(&retained.items, judge);
        if self.settle_time == SettleTime::Over {
            self.end_settle_time();
        }
        self.update_retained_digest();
        changed.filter(|_| !is_retained)
    }

    /// Ends the settle time once it is over. Returns whether any content has changed.
    pub fn settle(&mut self, now: Mono) -> bool {
        matches!(self.settle_time, SettleTime::Until(ends_at) if now >= ends_at)
            && self.end_settle_time()
    }

    fn end_settle_time(&mut self) -> bool {
        self.settle_time = SettleTime::Over;
        let mut has_changed = false;
        for register in self.items.values_mut() {
            has_changed |= register.settle(self.position);
        }
        self.update_retained_digest();
        has_changed
    }

    /// Returns the changes after `position`, or a snapshot if removals since then may be missing.
    pub fn changes_after(&self, position: Position) -> PullResponse {
        let is_snapshot = !self.has_changes_after(position);
        let published = self.items.iter().map(|(key, register)| published_item(key, register));
        let mut items: Vec<RawItem> = published
            .filter(
                |item| if is_snapshot { item.content.is_some() } else { item.position > position },
            )
            .collect();
        items.sort_by_key(|item| item.position);
        PullResponse {
            changes: FeedChanges { items, position: self.position },
            is_snapshot,
            seen_from: Some(self.seen_from),
            retained: Retained::default(),
        }
    }

    /// Replaces the contents of items by those that hold.
    pub fn fill_in_retained(&self, items: &mut [RawItem]) {
        for item in items {
            if let Some(retained) = self.items.get(&item.key).and_then(Register::retained) {
                item.content = retained.content.clone();
            }
        }
    }

    /// Returns the retained versions that an entry at `position` does not know.
    pub fn retained_for(&self, position: Position, now: Mono) -> Retained {
        let is_known = |version: &Version<Vec<u8>>| {
            let is_earlier_epoch = position.epoch() < self.position.epoch();
            is_earlier_epoch
                && version.position.epoch() == position.epoch()
                && version.position <= position
        };
        let versions = self.items.iter().filter_map(|(key, register)| {
            let version = register.retained().filter(|version| !is_known(version))?;
            Some(item_of(key, version))
        });
        let settles_in = match self.settle_time {
            SettleTime::Until(ends_at) => Some(ends_at.since(now)),
            SettleTime::Over => Some(Duration::ZERO),
            SettleTime::Unknown => None,
        };
        Retained { items: versions.collect(), settles_in }
    }

    /// Retains versions that another entry at the current position retains, unless their writers have
    /// published since. Returns whether any content has changed.
    fn retain(&mut self, versions: &[RawItem], judge: &Judge<'_>) -> bool {
        let position = self.position;
        let mut has_changed = false;
        for item in versions.iter().filter(|item| item.position.epoch() < position.epoch()) {
            let copy = Position::new(position.epoch(), Revision::NONE);
            let missing = || Register::new(Version { position: copy, content: None });
            let register = self.items.entry(item.key.clone()).or_insert_with(missing);
            has_changed |= register.retain(version_of(item), |known, published| {
                judge_versions(judge, &item.key, known, published)
            });
        }
        has_changed
    }

    /// Returns whether the platform was restored between the current position and `position`.
    fn is_restored_at(&self, position: Position) -> bool {
        self.position != Position::NONE && position.epoch() > self.position.epoch()
    }

    /// Returns whether what has changed since `position` is known.
    ///
    /// An entry in the current epoch takes over the changes as all that there were, so none may have been
    /// missed here. One in an earlier epoch takes over what differs.
    fn has_changes_after(&self, position: Position) -> bool {
        let is_current = position.epoch() == self.position.epoch();
        let skipped = if is_current { self.known_after.len().saturating_sub(1) } else { 0 };
        self.known_after.iter().skip(skipped).any(|known| known.contains(&position))
    }

    /// Moves on to a position up to which all changes have been applied.
    fn advance(&mut self, position: Position) {
        self.position = self.position.max(position);
        match self.known_after.pop() {
            Some(last) => self.known_after.push(*last.start()..=self.position),
            None => self.known_after.push(self.position..=self.position),
        }
    }

    /// Moves on to a position although some changes up to it may have been missed. Another entry may know
    /// of an item that has come and gone meanwhile.
    fn skip_to(&mut self, position: Position) {
        if position <= self.position {
            return;
        }
        self.position = position;
        self.known_after.push(position..=position);
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
    fn replace_seen_from(
        &mut self,
        seen_from: Revision,
        items: &[RawItem],
        position: Position,
        now: Mono,
        judge: &Judge<'_>,
    ) {
        let read: BTreeSet<&str> = items.iter().map(|item| item.key.as_str()).collect();
        if self.is_restored_at(position) {
            let missing = self.items.keys().filter(|key| !read.contains(key.as_str()));
            // The absence is a statement of the copy, so it precedes all changes of the epoch.
            let copy = Position::new(position.epoch(), Revision::NONE);
            let removed =
                missing.map(|key| RawItem { key: key.clone(), position: copy, content: None });
            let all: Vec<RawItem> = items.iter().cloned().chain(removed).collect();
            let unchanged = items.iter().filter_map(|item| {
                let known = self.items.get(&item.key)?.published();
                let is_same = known.position.revision() == item.position.revision()
                    && known.content == item.content;
                is_same.then_some(known)
            });
            let copied_at_least = latest_revision(unchanged);
            self.adopt_epoch(&all, position, seen_from, copied_at_least, now, judge);
            return;
        }
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

    /// Applies what has changed between the current position and one in a later epoch. The copy contains
    /// the revision `copied_at_least`, and not those after `seen_from`.
    fn adopt_epoch(
        &mut self,
        items: &[RawItem],
        position: Position,
        seen_from: Revision,
        copied_at_least: Revision,
        now: Mono,
        judge: &Judge<'_>,
    ) {
        for item in items {
            self.adopt(&in_epoch(item, position.epoch()), copied_at_least, seen_from, judge);
        }
        self.skip_to(position);
        self.seen_from = seen_from;
        self.settle_time = SettleTime::Until(now.plus(SETTLE_TIME));
        self.limit_tombstones();
        self.update_retained_digest();
    }

    /// Applies an item that may be of the copy. An item of the copy that is unknown here was removed
    /// before the current position.
    fn adopt(
        &mut self,
        item: &RawItem,
        copied_at_least: Revision,
        copied_until: Revision,
        judge: &Judge<'_>,
    ) {
        let position = self.position;
        let register = match self.items.entry(item.key.clone()) {
            Entry::Occupied(register) => register.into_mut(),
            Entry::Vacant(vacant) if item.position.revision() <= copied_at_least => {
                vacant.insert(Register::new(Version { position, content: None }))
            }
            Entry::Vacant(vacant) => {
                vacant.insert(Register::new(version_of(item)));
                return;
            }
        };
        let context = AdoptionContext { known_until: position.revision(), copied_until };
        register.adopt(version_of(item), context, |known, published| {
            judge_versions(judge, &item.key, known, published)
        });
    }

    fn insert(&mut self, item: &RawItem) {
        self.items.insert(item.key.clone(), Register::new(version_of(item)));
    }

    fn update_retained_digest(&mut self) {
        self.retained_digest = ListsDigest::default();
        for (key, register) in &self.items {
            let Some(version) = register.retained() else { continue };
            let hash = rendezvous_weight(key, &version.position.to_string());
            self.retained_digest = self.retained_digest.with_list(hash);
        }
    }

    /// Drops all tombstones if there are too many of them.
    fn limit_tombstones(&mut self) {
        if self.items.values().filter(|register| is_tombstone(register)).count() > TOMBSTONES_MAX {
            self.items.retain(|_, register| !is_tombstone(register));
            self.known_after = vec![self.position..=self.position];
        }
    }
}

fn write(key: &str, register: &mut Register<Vec<u8>>, next: Version<Vec<u8>>, judge: &Judge<'_>) {
    register.write(next, |known, published| judge_versions(judge, key, known, published));
}

fn judge_versions(
    judge: &Judge<'_>,
    key: &str,
    known: &Version<Vec<u8>>,
    published: &Version<Vec<u8>>,
) -> Precedence {
    judge(&item_of(key, known), &item_of(key, published))
}

/// Returns an item as published in an epoch. Another entry sends an item that is as before at its
/// position of an earlier epoch; if it was removed then, the copy lacks it.
fn in_epoch(item: &RawItem, epoch: Epoch) -> RawItem {
    let is_lacking = item.content.is_none() && item.position.epoch() < epoch;
    let revision = if is_lacking { Revision::NONE } else { item.position.revision() };
    RawItem { position: Position::new(epoch, revision), ..item.clone() }
}

fn latest_revision<'a>(versions: impl Iterator<Item = &'a Version<Vec<u8>>>) -> Revision {
    versions.map(|version| version.position.revision()).max().unwrap_or(Revision::NONE)
}

/// Whether an item was removed and nothing is retained of it.
fn is_tombstone(register: &Register<Vec<u8>>) -> bool {
    register.published().content.is_none() && register.retained().is_none()
}

fn version_of(item: &RawItem) -> Version<Vec<u8>> {
    Version { position: item.position, content: item.content.clone() }
}

fn item_of(key: &str, version: &Version<Vec<u8>>) -> RawItem {
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
