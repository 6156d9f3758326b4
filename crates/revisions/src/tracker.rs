//! The version in force of each list.

use std::collections::BTreeMap;

use sha2::{Digest as _, Sha256};
use shallotfork_types::{ListName, ListsDigest, Revision};

use crate::{ConflictWinner, OfferOutcome, OfferedVersion, Version};

/// Remembers the version in force of each list and the last one refused.
#[derive(Debug, Default)]
pub struct Tracker {
    lists: BTreeMap<ListName, Versions>,
    digest: ListsDigest,
}

#[derive(Debug, Default)]
struct Versions {
    in_force: Option<Version>,
    refused: Option<Version>,
}

impl Tracker {
    /// A tracker with no list in force.
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether offering this version would change nothing, so that it need not be validated.
    pub fn is_known(&self, name: &ListName, version: &Version) -> bool {
        self.lists.get(name).is_some_and(|versions| versions.knows(version))
    }

    /// Decides what becomes of an offered version.
    pub fn offer(&mut self, offered: &OfferedVersion) -> OfferOutcome {
        let versions = self.lists.entry(offered.name.clone()).or_default();
        let before = versions.in_force;
        let offer = versions.offer(offered.version, offered.valid);
        if offer.takes_effect() {
            let without = before.map_or(self.digest, |version| {
                self.digest.without_list(number_of(&offered.name, &version))
            });
            self.digest = without.with_list(number_of(&offered.name, &offered.version));
        }
        offer
    }

    /// Fingerprint of every version in force; processes with the same lists have the same one.
    pub fn digest(&self) -> ListsDigest {
        self.digest
    }

    /// The version in force of one list.
    pub fn in_force(&self, name: &ListName) -> Option<Version> {
        self.lists.get(name).and_then(|versions| versions.in_force)
    }

    /// The last version of one list that was refused as invalid or lost a conflict, if it is not
    /// older than the one in force.
    pub fn refused(&self, name: &ListName) -> Option<Version> {
        let versions = self.lists.get(name)?;
        versions.refused.filter(|refused| Some(refused.revision) >= versions.revision())
    }

    /// Every list that was ever offered, ordered by name, with its version in force. A list whose
    /// versions were all refused has none.
    pub fn lists(&self) -> impl Iterator<Item = (&ListName, Option<Version>)> {
        self.lists.iter().map(|(name, versions)| (name, versions.in_force))
    }
}

/// The part of one list in the fingerprint of all.
fn number_of(name: &ListName, version: &Version) -> u64 {
    let hash = Sha256::new()
        .chain_update(name.to_string())
        .chain_update(version.revision.value().to_le_bytes())
        .chain_update(version.digest.as_bytes())
        .finalize();
    let mut number = [0; size_of::<u64>()];
    number.copy_from_slice(&hash[..size_of::<u64>()]);
    u64::from_le_bytes(number)
}

impl Versions {
    fn revision(&self) -> Option<Revision> {
        self.in_force.map(|version| version.revision)
    }

    fn knows(&self, version: &Version) -> bool {
        self.in_force.as_ref() == Some(version) || self.refused.as_ref() == Some(version)
    }

    fn offer(&mut self, version: Version, valid: bool) -> OfferOutcome {
        if self.knows(&version) {
            return OfferOutcome::Known;
        }
        // A replica that lags, or a platform restored from a backup, offers what was in force
        // earlier; taking it would undo a change that operators have seen take effect.
        if let Some(in_force) = self.revision().filter(|revision| version.revision < *revision) {
            return OfferOutcome::Lower { in_force };
        }
        let conflict = self.has_other_content(&version);
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

    /// Two operators publishing at once through replicas that do not agree can put two contents
    /// under one revision. Entries that saw different ones would differ for good; ordering by
    /// digest makes every entry settle on the same one, whichever it saw first.
    fn has_other_content(&self, version: &Version) -> bool {
        [self.in_force, self.refused]
            .into_iter()
            .flatten()
            .any(|known| known.revision == version.revision && known.digest != version.digest)
    }
}
