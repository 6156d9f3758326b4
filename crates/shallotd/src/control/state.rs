//! The state that only the control thread touches.

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

/// Control state. A borrow never lives across an await, so tasks of the thread can't collide.
pub struct State {
    /// Shared with the traffic threads.
    pub context: Arc<Context>,
    /// Where lists are published.
    pub platform: Box<dyn Platform>,
    /// Whether the platform cannot be read, or only a replica that is behind.
    pub platform_lost: Cell<bool>,
    /// Entries that say the same of themselves.
    pub blind: RefCell<BTreeSet<VmId>>,
    /// Wakes what announces a list that has taken effect.
    pub lists_changed: Notify,
    /// When the lists of peers are read.
    pub pulls: RefCell<PullGate>,
    /// Published lists in force.
    pub lists: RefCell<Lists>,
    /// Which entries are alive.
    pub view: RefCell<MembershipView>,
    /// Sessions issued here, and sealed ledgers of others.
    pub ledger: RefCell<Ledger>,
    /// Connections to other entries.
    pub peers: Peers,
    /// Bounds the ends of operations that are reported in the background.
    pub late_reports: Arc<Semaphore>,
    /// Bounds the look-ups at peers of ledgers whose issuer is gone.
    pub lookups: Semaphore,
    /// The trail of changes.
    pub audit: RefCell<AuditTrail>,
    /// Pools of the services with published targets.
    pub pools: RefCell<BTreeMap<ServiceName, Arc<ServicePool>>>,
    /// When this process may probe which target.
    pub probes: RefCell<ProbeScheduler>,
    /// The snapshot whose targets the plan knows.
    pub probed: RefCell<Arc<Snapshot>>,
    /// Probes sent so far.
    pub probes_sent: Cell<u64>,
    /// Whether a planned stop has begun.
    pub leaving: Cell<bool>,
    /// Whether a rule list is in force.
    pub ready: watch::Sender<bool>,
}
