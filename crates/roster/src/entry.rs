//! One published entry, as decoded.

use std::fmt;
use std::time::Duration;

use shallotfork_types::{Endpoint, FailureDomain, Revision, ServiceName, TargetId};

/// Whether a target takes new work, by its own word.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// It does.
    Serving,
    /// It ends what it has and then leaves.
    Draining,
}

impl fmt::Display for Availability {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Serving => "serving",
            Self::Draining => "draining",
        })
    }
}

/// What a target says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetRecord {
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it is reached.
    pub endpoint: Endpoint,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// Requests that it runs at once; at least 1.
    pub slots: u32,
    /// Whether it takes new work.
    pub availability: Availability,
    /// How much longer it is slow after its start, as of the entry's writing.
    pub cold_for: Duration,
    /// Wall-clock time of its start in Unix milliseconds, by its own clock; tells two runs under
    /// one id apart. `None` when the entry does not say.
    pub started_at_ms: Option<u64>,
}

/// What became of one published entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PublishedState {
    /// It names a target.
    Target(TargetRecord),
    /// It cannot be read as a target, so that it names none.
    Unreadable,
    /// It is no longer published.
    Removed,
}

/// One entry at one revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetChange {
    /// The target.
    pub id: TargetId,
    /// Revision of the entry's last change.
    pub revision: Revision,
    /// Its content.
    pub published: PublishedState,
}
