//! Demand of callers at this entry and at the other advertised ones.

use shallotfork_measure::{ServiceDemand, SharerDemand};
use shallotfork_types::{Mono, RequestRate, ServiceKey};

use super::FleetMember;

impl FleetMember {
    /// Records the demand of callers at this entry, which it reports while it is advertised: by
    /// service to the other advertised entries, and its sum to all.
    pub fn set_own_demand(&mut self, demands: Vec<ServiceDemand>, now: Mono) {
        let total = demands.iter().map(|demand| demand.rate.milli_per_s()).sum();
        let is_advertised =
            self.view(now).advertised.iter().any(|entry| entry.vm == self.own.listed.vm);
        let report = self.own_load.update(RequestRate::from_milli_per_s(total), is_advertised, now);
        if let Some(load) = report {
            self.membership.set_own_load(load);
        }
        self.demands.set_own_demand(demands, now);
    }

    /// Returns the demand of each advertised entry for a service, in the order of the view.
    pub fn demands(&mut self, service: ServiceKey, now: Mono) -> Vec<SharerDemand> {
        let view = self.view(now);
        let advertised = view.advertised.iter();
        advertised.map(|entry| self.demands.demand(&entry.vm, service, now)).collect()
    }
}
