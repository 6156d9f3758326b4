//! Load of callers at this entry and in the fleet.

use shallotfork_types::{LoadLevel, Mono, RequestRate, VmId};

use super::FleetMember;
use crate::fleet_load::FleetLoad;

impl FleetMember {
    /// Records the rate of all requests of callers at this entry, which it reports to all entries while
    /// it is advertised.
    pub fn set_own_load(&mut self, rate: RequestRate, now: Mono) {
        let is_advertised =
            self.view(now).advertised.iter().any(|entry| entry.vm == self.own.listed.vm);
        if let Some(load) = self.own_load.update(rate, is_advertised, now) {
            self.membership.set_own_load(load);
        }
    }

    /// Records the present load of the fleet and returns the highest one of the last seconds.
    pub(super) fn update_load(&mut self, now: Mono) -> FleetLoad {
        let assumed = FleetLoad::assumed(self.own_state.target_count);
        let load = self.present_load(now).unwrap_or(assumed);
        self.recent_load.record(load, now);
        self.recent_load.highest(assumed, now)
    }

    /// Returns the load as reported by the entries; `None` if it can't be known because an advertised
    /// entry is of a release that reports none.
    pub(super) fn present_load(&self, now: Mono) -> Option<FleetLoad> {
        let is_missing = |vm: &VmId, load: Option<LoadLevel>| {
            load.is_none() && self.advertised_since.is_report_expected(vm, now)
        };
        if self.membership.live_loads().any(|(vm, load)| is_missing(vm, load)) {
            return None;
        }
        let reports = self.membership.live_loads().filter_map(|(_, load)| load);
        Some(FleetLoad::observed(reports, self.own_state.target_count))
    }
}
