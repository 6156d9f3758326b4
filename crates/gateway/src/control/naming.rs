//! Which entries are named to callers.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use shallotfork_events::{ACTIVE_CHANGED, ENTRY_CHANGED, event};
use shallotfork_fleet::{AdvertisedEntry, FleetView};
use shallotfork_membership::EntryVm;
use shallotfork_types::VmId;

use crate::control::publish::publish_sharers;
use crate::control::state::State;
use crate::snapshot::FleetSnapshot;

/// Time after the start in which an entry meets the others: a few heartbeats.
const SETTLING: Duration = Duration::from_millis(1000);

/// Publishes what is believed of the fleet for the directory, if it has changed.
pub fn name_entries(state: &State) {
    let beliefs = state.beliefs();
    let before = state.named_by.replace(Some(Rc::clone(&beliefs)));
    if before.as_ref().is_some_and(|before| Rc::ptr_eq(before, &beliefs)) {
        return;
    }
    log_beliefs(state, before.as_deref(), &beliefs);
    let advertised = beliefs.advertised.clone();
    let advertised_before = before.map_or_else(Vec::new, |before| before.advertised.clone());
    let changed = advertised_before != advertised;
    if wants_callers_spread(state, &advertised_before, &advertised) {
        spread_callers(state);
    }
    let live_entries = beliefs.core_entries.len();
    state.known.set(state.known.get().max(live_entries));
    if changed {
        let names: Vec<&str> = advertised.iter().map(|entry| entry.vm.as_str()).collect();
        event!(state.context.log, ACTIVE_CHANGED, "entries" => names.join(","), "live" => live_entries,
            "known" => state.known.get());
    }
    let is_advertised = advertised.is_empty() || is_named(&advertised, &state.context.settings.vm);
    let is_settled = state.context.fleet.load().is_settled;
    let fleet = FleetSnapshot {
        advertised,
        is_advertised,
        live_entries,
        known_entries: state.known.get(),
        is_settled,
    };
    let share = fleet.share();
    let share_before = state.context.fleet.swap(Arc::new(fleet)).share();
    if changed || share_before != share {
        publish_sharers(state);
    }
}

/// Notes once that this process has run for long enough to have met the others.
pub fn note_settled(state: &State) {
    let fleet = state.context.fleet.load();
    if fleet.is_settled || state.context.uptime() < SETTLING {
        return;
    }
    state
        .context
        .fleet
        .store(Arc::new(FleetSnapshot { is_settled: true, ..FleetSnapshot::clone(&fleet) }));
    publish_sharers(state);
}

/// Whether others are named beside this entry now for the callers who come here. These keep their
/// connections for as long as this entry stays named, so that the others would get new callers only.
fn wants_callers_spread(
    state: &State,
    before: &[AdvertisedEntry],
    now: &[AdvertisedEntry],
) -> bool {
    let settings = &state.context.settings;
    let here = |active: &[AdvertisedEntry]| -> Vec<VmId> {
        let near = active.iter().filter(|entry| entry.failure_domain == settings.failure_domain);
        near.map(|entry| entry.vm.clone()).collect()
    };
    let (before, now) = (here(before), here(now));
    let stays = before.contains(&settings.vm) && now.contains(&settings.vm);
    stays && before != now && now.len() > 1
}

/// Whether callers are sent to an entry, as far as these are the ones that they are sent to.
fn is_named(active: &[AdvertisedEntry], vm: &VmId) -> bool {
    active.iter().any(|entry| entry.vm == *vm)
}

/// Has callers choose anew once they know the entries that are named now.
fn spread_callers(state: &State) {
    let keep = state.context.settings.directory_ttl;
    let callers = state.context.callers.clone();
    tokio::task::spawn_local(async move {
        tokio::time::sleep(keep).await;
        callers.renew_connections();
    });
}

fn log_beliefs(state: &State, before: Option<&FleetView>, now: &FleetView) {
    let is_new =
        |entry: &&EntryVm| before.and_then(|before| before.entries.get(&entry.vm)) != Some(*entry);
    for entry in now.entries.values().filter(is_new) {
        let incarnation =
            entry.incarnation.map_or_else(|| "unknown".to_owned(), |known| known.to_string());
        event!(state.context.log, ENTRY_CHANGED, "entry" => entry.vm.as_str(),
            "state" => entry.state.to_string(), "incarnation" => incarnation);
    }
}
