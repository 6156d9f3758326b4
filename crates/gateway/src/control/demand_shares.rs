//! Demand of callers at this entry, and its share of each service's slots by the demand of all.

use shallotfork_balance::{SlotShares, divide_slots};
use shallotfork_measure::ServiceDemand;
use shallotfork_types::{Permille, RequestRate, ServiceKey};

use crate::control::state::ControlState;

/// Share of fleet-wide limits that an entry uses with the others that it sees if no other partition
/// of the fleet sees most of it.
const WHOLE: Permille = Permille::new(1000);

/// Passes the demand at this entry on to the other entries, and sets its shares by theirs.
pub fn update_demand(state: &ControlState) {
    let services = state.context.services.all();
    let demands = services.iter().map(|(service, slots)| ServiceDemand {
        service: ServiceKey::from(service),
        rate: slots.demand(),
    });
    let demands: Vec<ServiceDemand> = demands.collect();
    let total = demands.iter().map(|demand| demand.rate.milli_per_s()).sum();
    let mut fleet = state.fleet.borrow_mut();
    fleet.set_own_load(RequestRate::from_milli_per_s(total), state.now());
    fleet.set_own_demand(demands, state.now());
    drop(fleet);
    set_demand_shares(state);
}

/// Sets the share of each service's slots. The shares are equal while this process doesn't see most
/// of the fleet: the entries that it doesn't see may use the slots too.
pub fn set_demand_shares(state: &ControlState) {
    let fleet = state.context.fleet.load();
    let own_vm = &state.context.settings.vm;
    let position = state.view().advertised.iter().position(|entry| entry.vm == *own_vm);
    let position = position.filter(|_| fleet.share() == WHOLE);
    for (service, slots) in state.context.services.all() {
        let shares = position.map_or(SlotShares::Equal, |_| {
            let service = ServiceKey::from(&service);
            divide_slots(&state.fleet.borrow_mut().demands(service, state.now()))
        });
        slots.set_demand_share(position.and_then(|position| shares.share(position)));
    }
}
