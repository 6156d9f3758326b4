//! What traffic threads read without asking the control thread.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use shallotfork_membership::EntryVm;
use shallotfork_platform::TargetInfo;
use shallotfork_rules::{Latches, RuleList};
use shallotfork_types::{ServiceName, TargetId};

use crate::traffic::ServicePool;

/// One service as traffic sees it.
pub struct Service {
    /// Chooses targets; the same one from snapshot to snapshot.
    pub pool: Arc<ServicePool>,
    /// The published targets.
    pub targets: BTreeMap<TargetId, TargetInfo>,
    /// Which load conditions of the rule list hold; new with every rule list.
    pub latches: Arc<Mutex<Latches>>,
}

/// Everything that control has published; never changed, only replaced.
#[derive(Default)]
pub struct Snapshot {
    /// The rule list in force; `None` until one was accepted.
    pub rules: Option<Arc<RuleList>>,
    /// Services with published targets.
    pub services: BTreeMap<ServiceName, Arc<Service>>,
    /// Every entry VM with the belief about it.
    pub entries: Vec<EntryVm>,
}
