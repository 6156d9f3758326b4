//! Offers received lists and applies those that come into force.

use metrics::counter;
use shallotfork_membership::ListedVm;
use shallotfork_platform::{PublishedList, VmState};
use shallotfork_types::PerSecond;

use crate::control::lists::OfferResult;
use crate::control::lists_source::ListSource;
use crate::control::publish::publish;
use crate::control::state::State;
use crate::metrics_catalogue::LIST_OFFERS;

/// Result of offering several lists.
#[derive(Debug, Default)]
pub struct AppliedLists {
    /// Whether any of the lists came into force.
    pub changed: bool,
    /// Replaced lists that had the same revision as the one that replaced them.
    pub outranked: Vec<PublishedList>,
}

/// Offers lists and publishes a new snapshot if any of them comes into force.
pub fn apply_lists(state: &State, lists: Vec<PublishedList>, source: &ListSource) -> AppliedLists {
    let mut applied = AppliedLists::default();
    for list in lists {
        let result = apply_list(state, list, source);
        applied.changed |= result.changed;
        applied.outranked.extend(result.outranked);
    }
    if applied.changed {
        update_member_list(state);
        publish(state);
        state.lists_changed.notify_one();
    }
    applied
}

fn apply_list(state: &State, list: PublishedList, source: &ListSource) -> OfferResult {
    let context = &state.context;
    let now = context.clock.now();
    let mut result = state.lists.borrow_mut().offer(list, source, now, &context.log);
    if let Some(change) = result.audit.take() {
        counter!(LIST_OFFERS.name, "outcome" => change.outcome.as_str()).increment(1);
        state.audit.borrow_mut().add(change);
    }
    result
}

fn update_member_list(state: &State) {
    let lists = state.lists.borrow();
    let Some((revision, vms)) = &lists.vms else { return };
    let listed: Vec<ListedVm> = vms
        .iter()
        .map(|vm| ListedVm {
            vm: vm.id.clone(),
            failure_domain: vm.failure_domain.clone(),
            callers: vm.callers,
            peers: vm.peers,
            leaving: vm.state == VmState::Leaving,
            capacity: PerSecond::default(),
        })
        .collect();
    state.view.borrow_mut().set_published(*revision, &listed, state.context.clock.now());
}
