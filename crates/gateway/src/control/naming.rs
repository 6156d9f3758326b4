//! Which entries are named to callers.

use std::collections::BTreeMap;
use std::sync::Arc;

use shallotfork_events::{ACTIVE_CHANGED, ENTRY_CHANGED, event};
use shallotfork_membership::{EntryState, EntryVm};
use shallotfork_types::{Endpoint, VmId};

use crate::control::beats::is_live;
use crate::control::publish::publish;
use crate::control::state::State;
use crate::snapshot::Fleet;
use shallotfork_fleet::{Candidate, active_count, fleet_order};

/// Entries that read the platform. Three of them lose no time when one or two are lost; each costs
/// a call for every change.
const READERS: usize = 3;

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

/// Entries that read the platform, for themselves and for all others. Unlike the ones that callers
/// are sent to, they may still be starting: somebody has to read first.
pub fn readers(state: &State) -> Vec<EntryVm> {
    let own = &state.context.settings.vm;
    let mut entries = state.view.borrow().entries();
    entries.retain(|entry| if entry.vm == *own { !state.leaving.get() } else { is_live(entry) });
    let mut order = in_order(state, &entries);
    order.truncate(READERS);
    order
}

/// Whether this entry is one of them.
pub fn is_reader(state: &State) -> bool {
    let own = &state.context.settings.vm;
    readers(state).iter().any(|entry| entry.vm == *own)
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
    let own_blind = state.sight.borrow().is_blind();
    let candidates = entries.iter().map(|entry| Candidate {
        vm: entry.vm.clone(),
        strength: entry.strength,
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
    let targets = state.context.published.load().targets.len();
    let count = active_count(targets, live);
    let leaders: Vec<VmId> = order.iter().take(count).map(|entry| entry.vm.clone()).collect();
    let active = leaders.is_empty() || leaders.contains(own);
    let changed = state.active.replace(leaders.clone()) != leaders;
    let order: Vec<Endpoint> = order.into_iter().map(|entry| entry.callers).collect();
    let named = order.first().copied();
    if state.named.replace(named) != named {
        let entry = named.map_or_else(|| "none".to_owned(), |entry| entry.to_string());
        event!(state.context.log, ACTIVE_CHANGED, "entry" => entry, "live" => live,
            "known" => state.known.get());
    }
    let fleet = Fleet { order, active, active_count: count, live, known: state.known.get() };
    state.context.fleet.store(Arc::new(fleet));
    if changed {
        publish(state, &[]);
    }
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
