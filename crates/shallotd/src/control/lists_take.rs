//! Offers lists to this process and puts those that take effect in force.

use shallotfork_membership::ListedVm;
use shallotfork_platform::{PublishedList, VmState};

use crate::control::lists_source::ListSource;
use crate::control::publish::publish;
use crate::control::state::State;

/// Offers lists and publishes a new snapshot when any takes effect.
pub fn take_lists(state: &State, lists: Vec<PublishedList>, source: &ListSource) {
    let mut changed = false;
    for list in lists {
        changed |= take_list(state, list, source);
    }
    if changed {
        set_members(state);
        publish(state);
    }
}

fn take_list(state: &State, list: PublishedList, source: &ListSource) -> bool {
    let context = &state.context;
    let now = context.clock.now();
    let taken = state.lists.borrow_mut().take(list, source, now, &context.log);
    if let Some(change) = taken.audit {
        state.audit.borrow_mut().add(change);
    }
    taken.changed
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
        })
        .collect();
    state.view.borrow_mut().set_published(*revision, &listed, state.context.clock.now());
}
