//! Decoded records of published targets.

use std::fmt;
use std::time::Duration;

use shallotfork_types::{Endpoint, FailureDomain, Position, ServiceName, TargetId};

/// Availability that a target reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// The target accepts new requests.
    Serving,
    /// The target finishes its requests and accepts no new ones.
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

/// Published record of a target, as reported by the target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetRecord {
    /// Service that the target belongs to.
    pub service: ServiceName,
    /// Address of the target.
    pub endpoint: Endpoint,
    /// Failure domain of the target.
    pub failure_domain: FailureDomain,
    /// Number of requests that the target runs concurrently; at least 1.
    pub slots: u32,
    /// Whether the target accepts new requests.
    pub availability: Availability,
    /// Remaining time for which the target is cold, as of when the record was written.
    pub cold_for: Duration,
    /// Start of the target in Unix milliseconds of its own wall clock, which distinguishes two runs
    /// with the same ID. `None` if the record does not contain it.
    pub started_at_ms: Option<u64>,
    /// Number of the record within the run of the target, which counts up.
    pub sequence: u64,
}

/// Published state of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PublishedState {
    /// The target's record.
    Target(TargetRecord),
    /// The published item cannot be decoded as a record; the target does not exist.
    Unreadable,
    /// No record is published any more.
    Removed,
}

/// A published change of one target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetChange {
    /// ID of the target.
    pub id: TargetId,
    /// Position of the change.
    pub position: Position,
    /// Published state as of this position.
    pub published: PublishedState,
}
