//! State used only by the control thread.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use shallotfork_measure::ProbeScheduler;
use shallotfork_membership::MembershipView;
use shallotfork_platform::Platform;
use shallotfork_revisions::PullGate;
use shallotfork_types::{ServiceName, VmId};
use tokio::sync::{Notify, Semaphore, watch};

use crate::context::Context;
use crate::control::audit::AuditTrail;
use crate::control::ledger::Ledger;
use crate::control::lists::Lists;
use crate::control::peers::Peers;
use crate::snapshot::Snapshot;
use crate::traffic::ServicePool;

/// State of the control thread. No borrow is held across an await, so the thread's tasks cannot
/// conflict.
pub struct State {
    /// Context shared with the traffic threads.
    pub context: Arc<Context>,
    /// The platform that publishes the lists.
    pub platform: Box<dyn Platform>,
    /// Whether the platform cannot be read, or only through a replica whose revision lags
    /// behind the highest one.
    pub is_disconnected: Cell<bool>,
    /// Entries that report to be disconnected from the platform.
    pub disconnected_entries: RefCell<BTreeSet<VmId>>,
    /// Notified when a list has come into force.
    pub lists_changed: Notify,
    /// Limits pulls of lists from peers.
    pub pull_gate: RefCell<PullGate>,
    /// Published lists in force.
    pub lists: RefCell<Lists>,
    /// This process's view of the other entries.
    pub view: RefCell<MembershipView>,
    /// Sessions issued by this process and sealed ledgers of others.
    pub ledger: RefCell<Ledger>,
    /// Connections to other entries.
    pub peers: Peers,
    /// Limits completions that are reported in the background.
    pub report_permits: Arc<Semaphore>,
    /// Limits lookups at peers of operations whose issuer has ended.
    pub lookup_permits: Semaphore,
    /// The audit trail.
    pub audit: RefCell<AuditTrail>,
    /// Pools of the services with published targets.
    pub pools: RefCell<BTreeMap<ServiceName, Arc<ServicePool>>>,
    /// Decides when this process may probe which target.
    pub probe_scheduler: RefCell<ProbeScheduler>,
    /// The snapshot from which the probe scheduler last received its targets.
    pub probed_snapshot: RefCell<Arc<Snapshot>>,
    /// Number of probes sent so far.
    pub probes_sent: Cell<u64>,
    /// Whether a planned stop has begun.
    pub is_leaving: Cell<bool>,
    /// Whether a rule list is in force.
    pub ready: watch::Sender<bool>,
}
