//! What processes tell each other, besides what `shallotfork-once` defines.

use std::time::Duration;

use shallotfork_measure::RateLimitReport;
use shallotfork_quarantine::{CrashReport, QuarantineDigest};
use shallotfork_types::{
    Bytes, Endpoint, FailureDomain, Incarnation, ListsDigest, PerSecond, Permille, Revision,
    TargetId, VmId,
};

/// One run of the process on one VM, proved by the handshake.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct PeerId {
    /// The VM.
    pub vm: VmId,
    /// The run of its process.
    pub incarnation: Incarnation,
}

impl PeerId {
    /// Names a process.
    pub fn new(vm: VmId, incarnation: Incarnation) -> Self {
        Self { vm, incarnation }
    }
}

/// Whether a process takes on new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerState {
    /// It has no rule list yet and serves nobody.
    Starting,
    /// It does.
    Live,
    /// A planned stop is under way.
    Leaving,
}

/// What a process says of itself at regular intervals, and at once when it leaves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// Whether it takes on new work.
    pub state: PeerState,
    /// Where the sender stands.
    pub failure_domain: FailureDomain,
    /// Where callers connect to the sender; peers name it in answers before the platform's list,
    /// which lags, has the VM.
    pub callers: Endpoint,
    /// Where peers connect to the sender.
    pub peers: Endpoint,
    /// Raised by the sender each time that it refutes a suspicion against itself.
    pub round: u32,
    /// What the sender knows of third VMs.
    pub updates: Vec<PeerUpdate>,
    /// Highest revision it has heard of.
    pub seen_revision: Revision,
    /// Revision up to which it holds every published value.
    pub synced_revision: Revision,
    /// Fingerprint of the lists in force at the sender; differs when a list or its content does.
    pub lists_digest: ListsDigest,
    /// Whether the sender cannot read the platform, or reads a replica that is behind, so that it
    /// depends on peers for what is published.
    pub is_disconnected: bool,
    /// What it has seen and heard of the platform.
    pub platform: PlatformReport,
    /// Entries of its own failure domain that it takes to be live, itself included; zero when it
    /// does not say.
    pub domain_entries: u32,
    /// Whether its work waits for the processor.
    pub is_overloaded: bool,
    /// Crash records of requests that the sender reports.
    pub crash_reports: Vec<CrashReport>,
    /// Digest of the requests that the sender quarantines.
    pub quarantine_digest: QuarantineDigest,
    /// Recently changed or refreshed rate limits of targets.
    pub rate_limits: Vec<RateLimitReport>,
    /// Whether its sudden end would leave no operation as may-have-run.
    pub restart_safe: bool,
    /// Load of some targets; may be empty.
    pub loads: Vec<LoadHint>,
    /// Requests that the sender's VM could carry; zero when it does not say.
    pub capacity: PerSecond,
}

/// What the sender of a heartbeat has seen and heard of the platform. Ages are passed on in place
/// of points in time, so that no two clocks are compared.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlatformReport {
    /// Time since the platform answered somebody; `None` when nobody is known to have been answered.
    pub last_answer: Option<Duration>,
    /// Time since a reader of the platform was heard, whatever it said; `None` for never.
    pub reader_last_seen: Option<Duration>,
    /// Time for which it has answered nobody; `None` while it answers.
    pub outage: Option<Duration>,
}

/// What the sender of a heartbeat knows of a third VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerUpdate {
    /// The run that it is about.
    pub peer: PeerId,
    /// The highest round known of that run.
    pub round: u32,
    /// What that run said of itself.
    pub state: PeerState,
    /// Whether its heartbeats are missed.
    pub suspected: bool,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// Where callers connect to it.
    pub callers: Endpoint,
    /// Where peers connect to it.
    pub peers: Endpoint,
    /// Requests that its VM could carry; zero when it does not say.
    pub capacity: PerSecond,
}

/// Load that a target reported to the sender.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadHint {
    /// The target.
    pub target: TargetId,
    /// Its load; above 1000 when it is over capacity.
    pub load: Permille,
    /// Time since the report was made, in milliseconds.
    pub age_ms: u32,
}

/// Published values changed after some revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Changes {
    /// Revision up to which the sender's answer is complete.
    pub revision: Revision,
    /// The changed values.
    pub values: Vec<ValueChange>,
    /// Whether these are all values, so that others do not exist any more.
    pub is_snapshot: bool,
    /// Further values, which are handed on together.
    pub bundle: Option<Bundle>,
}

/// Values that are packed together. Hundreds of small ones are much alike.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Bundle {
    /// What [`encode_values`](crate::encode_values) makes of the values, packed.
    pub content: Vec<u8>,
    /// Size of the content once it is unpacked.
    pub unpacked_size: Bytes,
}

/// A question for published values.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChangesRequest {
    /// Up to which revision all is known.
    pub after: Revision,
    /// Whether contents may come packed.
    pub accepts_packed: bool,
}

/// One published value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ValueChange {
    /// Name on the platform.
    pub name: String,
    /// Revision of its last change.
    pub revision: Revision,
    /// The whole content, packed if `unpacked_size` is set; empty when it was removed.
    pub content: Vec<u8>,
    /// Size of the content once it is unpacked; `None` if it is not packed.
    pub unpacked_size: Option<Bytes>,
    /// Whether it is no longer published.
    pub removed: bool,
}
