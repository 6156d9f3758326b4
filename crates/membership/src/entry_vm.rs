//! Entry VMs: as listed by the platform, as announced by themselves, and as seen by this process.

use std::fmt;

use shallotfork_types::{Endpoint, FailureDomain, Incarnation, LoadLevel, PerSecond, VmId};

/// A VM of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedVm {
    /// Name of the VM.
    pub vm: VmId,
    /// Failure domain of the VM.
    pub failure_domain: FailureDomain,
    /// Endpoint for callers.
    pub callers: Endpoint,
    /// Endpoint for other entries.
    pub peers: Endpoint,
    /// Whether the VM is reported to be leaving.
    pub leaving: bool,
    /// Number of requests per second that the VM reports it can carry; zero if it reports none.
    pub capacity: PerSecond,
}

/// What a VM states about itself in a heartbeat, after it has proved that it has the peer key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// Identity and addresses, as in the platform's list.
    pub listed: ListedVm,
    /// Incarnation of the announcing process.
    pub incarnation: Incarnation,
    /// Counter that the announcing process raises each time it refutes a suspicion or what it states
    /// below changes.
    pub round: u32,
    /// Whether the announcing process reaches no target.
    pub isolated: bool,
    /// Load of the announcing process; `None` if it has observed none yet, or is of a release that
    /// reports none.
    pub load: Option<LoadLevel>,
}

/// A membership update: what one VM reports to another about a third one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberUpdate {
    /// Last announcement of the third VM that the reporting VM knows.
    pub about: Announcement,
    /// Whether the reporting VM, or one that it received the update from, suspects the third VM.
    pub suspected: bool,
}

/// State of a VM in the view of this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryState {
    /// Not known to have stopped.
    Live,
    /// Silent for too long, as observed by this process or reported by others.
    Suspected,
    /// Reported to be leaving by the VM itself or by the platform.
    Leaving,
}

impl fmt::Display for EntryState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Live => "live",
            Self::Suspected => "suspected",
            Self::Leaving => "leaving",
        })
    }
}

/// A VM in the view of this process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryVm {
    /// Name of the VM.
    pub vm: VmId,
    /// Failure domain of the VM.
    pub failure_domain: FailureDomain,
    /// Endpoint for callers.
    pub callers: Endpoint,
    /// Endpoint for other entries.
    pub peers: Endpoint,
    /// Last known incarnation; `None` if none is known.
    pub incarnation: Option<Incarnation>,
    /// State of the VM.
    pub state: EntryState,
    /// Whether the VM reports that it reaches no target.
    pub isolated: bool,
    /// Load that the VM reports; `None` if it reports none.
    pub load: Option<LoadLevel>,
    /// Number of requests per second that the VM reports it can carry; zero if it reports none.
    pub capacity: PerSecond,
}
