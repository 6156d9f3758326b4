//! Which entries are named to callers.

use std::collections::BTreeMap;
use std::sync::Arc;

use shallotfork_events::{ACTIVE_CHANGED, ENTRY_CHANGED, event};
use shallotfork_membership::{EntryState, EntryVm};
use shallotfork_types::VmId;

use crate::control::beats::is_live;
use crate::control::fleet_order::{Candidate, fleet_order};
use crate::control::state::State;
use crate::snapshot::{Fleet, NamedEntry};

/// Live entries, best first; this process only once it can serve.
pub fn ranked(state: &State) -> Vec<EntryVm> {
    let own = &state.context.settings.vm;
    let serves = state.synced.get() && !state.leaving.get();
    let starting = state.starting.borrow();
    let mut entries = state.view.borrow().entries();
    entries.retain(|entry| {
        if entry.vm == *own { serves } else { is_live(entry) && !starting.contains(&entry.vm) }
    });
    in_order(state, &entries)
}

/// Suspected entries that would come first if they were live.
///
/// A suspicion that was wrong, or is no longer right, is taken back by a heartbeat; nobody sends
/// one to an entry that is not in the ranking. Without this, a part of the fleet can go on sending
/// callers to another entry than the rest.
pub fn suspected_leaders(state: &State) -> Vec<EntryVm> {
    let entries = state.view.borrow().entries();
    let leading = in_order(state, &entries).into_iter().take_while(|entry| !is_live(entry));
    leading.filter(|entry| entry.state == EntryState::Suspected).collect()
}

fn in_order(state: &State, entries: &[EntryVm]) -> Vec<EntryVm> {
    let own = &state.context.settings.vm;
    let blind = state.blind.borrow();
    let own_blind = state.platform_lost_at.get().is_some();
    let candidates = entries.iter().map(|entry| Candidate {
        vm: entry.vm.clone(),
        blind: if entry.vm == *own { own_blind } else { blind.contains(&entry.vm) },
    });
    let order = fleet_order(candidates.collect());
    let mut by_name: BTreeMap<VmId, EntryVm> =
        entries.iter().map(|entry| (entry.vm.clone(), entry.clone())).collect();
    order.into_iter().filter_map(|candidate| by_name.remove(&candidate.vm)).collect()
}

/// Publishes the order of entries for the directory.
pub fn name_entries(state: &State) {
    log_beliefs(state);
    let order = ranked(state);
    let live = order.len();
    state.known.set(state.known.get().max(live));
    let own = &state.context.settings.vm;
    let active = order.first().is_none_or(|entry| entry.vm == *own);
    let order: Vec<NamedEntry> = order
        .into_iter()
        .map(|entry| NamedEntry { callers: entry.callers, failure_domain: entry.failure_domain })
        .collect();
    let named = order.first().map(|entry| entry.callers);
    if state.named.replace(named) != named {
        let entry = named.map_or_else(|| "none".to_owned(), |entry| entry.to_string());
        event!(state.context.log, ACTIVE_CHANGED, "entry" => entry, "live" => live,
            "known" => state.known.get());
    }
    let fleet = Fleet { order, active, live, known: state.known.get() };
    state.context.fleet.store(Arc::new(fleet));
}

fn log_beliefs(state: &State) {
    let entries = state.view.borrow().entries();
    let mut logged = state.logged.borrow_mut();
    if *logged == entries {
        return;
    }
    for entry in entries.iter().filter(|entry| !logged.contains(entry)) {
        let incarnation =
            entry.incarnation.map_or_else(|| "unknown".to_owned(), |known| known.to_string());
        event!(state.context.log, ENTRY_CHANGED, "entry" => entry.vm.as_str(),
            "state" => entry.state.to_string(), "incarnation" => incarnation);
    }
    *logged = entries;
}
