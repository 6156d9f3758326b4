//! Messages between processes, besides those that `shallotfork-once` defines.

use std::time::Duration;

use shallotfork_measure::{DemandReport, RateLimitReport};
use shallotfork_quarantine::{CrashReport, QuarantineDigest};
use shallotfork_statements::{ExclusionReport, LeavingReport};
use shallotfork_types::{
    Bytes, Endpoint, Epoch, FailureDomain, Incarnation, ListsDigest, PerSecond, Permille, Position,
    Revision, TargetId, VmId,
};

/// Identity of a peer: one run of the process on one VM, authenticated by the handshake.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct PeerId {
    /// VM that the process runs on.
    pub vm: VmId,
    /// Run of the process.
    pub incarnation: Incarnation,
}

impl PeerId {
    /// Creates the identity of one run of the process on `vm`.
    pub fn new(vm: VmId, incarnation: Incarnation) -> Self {
        Self { vm, incarnation }
    }
}

/// Whether a process accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerState {
    /// Has no rule list yet and serves no callers.
    Starting,
    /// Accepts new work.
    Live,
    /// Is shutting down as planned.
    Leaving,
}

/// Load level of a process that reports no load.
pub const NO_LOAD: u8 = 0;

/// Periodic message in which a process reports its own state; also sent immediately when it leaves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// Whether the sender accepts new work.
    pub state: PeerState,
    /// Failure domain of the sender.
    pub failure_domain: FailureDomain,
    /// Endpoint for callers of the sender. Peers advertise it to callers before the VM appears in
    /// the platform's VM list, which lags.
    pub callers: Endpoint,
    /// Endpoint for peers of the sender.
    pub peers: Endpoint,
    /// Counter that the sender increments each time it refutes a suspicion against itself, or its
    /// isolation or load changes.
    pub round: u32,
    /// Whether the sender reaches no target.
    pub isolated: bool,
    /// Number of the sender's load level, or [`NO_LOAD`].
    pub load_level: u8,
    /// Membership updates about other VMs.
    pub updates: Vec<PeerUpdate>,
    /// Highest revision known to the sender.
    pub seen_revision: Revision,
    /// Revision up to which the sender holds every published value.
    pub synced_revision: Revision,
    /// Epoch of that revision; `None` if the sender does not know of epochs.
    pub synced_epoch: Option<Epoch>,
    /// Digest of the values of earlier epochs that the sender retains; zero if there are none.
    pub retained_digest: ListsDigest,
    /// Fingerprint of the lists in force at the sender; changes with any list or its content.
    pub lists_digest: ListsDigest,
    /// Digest of the loads of entries that the sender knows; `None` if it knows of no loads.
    pub loads_digest: Option<ListsDigest>,
    /// Whether the sender cannot read the platform, or reads a replica that lags, and so depends
    /// on peers for published values.
    pub is_disconnected: bool,
    /// Availability of the platform as known to the sender.
    pub platform: PlatformReport,
    /// Number of entries in the sender's failure domain that it considers live, including itself;
    /// zero if not reported.
    pub domain_entries: u32,
    /// Whether runnable work of the sender waits for the processor.
    pub is_overloaded: bool,
    /// Reports of requests that crashed targets.
    pub crash_reports: Vec<CrashReport>,
    /// Digest of the requests that the sender quarantines.
    pub quarantine_digest: QuarantineDigest,
    /// Recently changed or refreshed rate limits of targets.
    pub rate_limits: Vec<RateLimitReport>,
    /// Targets that have recently said that they are leaving.
    pub leaving_targets: Vec<LeavingReport>,
    /// Targets that have recently been left out because their answers do not end.
    pub exclusions: Vec<ExclusionReport>,
    /// Whether a sudden end of the sender would leave no operation as may-have-run.
    pub restart_safe: bool,
    /// Load of some targets; may be empty.
    pub loads: Vec<LoadHint>,
    /// Requests per second that the sender's VM can carry; zero if not reported.
    pub capacity: PerSecond,
    /// Demand of advertised entries; empty if the sender or the recipient is not advertised.
    pub demands: Vec<DemandReport>,
}

/// Availability of the platform as known to the sender of a heartbeat. Holds ages instead of
/// timestamps, so that the clocks of two VMs are never compared.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlatformReport {
    /// Time since the platform last answered any entry; `None` if no answer is known.
    pub last_answer: Option<Duration>,
    /// Time since the last message from a reader of the platform, whatever its content; `None` if
    /// there was none.
    pub reader_last_seen: Option<Duration>,
    /// Time for which the platform has answered no entry; `None` while it answers.
    pub outage: Option<Duration>,
}

/// Membership update: what the sender of a heartbeat reports about another VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerUpdate {
    /// Process that the update describes.
    pub peer: PeerId,
    /// Highest known round of that process.
    pub round: u32,
    /// Whether the process reported in that round that it reaches no target.
    pub isolated: bool,
    /// Number of the load level that the process reported in that round, or [`NO_LOAD`].
    pub load_level: u8,
    /// State that the process reported about itself.
    pub state: PeerState,
    /// Whether the process is suspected because its heartbeats are missing.
    pub suspected: bool,
    /// Failure domain of the process.
    pub failure_domain: FailureDomain,
    /// Endpoint for callers of the process.
    pub callers: Endpoint,
    /// Endpoint for peers of the process.
    pub peers: Endpoint,
    /// Requests per second that its VM can carry; zero if not reported.
    pub capacity: PerSecond,
}

/// Load that a target reported to the sender of a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadHint {
    /// Target that reported the load.
    pub target: TargetId,
    /// Load of the target; above 1000 if it is over capacity.
    pub load: Permille,
    /// Age of the report in milliseconds.
    pub age_ms: u32,
}

/// Published values that changed after a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Changes {
    /// Revision up to which the changes are complete.
    pub revision: Revision,
    /// Epoch of that revision; `None` if the sender does not know of epochs.
    pub epoch: Option<Epoch>,
    /// Changed values.
    pub values: Vec<ValueChange>,
    /// Whether these are all published values, so that any other value no longer exists.
    pub is_snapshot: bool,
    /// Whether values that came and went after the requested revision may be missing.
    pub has_gap: bool,
    /// Further values, packed together.
    pub bundle: Option<Bundle>,
    /// Values of earlier epochs that hold in place of those published since, if they were requested.
    pub retained: Vec<ValueChange>,
    /// Remaining time for which they hold, unless their contents state that they are later; `None` if it
    /// is not known.
    pub settles_in: Option<Duration>,
    /// Lowest revision that the sender knows of the platform in this epoch; `None` if it states none.
    pub seen_from: Option<Revision>,
}

/// Values that are packed together: hundreds of small values are similar, so they compress better
/// as one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Bundle {
    /// Packed output of [`encode_values`](crate::encode_values).
    pub content: Vec<u8>,
    /// Size of the unpacked content.
    pub unpacked_size: Bytes,
}

/// Request for the published values that changed after a revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChangesRequest {
    /// Revision up to which the requester holds every published value.
    pub after: Revision,
    /// Epoch of that revision; `None` if the requester does not know of epochs.
    pub epoch: Option<Epoch>,
    /// Whether the response may contain packed values.
    pub accepts_packed: bool,
    /// Whether the response is to contain the values of earlier epochs that the peer retains.
    pub wants_retained: bool,
    /// Whether values that came and went after `after` may be missing in the response.
    pub accepts_gap: bool,
}

impl ChangesRequest {
    /// Creates a request for the values that changed after a position.
    pub fn new(after: Position) -> Self {
        Self {
            after: after.revision(),
            epoch: Some(after.epoch()),
            accepts_packed: true,
            wants_retained: false,
            accepts_gap: false,
        }
    }

    /// Returns the request with the given wish for retained values.
    #[must_use]
    pub fn with_retained(self, wants_retained: bool) -> Self {
        Self { wants_retained, ..self }
    }

    /// Returns the request with whether the response may have a gap.
    #[must_use]
    pub fn with_gap(self, accepts_gap: bool) -> Self {
        Self { accepts_gap, ..self }
    }
}

/// One published value, or its removal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ValueChange {
    /// Name of the value on the platform.
    pub name: String,
    /// Position of the last change of the value.
    pub position: Position,
    /// Entire content, packed if `unpacked_size` is set; empty if the value was removed.
    pub content: Vec<u8>,
    /// Size of the unpacked content; `None` if the content is not packed.
    pub unpacked_size: Option<Bytes>,
    /// Whether the value is no longer published.
    pub removed: bool,
}
