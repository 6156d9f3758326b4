//! Offered versions of a list and the outcome of an offer.

use shallotfork_types::{ListName, Revision};

use crate::Digest;

/// Revision and content of a list, ordered by revision, then by digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version {
    /// Revision that the platform assigned.
    pub revision: Revision,
    /// Digest of the content.
    pub digest: Digest,
}

impl Version {
    /// Creates the version of `content` under `revision`.
    pub fn new(revision: Revision, content: &[u8]) -> Self {
        Self { revision, digest: Digest::of(content) }
    }
}

/// Version of a list that the platform or a peer has sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OfferedVersion {
    /// Name of the list.
    pub name: ListName,
    /// Revision and digest of the content.
    pub version: Version,
    /// Whether the content passed validation, which is deterministic and the same in every process.
    pub valid: bool,
}

/// Which of two contents under the same revision is in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConflictWinner {
    /// The offered content, which takes effect now.
    Offered,
    /// The content in force before; the offered one is refused.
    InForce,
}

/// Outcome of offering a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The version takes effect now.
    Accepted {
        /// Revision in force before.
        from: Option<Revision>,
    },
    /// The version is known already; nothing changes.
    Known,
    /// Refused because a higher revision is in force.
    Lower {
        /// Revision in force.
        in_force: Revision,
    },
    /// Refused because the content is invalid; the last valid version stays in force.
    Invalid {
        /// Revision in force.
        in_force: Option<Revision>,
    },
    /// Another content has the same revision, which needs an operator's attention.
    Conflict {
        /// Which of the two contents is in force.
        winner: ConflictWinner,
    },
}

impl OfferOutcome {
    /// Returns whether the offered version takes effect now.
    pub fn takes_effect(self) -> bool {
        matches!(self, Self::Accepted { .. } | Self::Conflict { winner: ConflictWinner::Offered })
    }
}
