//! Messages on the control port of the platform stand-in.

use serde::{Deserialize, Serialize};
use shallotfork_types::Revision;

use super::replica::ReplicaMode;

/// Request of a test to change the platform stand-in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "control", rename_all = "kebab-case")]
pub enum PlatformControl {
    /// Sets a fault of one replica or of all replicas.
    Fault(ReplicaFault),
    /// Discards the newest revisions on all replicas.
    RollBack(Rollback),
    /// Delays all future publications of a value.
    Delay(PublishDelay),
    /// Resets the counts of calls to zero.
    ResetCounts,
}

/// A fault of one replica or of all replicas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaFault {
    /// Index of the replica, from 0; all replicas if absent.
    #[serde(default)]
    pub replica: Option<usize>,
    /// Fault to set.
    pub fault: Fault,
}

/// Fault of a replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "kebab-case")]
pub enum Fault {
    /// Sets how the replica answers.
    Mode(ReplicaMode),
    /// Makes the replica serve other content than was published, under the same revision.
    Conflict {
        /// Name of the value.
        name: String,
        /// Content that the replica serves instead.
        content: String,
    },
    /// Makes the replica serve the published content again.
    NoConflicts,
}

/// Rollback of the store to an earlier revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollback {
    /// Last revision to keep.
    pub revision: Revision,
}

/// Delay before a published value becomes visible, as with a lagging VM list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishDelay {
    /// Name of the value.
    pub name: String,
    /// Time from publication until readers see the value, in milliseconds.
    pub delay_ms: u64,
}
