//! JSON responses of the operators' port to `GET /v1/status` and `GET /v1/audit`.

use serde::{Deserialize, Serialize};

use crate::{
    Endpoint, FailureDomain, Incarnation, ListName, Revision, ServiceName, TargetId, VmId,
};

/// Status of one entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReport {
    /// VM of the entry.
    pub vm: VmId,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Life cycle state of the process.
    pub state: LifeCycleState,
    /// Highest revision of the platform that this entry has observed.
    pub synced_revision: Revision,
    /// Lists in force, ordered by name.
    pub lists: Vec<ListStatus>,
    /// State of the targets of all services.
    pub targets: Vec<TargetStatus>,
    /// State of sessions and the ledger.
    pub sessions: SessionStatus,
    /// Use of the budgets for additional work.
    pub budgets: BudgetStatus,
    /// Entries known to this entry.
    pub entries: Vec<EntryStatus>,
}

/// Life cycle state of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LifeCycleState {
    /// Not ready: no rule list is in force yet.
    Starting,
    /// Serving callers.
    Serving,
    /// Finishing the requests in flight.
    Leaving,
    /// All work is finished.
    Stopped,
}

/// Status of one list in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListStatus {
    /// Name of the list.
    pub name: ListName,
    /// Revision in force; 0 if there is none.
    pub revision: Revision,
    /// SHA-256 of the content in force, as hexadecimal text.
    pub digest: String,
    /// Time for which the revision has been in force, in milliseconds.
    pub in_force_ms: u64,
    /// Highest revision that was rejected as invalid, if it is higher than the one in force.
    pub refused_revision: Option<Revision>,
}

/// State of one target in the view of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// Identifier of the target.
    pub id: TargetId,
    /// Service of the target.
    pub service: ServiceName,
    /// State, such as `serving`, `draining` or `ejected`.
    pub state: String,
    /// Number of requests that this entry has in flight at the target.
    pub in_flight: u32,
}

/// Status of the sessions and the ledger of one entry.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionStatus {
    /// Number of sessions issued since the start of the process.
    pub issued: u64,
    /// Number of operations in the ledger.
    pub operations: u64,
    /// Size of the answers kept for repeats, in bytes.
    pub kept_bytes: u64,
    /// Number of sealed ledgers held for entries that have left.
    pub sealed_ledgers: u64,
}

/// Use of the budgets for additional work since the start of the process.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetStatus {
    /// Number of first attempts.
    pub attempts: u64,
    /// Number of retries sent.
    pub retries: u64,
    /// Number of hedges sent.
    pub hedges: u64,
    /// Number of probes sent.
    pub probes: u64,
    /// Number of calls to the platform.
    pub platform_calls: u64,
}

/// State of one entry in the view of another entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryStatus {
    /// VM of the entry.
    pub vm: VmId,
    /// Failure domain of the entry.
    pub failure_domain: FailureDomain,
    /// Address for callers.
    pub callers: Endpoint,
    /// State, such as `live`, `suspected` or `leaving`.
    pub state: String,
}

/// Audit trail of one entry: the list changes that it processed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditReport {
    /// VM of the entry.
    pub vm: VmId,
    /// Changes, oldest first; the oldest changes are dropped when the trail is full.
    pub changes: Vec<AuditChange>,
}

/// One accepted or rejected change of a list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditChange {
    /// Wall-clock time in RFC 3339 format; only for display, never compared by the system.
    pub at: String,
    /// Name of the list.
    pub list: ListName,
    /// Revision in force before the change; `None` if there was none.
    pub from_revision: Option<Revision>,
    /// Offered revision.
    pub to_revision: Revision,
    /// SHA-256 of the offered content, as hexadecimal text.
    pub digest: String,
    /// Result of processing the change.
    pub outcome: AuditOutcome,
    /// Source of the change: `platform` or `peer VM`.
    pub source: String,
}

/// Result of processing an offered list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AuditOutcome {
    /// The offered list is in force.
    Accepted,
    /// Rejected: the list is invalid.
    Invalid,
    /// Rejected: a higher revision is in force.
    Lower,
    /// Two contents have the same revision; the offered one is in force.
    ConflictAccepted,
    /// Two contents have the same revision; the other one stays in force.
    ConflictRefused,
}

impl AuditOutcome {
    /// Returns the text used in reports and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Invalid => "invalid",
            Self::Lower => "lower",
            Self::ConflictAccepted => "conflict-accepted",
            Self::ConflictRefused => "conflict-refused",
        }
    }
}
