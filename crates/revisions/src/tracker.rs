//! Version in force of each list.

use std::collections::BTreeMap;

use sha2::{Digest as _, Sha256};
use shallotfork_types::{ListName, ListsDigest, Revision};

use crate::{ConflictWinner, OfferOutcome, OfferedVersion, Version};

/// Tracks the version in force and the last refused version of each list.
#[derive(Debug, Default)]
pub struct Tracker {
    lists: BTreeMap<ListName, ListState>,
    digest: ListsDigest,
}

#[derive(Debug, Default)]
struct ListState {
    in_force: Option<Version>,
    refused: Option<Version>,
}

impl Tracker {
    /// Creates a tracker with no list in force.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether offering this version would change nothing, so that it need not be
    /// validated.
    pub fn is_known(&self, name: &ListName, version: &Version) -> bool {
        self.lists.get(name).is_some_and(|list| list.is_known(version))
    }

    /// Offers a version and returns the outcome.
    pub fn offer(&mut self, offered: &OfferedVersion) -> OfferOutcome {
        let list = self.lists.entry(offered.name.clone()).or_default();
        let before = list.in_force;
        let outcome = list.offer(offered.version, offered.valid);
        if outcome.takes_effect() {
            let without = before.map_or(self.digest, |version| {
                self.digest.without_list(list_hash(&offered.name, &version))
            });
            self.digest = without.with_list(list_hash(&offered.name, &offered.version));
        }
        outcome
    }

    /// Returns the digest of all versions in force; processes with the same lists have the same
    /// digest.
    pub fn digest(&self) -> ListsDigest {
        self.digest
    }

    /// Returns the version in force of one list.
    pub fn in_force(&self, name: &ListName) -> Option<Version> {
        self.lists.get(name).and_then(|list| list.in_force)
    }

    /// Returns the last version of one list that was refused as invalid or lost a conflict, unless
    /// it is older than the one in force.
    pub fn refused(&self, name: &ListName) -> Option<Version> {
        let list = self.lists.get(name)?;
        list.refused.filter(|refused| Some(refused.revision) >= list.revision())
    }

    /// Returns every list that was ever offered, ordered by name, with its version in force. A list
    /// whose versions were all refused has none.
    pub fn lists(&self) -> impl Iterator<Item = (&ListName, Option<Version>)> {
        self.lists.iter().map(|(name, list)| (name, list.in_force))
    }
}

/// Returns the part of one list in the digest of all lists.
fn list_hash(name: &ListName, version: &Version) -> u64 {
    let hash = Sha256::new()
        .chain_update(name.to_string())
        .chain_update(version.revision.value().to_le_bytes())
        .chain_update(version.digest.as_bytes())
        .finalize();
    let mut prefix = [0; size_of::<u64>()];
    prefix.copy_from_slice(&hash[..size_of::<u64>()]);
    u64::from_le_bytes(prefix)
}

impl ListState {
    fn revision(&self) -> Option<Revision> {
        self.in_force.map(|version| version.revision)
    }

    fn is_known(&self, version: &Version) -> bool {
        self.in_force.as_ref() == Some(version) || self.refused.as_ref() == Some(version)
    }

    fn offer(&mut self, version: Version, valid: bool) -> OfferOutcome {
        if self.is_known(&version) {
            return OfferOutcome::Known;
        }
        // A replica that lags, or a platform restored from a backup, offers an earlier version
        // again. Accepting it would undo a change that operators have seen take effect.
        if let Some(in_force) = self.revision().filter(|revision| version.revision < *revision) {
            return OfferOutcome::Lower { in_force };
        }
        let conflict = self.is_conflict(&version);
        let outranked = self.in_force.is_some_and(|in_force| version < in_force);
        if !valid || outranked {
            return self.refuse(version, conflict);
        }
        let from = self.revision();
        self.in_force = Some(version);
        if conflict {
            OfferOutcome::Conflict { winner: ConflictWinner::Offered }
        } else {
            OfferOutcome::Accepted { from }
        }
    }

    fn refuse(&mut self, version: Version, conflict: bool) -> OfferOutcome {
        self.refused = Some(version);
        if conflict && self.revision() == Some(version.revision) {
            return OfferOutcome::Conflict { winner: ConflictWinner::InForce };
        }
        OfferOutcome::Invalid { in_force: self.revision() }
    }

    /// Returns whether another content is known under the same revision.
    ///
    /// Two operators who publish at the same time through replicas that disagree can put two
    /// contents under one revision. Entries that received different ones would differ permanently;
    /// ordering by digest makes every entry settle on the same content, whichever it received
    /// first.
    fn is_conflict(&self, version: &Version) -> bool {
        [self.in_force, self.refused]
            .into_iter()
            .flatten()
            .any(|known| known.revision == version.revision && known.digest != version.digest)
    }
}
