//! Watches the platform and takes what it publishes.

use std::rc::Rc;
use std::time::Duration;

use shallotfork_events::{PLATFORM_BACK, PLATFORM_LOST, event};
use shallotfork_membership::ListedVm;
use shallotfork_platform::{Backoff, BackoffConfig, Changes, Platform, PublishedList, VmState};

use crate::control::publish::publish;
use crate::control::state::State;

/// Reads the platform for as long as the process runs.
pub async fn watch(state: Rc<State>, platform: Rc<dyn Platform>) {
    let seed = state.context.identity.incarnation.value();
    let mut backoff = Backoff::new(BackoffConfig::default(), seed);
    loop {
        let after = state.lists.borrow().cursor.after();
        match platform.changes(after, state.context.settings.platform.wait).await {
            Ok(changes) => {
                if backoff.failures() > 0 {
                    event!(state.context.log, PLATFORM_BACK);
                }
                backoff.succeeded();
                state.lists.borrow_mut().cursor.answered(after, changes.revision);
                take_changes(&state, changes);
            }
            Err(error) => {
                if backoff.failures() == 0 {
                    event!(state.context.log, PLATFORM_LOST, "reason" => error.to_string());
                }
                wait(backoff.failed()).await;
            }
        }
    }
}

async fn wait(wait: Duration) {
    tokio::time::sleep(wait).await;
}

fn take_changes(state: &State, changes: Changes) {
    let source = format!("platform {}", changes.replica);
    take_lists(state, changes.lists, &source);
}

/// Offers lists and publishes a new snapshot when any takes effect.
pub fn take_lists(state: &State, lists: Vec<PublishedList>, source: &str) {
    let mut changed = false;
    for list in lists {
        changed |= take_list(state, list, source);
    }
    if changed {
        set_members(state);
        publish(state);
    }
}

fn take_list(state: &State, list: PublishedList, source: &str) -> bool {
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
