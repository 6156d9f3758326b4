//! Snapshots of control state, which traffic threads read without calling the control thread.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};

use shallotfork_membership::EntryVm;
use shallotfork_platform::TargetInfo;
use shallotfork_rules::{LoadHysteresis, RuleList, ServiceIndex, ServiceRuleList};
use shallotfork_types::{ServiceName, TargetId};

use crate::traffic::ServicePool;

/// Rules of one service, with the lists that they are derived from.
pub struct ServiceRules {
    /// Index of the general list.
    pub index: Arc<ServiceIndex>,
    /// List for this service only.
    pub service_list: Option<Arc<ServiceRuleList>>,
    /// Rules of both lists, without those of other services.
    pub list: RuleList,
    /// Load conditions that currently hold; reset with each new list.
    pub load_hysteresis: Mutex<LoadHysteresis>,
}

impl ServiceRules {
    /// Combines the rules of a service; no load condition holds initially.
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

/// Published targets of one service.
pub struct ServiceTargets {
    /// List as published.
    pub published: Arc<Vec<TargetInfo>>,
    /// Same targets by name.
    pub by_id: BTreeMap<TargetId, TargetInfo>,
}

/// State of one service for traffic threads.
pub struct Service {
    /// Pool that selects targets; the same instance in all snapshots.
    pub pool: Arc<ServicePool>,
    /// Published targets.
    pub targets: Arc<ServiceTargets>,
    /// Targets that this entry sends most of its requests to.
    pub home_targets: BTreeSet<TargetId>,
    /// Entries that serve the service.
    pub serving_entries: Arc<Vec<EntryVm>>,
    /// Rules of the service; `None` until a general list is in force.
    pub rules: Option<Arc<ServiceRules>>,
}

/// State published by the control thread; immutable and replaced as a whole.
#[derive(Default)]
pub struct Snapshot {
    /// Whether a rule list is in force.
    pub ready: bool,
    /// Services with published targets.
    pub services: BTreeMap<ServiceName, Arc<Service>>,
    /// All entry VMs with their states.
    pub entries: Vec<EntryVm>,
}
