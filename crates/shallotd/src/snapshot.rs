//! What traffic threads read without asking the control thread.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};

use shallotfork_membership::EntryVm;
use shallotfork_platform::TargetInfo;
use shallotfork_rules::{LoadHysteresis, RuleList, ServiceIndex, ServiceRuleList};
use shallotfork_types::{ServiceName, TargetId};

use crate::traffic::ServicePool;

/// The rules of one service, with the lists that they were made from.
pub struct ServiceRules {
    /// The general list.
    pub index: Arc<ServiceIndex>,
    /// The service's own list.
    pub service_list: Option<Arc<ServiceRuleList>>,
    /// Both joined, without rules of other services.
    pub list: RuleList,
    /// Which load conditions hold; new with every list.
    pub load_hysteresis: Mutex<LoadHysteresis>,
}

impl ServiceRules {
    /// Joins the rules of a service, with no load condition holding.
    pub fn new(
        service: &ServiceName,
        index: Arc<ServiceIndex>,
        service_list: Option<Arc<ServiceRuleList>>,
    ) -> Self {
        let list = index.rules_for(service, service_list.as_deref());
        let load_hysteresis = Mutex::new(LoadHysteresis::new(&list));
        Self { index, service_list, list, load_hysteresis }
    }
}

/// The published targets of one service.
pub struct ServiceTargets {
    /// The list as published.
    pub published: Arc<Vec<TargetInfo>>,
    /// The same by name.
    pub by_id: BTreeMap<TargetId, TargetInfo>,
}

/// One service as traffic sees it.
pub struct Service {
    /// Chooses targets; the same one from snapshot to snapshot.
    pub pool: Arc<ServicePool>,
    /// The published targets.
    pub targets: Arc<ServiceTargets>,
    /// Targets that this entry sends most of its work to.
    pub home_targets: BTreeSet<TargetId>,
    /// Entries that serve the service.
    pub serving_entries: Arc<Vec<EntryVm>>,
    /// Its rules; `None` until a general list is in force.
    pub rules: Option<Arc<ServiceRules>>,
}

/// Everything that control has published; never changed, only replaced.
#[derive(Default)]
pub struct Snapshot {
    /// Whether a rule list is in force.
    pub ready: bool,
    /// Services with published targets.
    pub services: BTreeMap<ServiceName, Arc<Service>>,
    /// Every entry VM with the belief about it.
    pub entries: Vec<EntryVm>,
}
