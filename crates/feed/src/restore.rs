//! The archive while the platform comes back from a copy.

use std::collections::BTreeSet;
use std::collections::btree_map::Entry;
use std::time::Duration;

use shallotfork_history::{AdoptionContext, Register, SETTLE_TIME, Version};
use shallotfork_types::{Epoch, ListsDigest, Mono, Position, Revision, rendezvous_weight};

use crate::archive::{Archive, Judge, PullResponse, item_of, judge_versions, version_of};
use crate::feed::{FeedChanges, RawItem};

/// The settle time of the current epoch.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum SettleTime {
    /// This entry does not know when the epoch began.
    #[default]
    Unknown,
    /// The settle time ends then.
    Until(Mono),
    /// The settle time is over.
    Over,
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
    /// Returns the keys of the items of which a version of an earlier epoch is retained.
    pub fn retained_keys(&self) -> Vec<String> {
        let retained = self.items.iter().filter(|(_, register)| register.retained().is_some());
        retained.map(|(key, _)| key.clone()).collect()
    }

    /// Returns the digest of the retained versions; zero if there are none.
    pub fn retained_digest(&self) -> ListsDigest {
        self.retained_digest
    }

    /// Applies a response of another entry, which must have passed [`check`](Self::check). Returns the
    /// items that have changed; `None` if any may have.
    pub fn apply_response(
        &mut self,
        response: &PullResponse,
        now: Mono,
        judge: &Judge<'_>,
    ) -> Option<Vec<RawItem>> {
        let PullResponse { changes, is_snapshot, has_gap, seen_from, retained } = response;
        let position = changes.position;
        let seen_from = seen_from.unwrap_or(position.revision());
        let changed = if *is_snapshot {
            self.replace_seen_from(seen_from, &changes.items, position, now, judge);
            self.forget_exactness();
            None
        } else if self.is_restored_at(position) {
            self.adopt_difference(seen_from, changes, now, judge);
            self.forget_exactness();
            None
        } else if *has_gap {
            Some(self.apply_with_gap(changes, judge))
        } else {
            Some(self.apply(changes, judge))
        };
        let ends_at = retained.settles_in.map(|settles_in| now.plus(settles_in));
        self.settle_time = match (self.settle_time, ends_at) {
            (SettleTime::Unknown, Some(ends_at)) => SettleTime::Until(ends_at),
            (SettleTime::Until(own), Some(ends_at)) => SettleTime::Until(own.min(ends_at)),
            (unchanged, _) => unchanged,
        };
        if position == self.position {
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
        let mut has_changed = false;
        let copy = Position::new(self.position.epoch(), Revision::NONE);
        for item in versions {
            let missing = || Register::new(Version { position: copy, content: None });
            let register = self.items.entry(item.key.clone()).or_insert_with(missing);
            has_changed |= register.retain(version_of(item), |known, published| {
                judge_versions(judge, &item.key, known, published)
            });
        }
        has_changed
    }

    /// Returns whether the platform was restored between the current position and `position`.
    pub(crate) fn is_restored_at(&self, position: Position) -> bool {
        self.position != Position::NONE && position.epoch() > self.position.epoch()
    }

    /// Applies a full read as of a position in a later epoch, which is known from the revision `seen_from`
    /// on.
    pub(crate) fn adopt_snapshot(
        &mut self,
        seen_from: Revision,
        items: &[RawItem],
        position: Position,
        now: Mono,
        judge: &Judge<'_>,
    ) {
        let read: BTreeSet<&str> = items.iter().map(|item| item.key.as_str()).collect();
        let missing = self.items.keys().filter(|key| !read.contains(key.as_str()));
        // The absence is a statement of the copy, so it precedes all changes of the epoch.
        let copy = Position::new(position.epoch(), Revision::NONE);
        let removed =
            missing.map(|key| RawItem { key: key.clone(), position: copy, content: None });
        let all: Vec<RawItem> = items.iter().cloned().chain(removed).collect();
        let unchanged = items.iter().filter_map(|item| {
            let register = self.items.get(&item.key)?;
            register.is_unchanged(&version_of(item)).then_some(register.published())
        });
        let copied_at_least = latest_revision(unchanged);
        self.adopt_epoch(&all, position, seen_from, copied_at_least, now, judge);
    }

    /// Applies the difference to a position in a later epoch. Items that it does not contain are as before.
    fn adopt_difference(
        &mut self,
        seen_from: Revision,
        changes: &FeedChanges,
        now: Mono,
        judge: &Judge<'_>,
    ) {
        let FeedChanges { items, position } = changes;
        let changed: BTreeSet<&str> = items.iter().map(|item| item.key.as_str()).collect();
        let unchanged = self.items.iter().filter(|(key, _)| !changed.contains(key.as_str()));
        let copied_at_least = latest_revision(unchanged.map(|(_, register)| register.published()));
        self.adopt_epoch(items, *position, seen_from, copied_at_least, now, judge);
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
        seen_from: Revision,
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
        let context = AdoptionContext { known_until: position.revision(), seen_from };
        register.adopt(version_of(item), context, |known, published| {
            judge_versions(judge, &item.key, known, published)
        });
    }

    pub(crate) fn update_retained_digest(&mut self) {
        self.retained_digest = ListsDigest::default();
        for (key, register) in &self.items {
            let Some(version) = register.retained() else { continue };
            let hash = rendezvous_weight(key, &version.position.to_string());
            self.retained_digest = self.retained_digest.with_list(hash);
        }
    }
}

/// Returns an item as published in an epoch. Another entry sends an item that is as before at its
/// position of an earlier epoch; if it was removed then, the copy lacks it.
pub(crate) fn in_epoch(item: &RawItem, epoch: Epoch) -> RawItem {
    let is_lacking = item.content.is_none() && item.position.epoch() < epoch;
    let revision = if is_lacking { Revision::NONE } else { item.position.revision() };
    RawItem { position: Position::new(epoch, revision), ..item.clone() }
}

fn latest_revision<'a>(versions: impl Iterator<Item = &'a Version<Vec<u8>>>) -> Revision {
    versions.map(|version| version.position.revision()).max().unwrap_or(Revision::NONE)
}
