//! Offers of a list and what becomes of them.

use shallotfork_types::{ListName, Revision};

use crate::Digest;

/// One content of a list under one revision; ordered by revision, then digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version {
    /// The platform's number.
    pub revision: Revision,
    /// Fingerprint of the content.
    pub digest: Digest,
}

impl Version {
    /// The version of `content` under `revision`.
    pub fn new(revision: Revision, content: &[u8]) -> Self {
        Self { revision, digest: Digest::of(content) }
    }
}

/// A version that the platform or a peer has sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OfferedVersion {
    /// The list.
    pub name: ListName,
    /// Its version.
    pub version: Version,
    /// Whether the content passed validation, which is deterministic and the same everywhere.
    pub valid: bool,
}

/// Which of two contents under one revision is in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConflictWinner {
    /// The offered one; it takes effect now.
    Offered,
    /// The one in force before; the offered one is refused.
    InForce,
}

/// What becomes of an offered version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferOutcome {
    /// It takes effect now.
    Accepted {
        /// Revision in force before.
        from: Option<Revision>,
    },
    /// It is known already; nothing changes.
    Known,
    /// Refused: a higher revision is in force.
    Lower {
        /// Revision in force.
        in_force: Revision,
    },
    /// Refused: it is not valid; the last good version stays in force.
    Invalid {
        /// Revision in force.
        in_force: Option<Revision>,
    },
    /// Another content has the same revision, which needs an operator's attention.
    Conflict {
        /// Which of the two is in force.
        winner: ConflictWinner,
    },
}

impl OfferOutcome {
    /// Whether the offered version takes effect now.
    pub fn takes_effect(self) -> bool {
        matches!(self, Self::Accepted { .. } | Self::Conflict { winner: ConflictWinner::Offered })
    }
}
