//! Demand of callers at this entry and at the other advertised ones.

use shallotfork_measure::{ServiceDemand, SharerDemand};
use shallotfork_types::{Mono, ServiceKey};

use super::FleetMember;

impl FleetMember {
    /// Records the demand of callers at this entry, which it reports to the other advertised entries
    /// while it is advertised.
    pub fn set_own_demand(&mut self, demands: Vec<ServiceDemand>, now: Mono) {
        self.demands.set_own_demand(demands, now);
    }

    /// Returns the demand of each advertised entry for a service, in the order of the view.
    pub fn demands(&mut self, service: ServiceKey, now: Mono) -> Vec<SharerDemand> {
        let view = self.view(now);
        let advertised = view.advertised.iter();
        advertised.map(|entry| self.demands.demand(&entry.vm, service, now)).collect()
    }
}
