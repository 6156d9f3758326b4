//! Which entries are named to callers.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use shallotfork_events::{ACTIVE_CHANGED, ENTRY_CHANGED, event};
use shallotfork_membership::{EntryState, EntryVm};
use shallotfork_types::VmId;

use crate::control::beats::is_live;
use crate::control::publish::publish;
use crate::control::state::State;
use crate::snapshot::Fleet;
use shallotfork_fleet::{ActiveEntry, Candidate, active_entries, choose_readers, fleet_order};

/// How long the word of an entry counts that it knows no routes yet. It takes it back to those whom
/// it calls, not to all that have heard it; without an end, some of these would leave it out for
/// ever and send callers to other entries than the rest of the fleet. A start takes a few tenths
/// of a second.
const STARTING_COUNTS: Duration = Duration::from_millis(1000);

/// Live entries, best first; this process only once it can serve.
pub fn ranked(state: &State) -> Vec<EntryVm> {
    let own = &state.context.settings.vm;
    let serves = state.synced.get() && !state.leaving.get();
    let now = state.context.clock.now();
    let starting = state.starting.borrow();
    let starts = |vm: &VmId| starting.get(vm).is_some_and(|at| now.since(*at) < STARTING_COUNTS);
    let mut entries = state.view.borrow().entries();
    entries.retain(
        |entry| {
            if entry.vm == *own { serves } else { is_live(entry) && !starts(&entry.vm) }
        },
    );
    in_order(&entries)
}

/// Entries that read the platform, for themselves and for all others. Unlike the ones that callers
/// are sent to, they may still be starting: somebody has to read first.
pub fn readers(state: &State) -> Vec<EntryVm> {
    let own = &state.context.settings.vm;
    let mut entries = state.view.borrow().entries();
    entries.retain(|entry| if entry.vm == *own { !state.leaving.get() } else { is_live(entry) });
    let order = in_order(&entries);
    let names: Vec<VmId> = order.iter().map(|entry| entry.vm.clone()).collect();
    let mut blind = state.blind.borrow().clone();
    if state.sight.borrow().is_blind() {
        blind.insert(own.clone());
    }
    let chosen = choose_readers(&names, &blind);
    order.into_iter().filter(|entry| chosen.contains(&entry.vm)).collect()
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
    let leading = in_order(&entries).into_iter().take_while(|entry| !is_live(entry));
    leading.filter(|entry| entry.state == EntryState::Suspected).collect()
}

fn in_order(entries: &[EntryVm]) -> Vec<EntryVm> {
    let order = fleet_order(candidates(entries));
    let mut by_name: BTreeMap<VmId, EntryVm> =
        entries.iter().map(|entry| (entry.vm.clone(), entry.clone())).collect();
    order.into_iter().filter_map(|candidate| by_name.remove(&candidate.vm)).collect()
}

fn candidates(entries: &[EntryVm]) -> Vec<Candidate> {
    let candidate = |entry: &EntryVm| Candidate {
        vm: entry.vm.clone(),
        failure_domain: entry.failure_domain.clone(),
        strength: entry.strength,
    };
    entries.iter().map(candidate).collect()
}

/// Publishes the order of entries for the directory.
pub fn name_entries(state: &State) {
    log_beliefs(state);
    let order = ranked(state);
    let live = order.len();
    state.known.set(state.known.get().max(live));
    let own = &state.context.settings.vm;
    let targets = state.context.published.load().targets.len();
    let chosen = active_entries(targets, &candidates(&order));
    let chosen: BTreeSet<VmId> = chosen.into_iter().map(|entry| entry.vm).collect();
    let leaders = order.into_iter().filter(|entry| chosen.contains(&entry.vm));
    let leaders: Vec<ActiveEntry> = leaders.map(active_entry).collect();
    let active = leaders.is_empty() || is_named(&leaders, own);
    let before = state.active.replace(leaders.clone());
    let changed = before != leaders;
    if wants_callers_spread(state, &before, &leaders) {
        spread_callers(state);
    }
    if changed {
        let names: Vec<&str> = leaders.iter().map(|entry| entry.vm.as_str()).collect();
        event!(state.context.log, ACTIVE_CHANGED, "entries" => names.join(","), "live" => live,
            "known" => state.known.get());
    }
    let fleet = Fleet { named: leaders, active, live, known: state.known.get() };
    state.context.fleet.store(Arc::new(fleet));
    if changed {
        publish(state, &[]);
    }
}

fn active_entry(entry: EntryVm) -> ActiveEntry {
    let EntryVm { vm, failure_domain, callers, .. } = entry;
    ActiveEntry { vm, failure_domain, callers }
}

/// Whether others are named beside this entry now for the callers who come here. These keep their
/// connections for as long as this entry stays named, so that the others would get new callers only.
fn wants_callers_spread(state: &State, before: &[ActiveEntry], now: &[ActiveEntry]) -> bool {
    let settings = &state.context.settings;
    let here = |active: &[ActiveEntry]| -> Vec<VmId> {
        let near = active.iter().filter(|entry| entry.failure_domain == settings.failure_domain);
        near.map(|entry| entry.vm.clone()).collect()
    };
    let (before, now) = (here(before), here(now));
    let stays = before.contains(&settings.vm) && now.contains(&settings.vm);
    stays && before != now && now.len() > 1
}

/// Whether callers are sent to an entry, as far as these are the ones that they are sent to.
pub fn is_named(active: &[ActiveEntry], vm: &VmId) -> bool {
    active.iter().any(|entry| entry.vm == *vm)
}

/// Has callers choose anew once they know the entries that are named now.
fn spread_callers(state: &State) {
    let keep = state.context.settings.answer_keep;
    let callers = state.context.callers.clone();
    tokio::task::spawn_local(async move {
        tokio::time::sleep(keep).await;
        callers.renew_connections();
    });
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
