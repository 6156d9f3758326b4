//! Offers lists to this process and puts those that take effect in force.

use metrics::counter;
use shallotfork_membership::ListedVm;
use shallotfork_platform::{PublishedList, VmState};
use shallotfork_types::PerSecond;

use crate::control::lists::Taken;
use crate::control::lists_source::ListSource;
use crate::control::publish::publish;
use crate::control::state::State;
use crate::metrics_catalogue::LIST_OFFERS;

/// What became of offered lists.
#[derive(Debug, Default)]
pub struct TakenLists {
    /// Whether any takes effect.
    pub changed: bool,
    /// Lists that were in force under the same revision as one that took their place.
    pub outranked: Vec<PublishedList>,
}

/// Offers lists and publishes a new snapshot when any takes effect.
pub fn take_lists(state: &State, lists: Vec<PublishedList>, source: &ListSource) -> TakenLists {
    let mut all = TakenLists::default();
    for list in lists {
        let taken = take_list(state, list, source);
        all.changed |= taken.changed;
        all.outranked.extend(taken.outranked);
    }
    if all.changed {
        set_members(state);
        publish(state);
        state.lists_changed.notify_one();
    }
    all
}

fn take_list(state: &State, list: PublishedList, source: &ListSource) -> Taken {
    let context = &state.context;
    let now = context.clock.now();
    let mut taken = state.lists.borrow_mut().take(list, source, now, &context.log);
    if let Some(change) = taken.audit.take() {
        counter!(LIST_OFFERS.name, "outcome" => change.outcome.as_str()).increment(1);
        state.audit.borrow_mut().add(change);
    }
    taken
}

fn set_members(state: &State) {
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
