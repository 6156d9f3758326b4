//! An entry VM as listed, as announced and as believed to be.

use std::fmt;

use shallotfork_types::{Endpoint, FailureDomain, Incarnation, PerSecond, VmId};

/// One VM of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedVm {
    /// Name of the VM.
    pub vm: VmId,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// Where callers connect.
    pub callers: Endpoint,
    /// Where other entries connect.
    pub peers: Endpoint,
    /// Whether it is said to be leaving.
    pub leaving: bool,
    /// Requests that it could carry, by its own word; zero when it does not say.
    pub capacity: PerSecond,
}

/// What a VM says of itself in a heartbeat, after it proved the peer key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// Identity and addresses, as in the platform's list.
    pub listed: ListedVm,
    /// The run of the process that speaks.
    pub incarnation: Incarnation,
    /// Raised by the speaker each time that it refutes a suspicion.
    pub round: u32,
}

/// What one VM tells another about a third.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberUpdate {
    /// What the third VM announced last, as far as the teller knows.
    pub about: Announcement,
    /// Whether the teller, or somebody who told it, has missed its heartbeats.
    pub suspected: bool,
}

/// What this process believes of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryState {
    /// Not known to be gone.
    Live,
    /// Silent for too long, by own or by others' evidence.
    Suspected,
    /// Said by itself or by the platform to be leaving.
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

/// One VM with the belief about it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryVm {
    /// Name of the VM.
    pub vm: VmId,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// Where callers connect.
    pub callers: Endpoint,
    /// Where other entries connect.
    pub peers: Endpoint,
    /// The run that was heard of last; `None` when it never was.
    pub incarnation: Option<Incarnation>,
    /// The belief.
    pub state: EntryState,
    /// Requests that it could carry, by its own word; zero when it does not say.
    pub capacity: PerSecond,
}
