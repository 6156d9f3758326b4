//! Publishes which entries are advertised to callers.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use metrics::gauge;
use shallotfork_events::{ADVERTISED_ENTRIES_CHANGED, ENTRY_STATE_CHANGED, event};
use shallotfork_fleet::{AdvertisedEntry, FleetLoad, FleetView};
use shallotfork_membership::EntryVm;
use shallotfork_types::{PerSecond, VmId};

use crate::control::publish::publish_sharers;
use crate::control::state::ControlState;
use crate::snapshot::FleetSnapshot;
use crate::traffic::request_path_check;

/// Time after the start in which an entry discovers the others: a few heartbeats.
const SETTLE_TIME: Duration = Duration::from_millis(1000);

/// Publishes the view of the fleet for the directory if it has changed.
pub fn update_advertised_entries(state: &ControlState) {
    let view = state.view();
    let previous = state.last_view.replace(Some(Rc::clone(&view)));
    if previous.as_ref().is_some_and(|previous| Rc::ptr_eq(previous, &view)) {
        return;
    }
    log_view_changes(state, previous.as_deref(), &view);
    set_load_metrics(view.load);
    let advertised = view.advertised.clone();
    let previous_advertised =
        previous.as_ref().map_or_else(Vec::new, |previous| previous.advertised.clone());
    let has_changed = previous_advertised != advertised;
    if needs_caller_rebalance(state, &previous_advertised, &advertised) {
        rebalance_callers(state);
    }
    let live_entries = view.core_entries.len();
    state.known_entries.set(state.known_entries.get().max(live_entries));
    if has_changed {
        let names: Vec<&str> = advertised.iter().map(|entry| entry.vm.as_str()).collect();
        event!(state.context.log, ADVERTISED_ENTRIES_CHANGED, "entries" => names.join(","),
            "live" => live_entries, "known" => state.known_entries.get(),
            "expected_per_s" => view.load.expected().value(),
            "observed_per_s" => view.load.observed_with_headroom().map(PerSecond::value));
    }
    let is_advertised =
        advertised.is_empty() || contains_vm(&advertised, &state.context.settings.vm);
    let is_settled = state.context.fleet.load().is_settled;
    if is_advertised && !state.context.fleet.load().is_advertised
        || has_new_isolated_entry(previous.as_deref(), &view)
    {
        request_path_check(&state.context);
    }
    let fleet = FleetSnapshot {
        advertised,
        fallback: view.fallback.clone(),
        is_advertised,
        live_entries,
        known_entries: state.known_entries.get(),
        is_settled,
    };
    let share = fleet.share();
    let previous_share = state.context.fleet.swap(Arc::new(fleet)).share();
    if has_changed || previous_share != share {
        publish_sharers(state);
    }
}

/// Marks this process as settled once it has run for long enough to have discovered the others.
pub fn mark_settled(state: &ControlState) {
    let fleet = state.context.fleet.load();
    if fleet.is_settled || state.context.uptime() < SETTLE_TIME {
        return;
    }
    state
        .context
        .fleet
        .store(Arc::new(FleetSnapshot { is_settled: true, ..FleetSnapshot::clone(&fleet) }));
    publish_sharers(state);
}

/// Whether the callers of this entry should choose again, because the entries advertised beside it
/// in its failure domain have changed. Callers keep their connections for as long as this entry
/// stays advertised, so the other entries would get only new callers.
fn needs_caller_rebalance(
    state: &ControlState,
    previous: &[AdvertisedEntry],
    current: &[AdvertisedEntry],
) -> bool {
    let settings = &state.context.settings;
    let local_vms = |entries: &[AdvertisedEntry]| -> Vec<VmId> {
        let local = entries.iter().filter(|entry| entry.failure_domain == settings.failure_domain);
        local.map(|entry| entry.vm.clone()).collect()
    };
    let (previous, current) = (local_vms(previous), local_vms(current));
    let stays = previous.contains(&settings.vm) && current.contains(&settings.vm);
    stays && previous != current && current.len() > 1
}

/// Whether an entry has lost its path to all targets since the previous view. This entry may have
/// lost it by the same fault, and would not notice before it gets requests.
fn has_new_isolated_entry(previous: Option<&FleetView>, current: &FleetView) -> bool {
    let was_isolated = |entry: &EntryVm| {
        let before = previous.and_then(|view| view.entries.get(&entry.vm));
        before.is_some_and(|before| before.isolated)
    };
    current.entries.values().any(|entry| entry.isolated && !was_isolated(entry))
}

fn contains_vm(entries: &[AdvertisedEntry], vm: &VmId) -> bool {
    entries.iter().any(|entry| entry.vm == *vm)
}

/// Asks callers to choose an entry again once they know the entries that are advertised now.
fn rebalance_callers(state: &ControlState) {
    let ttl = state.context.settings.directory_ttl;
    let callers = state.context.callers.clone();
    tokio::task::spawn_local(async move {
        tokio::time::sleep(ttl).await;
        callers.renew_connections();
    });
}

/// Sets the metrics of the load for which entries are advertised. A load that is not observed is 0.
fn set_load_metrics(load: FleetLoad) {
    let observed = load.observed_with_headroom().map_or(0, PerSecond::value);
    gauge!("shallotfork_fleet_expected_per_second").set(f64::from(load.expected().value()));
    gauge!("shallotfork_fleet_observed_per_second").set(f64::from(observed));
}

fn log_view_changes(state: &ControlState, previous: Option<&FleetView>, current: &FleetView) {
    // Entries report their load often while it changes.
    let without_load = |entry: &EntryVm| EntryVm { load: None, ..entry.clone() };
    let is_changed = |entry: &&EntryVm| {
        let before = previous.and_then(|view| view.entries.get(&entry.vm));
        before.is_none_or(|before| before != *entry && without_load(before) != without_load(entry))
    };
    for entry in current.entries.values().filter(is_changed) {
        let incarnation =
            entry.incarnation.map_or_else(|| "unknown".to_owned(), |known| known.to_string());
        event!(state.context.log, ENTRY_STATE_CHANGED, "entry" => entry.vm.as_str(),
            "state" => entry.state.to_string(), "incarnation" => incarnation,
            "isolated" => entry.isolated);
    }
}
