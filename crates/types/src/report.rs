//! What the operators' port answers: JSON for `GET /v1/status` and `GET /v1/audit`.

use serde::{Deserialize, Serialize};

use crate::{
    Endpoint, FailureDomain, Incarnation, ListName, Revision, ServiceName, TargetId, VmId,
};

/// The state of one entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReport {
    /// The entry's VM.
    pub vm: VmId,
    /// The run of the process.
    pub incarnation: Incarnation,
    /// Where the process is in its life cycle.
    pub state: LifeCycleState,
    /// Highest revision that the platform was seen at.
    pub synced_revision: Revision,
    /// Lists in force, ordered by name.
    pub lists: Vec<ListStatus>,
    /// Targets of all services.
    pub targets: Vec<TargetStatus>,
    /// Sessions and ledger.
    pub sessions: SessionStatus,
    /// Budgets for extra work.
    pub budgets: BudgetStatus,
    /// Entries that this entry knows of.
    pub entries: Vec<EntryStatus>,
}

/// Where a process is in its life cycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LifeCycleState {
    /// Not ready: no rule list is in force yet.
    Starting,
    /// Serving callers.
    Serving,
    /// Finishing what is in flight.
    Leaving,
    /// Done.
    Stopped,
}

/// One list in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListStatus {
    /// The list.
    pub name: ListName,
    /// Revision in force; 0 when none is.
    pub revision: Revision,
    /// SHA-256 of the content in force, as hexadecimal text.
    pub digest: String,
    /// How long it has been in force.
    pub in_force_ms: u64,
    /// Highest revision that was refused because it is not valid, if above the one in force.
    pub refused_revision: Option<Revision>,
}

/// One target as an entry sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// The target.
    pub id: TargetId,
    /// Its service.
    pub service: ServiceName,
    /// Such as `serving`, `draining` or `ejected`.
    pub state: String,
    /// Requests of this entry at the target.
    pub in_flight: u32,
}

/// Sessions and ledger of one entry.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionStatus {
    /// Sessions issued since the start.
    pub issued: u64,
    /// Operations in the ledger.
    pub operations: u64,
    /// Bytes of answers kept for repeats.
    pub kept_bytes: u64,
    /// Sealed ledgers held for entries that left.
    pub sealed_ledgers: u64,
}

/// Use of the budgets for extra work since the start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetStatus {
    /// First attempts.
    pub attempts: u64,
    /// Retries sent.
    pub retries: u64,
    /// Hedges sent.
    pub hedges: u64,
    /// Probes sent.
    pub probes: u64,
    /// Calls to the platform.
    pub platform_calls: u64,
}

/// One entry as another entry sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryStatus {
    /// The entry's VM.
    pub vm: VmId,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Where callers reach it.
    pub callers: Endpoint,
    /// Such as `live`, `suspected` or `leaving`.
    pub state: String,
}

/// The trail of changes that one entry saw take effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditReport {
    /// The entry's VM.
    pub vm: VmId,
    /// Changes, oldest first; the oldest ones are dropped when the trail is full.
    pub changes: Vec<AuditChange>,
}

/// One change of a list, or a refusal of one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditChange {
    /// Wall-clock time in RFC 3339; for people, never compared by the system.
    pub at: String,
    /// The list.
    pub list: ListName,
    /// Revision in force before; `None` when none was.
    pub from_revision: Option<Revision>,
    /// Revision that was offered.
    pub to_revision: Revision,
    /// SHA-256 of the offered content, as hexadecimal text.
    pub digest: String,
    /// What became of it.
    pub outcome: AuditOutcome,
    /// Where it came from: `platform` or `peer VM`.
    pub source: String,
}

/// What became of an offered list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AuditOutcome {
    /// It is in force.
    Accepted,
    /// Refused: it is not valid.
    Invalid,
    /// Refused: a higher revision is in force.
    Lower,
    /// Another content has the same revision; this one is in force.
    ConflictAccepted,
    /// Another content has the same revision and stays in force.
    ConflictRefused,
}

impl AuditOutcome {
    /// The text used in reports and metrics.
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
