//! Messages on the control port of the platform stand-in.

use serde::{Deserialize, Serialize};
use shallotfork_types::Revision;

use super::replica::ReplicaMode;

/// What a test changes on the platform stand-in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "control", rename_all = "kebab-case")]
pub enum PlatformControl {
    /// Sets a fault of one replica or of all.
    Fault(ReplicaFault),
    /// Forgets the newest revisions everywhere.
    RollBack(Rollback),
    /// Delays what is published under a name from now on.
    Delay(PublishDelay),
    /// Sets the counts of calls to zero.
    ResetCounts,
}

/// A fault of one replica, or of all when none is named.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaFault {
    /// The replica's place, from 0; all when absent.
    #[serde(default)]
    pub replica: Option<usize>,
    /// What goes wrong.
    pub fault: Fault,
}

/// What goes wrong at a replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "kebab-case")]
pub enum Fault {
    /// How it answers.
    Mode(ReplicaMode),
    /// It serves other content than was published, under the same revision.
    Conflict {
        /// The value's name.
        name: String,
        /// What this replica serves.
        content: String,
    },
    /// It serves what was published again.
    NoConflicts,
}

/// Where the store goes back to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollback {
    /// The last revision kept.
    pub revision: Revision,
}

/// How long a published value stays unseen, as a lagging VM list does.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishDelay {
    /// The value's name.
    pub name: String,
    /// Time from publishing until readers see it.
    pub delay_ms: u64,
}
