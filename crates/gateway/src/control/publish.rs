//! Hands what is published to the traffic threads.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use shallotfork_balance::SlotTarget;
use shallotfork_evacuation::{EvacuationChange, EvacuationEvent, Evacuations};
use shallotfork_events::{
    EVACUATION_BEGUN, EVACUATION_ENDED, EVACUATION_INVALID, PUBLISHED_IGNORED, ROUTES_ACCEPTED,
    ROUTES_REFUSED, TARGET_CHANGED, TARGETS_CHANGED, event,
};
use shallotfork_roster::{Availability, RosterChange, TargetChange, TargetRecord};
use shallotfork_routes::{OfferOutcome, RouteTable};
use shallotfork_types::{Revision, ServiceName, TargetId, Warmup};

use crate::context::lock;
use crate::control::reader::note_sight;
use crate::control::state::State;
use crate::line_budget::LineLeave;
use crate::snapshot::Published;
use crate::traffic::ServiceSlots;
use shallotfork_feed::{Decoded, FeedChanges, RawItem};
use shallotfork_fleet::OwnState;

/// Changes of targets in one reading that are logged one by one.
const CHANGE_LINES_MAX: usize = 20;

/// Changes of targets and evacuations among published items.
#[derive(Debug, Default)]
struct Taken {
    targets: Vec<TargetChange>,
    evacuations: Vec<EvacuationChange>,
}

/// Takes everything that a full read brought, which began at `revision`.
pub fn take_all(state: &State, items: &[RawItem], revision: Revision) {
    state.archive.borrow_mut().replace(items, revision);
    let Taken { targets, evacuations } = take_routes(state, items);
    let now = state.context.clock.now();
    let evacuated = state.evacuations.borrow_mut().replace(evacuations, revision, now);
    let changed = state.roster.borrow_mut().replace(targets, revision, now);
    publish(state, &changed, &evacuated);
}

/// Takes what has changed since the position of the archive.
pub fn take_changes(state: &State, changes: &FeedChanges) {
    state.archive.borrow_mut().apply(changes);
    if changes.items.is_empty() {
        return;
    }
    let Taken { targets, evacuations } = take_routes(state, &changes.items);
    let now = state.context.clock.now();
    let evacuated = state.evacuations.borrow_mut().apply(evacuations, now);
    let changed = state.roster.borrow_mut().apply(targets, now);
    publish(state, &changed, &evacuated);
}

/// Ends targets that have been missing for too long.
pub fn expire_targets(state: &State) {
    note_sight(state);
    let changed = state.roster.borrow_mut().expire(state.context.clock.now());
    if !changed.is_empty() {
        publish(state, &changed, &[]);
    }
}

/// Takes the routes among the items and returns the other changes.
fn take_routes(state: &State, items: &[RawItem]) -> Taken {
    let mut taken = Taken::default();
    for item in items {
        match state.feed.decode(item) {
            Decoded::Routes { table, ignored } => {
                ignored.iter().for_each(|reason| log_ignored(state, item, reason));
                offer(state, table, item.revision);
            }
            Decoded::BadRoutes(reason) => {
                event!(state.context.log, ROUTES_REFUSED, "reason" => reason,
                    "revision" => item.revision.value());
            }
            Decoded::Target { change, ignored } => {
                ignored.iter().for_each(|reason| log_ignored(state, item, reason));
                taken.targets.push(change);
            }
            Decoded::Evacuation(change) => taken.evacuations.push(change),
            Decoded::BadEvacuation { reason, change } => {
                event!(state.context.log, EVACUATION_INVALID, "reason" => reason,
                    "revision" => item.revision.value());
                taken.evacuations.extend(change);
            }
            Decoded::Ignored => {}
        }
    }
    taken
}

/// Logs a part of a published item that is not valid. Targets publish their entries again every
/// second or so.
fn log_ignored(state: &State, item: &RawItem, reason: &str) {
    let LineLeave::Write { left_out } = state.context.invalid_lines.ask(state.now()) else {
        return;
    };
    event!(state.context.log, PUBLISHED_IGNORED, "key" => &item.key, "reason" => reason,
        "revision" => item.revision.value(), "left_out" => left_out);
}

fn offer(state: &State, table: RouteTable, revision: Revision) {
    let (version, routes) = (table.version(), table.routes().count());
    if state.in_force.borrow_mut().offer(table) == OfferOutcome::Accepted {
        event!(state.context.log, ROUTES_ACCEPTED, "version" => version.number(),
            "routes" => routes, "revision" => revision.value());
    }
}

/// Publishes routes, evacuations and targets as they are known now.
fn publish(state: &State, changed: &[RosterChange], evacuated: &[EvacuationEvent]) {
    let context = &state.context;
    log_changes(state, changed);
    log_evacuations(state, evacuated);
    for change in changed {
        let (RosterChange::Restarted(id) | RosterChange::Left(id)) = change else { continue };
        context.links.close_idle(id);
        lock(&context.rate_limits).forget(id);
        if matches!(change, RosterChange::Restarted(_)) {
            context.services.all().iter().for_each(|(_, slots)| slots.restarted(id));
        }
    }
    publish_routes(state);
    if !evacuated.is_empty() {
        publish_evacuated(state);
    }
    let version = state.roster.borrow().version();
    if state.published_version.replace(version) != version || !evacuated.is_empty() {
        publish_targets(state);
    }
}

fn log_evacuations(state: &State, events: &[EvacuationEvent]) {
    let log = &state.context.log;
    for event in events {
        match event {
            EvacuationEvent::Began(evacuation) => {
                event!(log, EVACUATION_BEGUN,
                    "failure_domain" => evacuation.failure_domain.as_str(),
                    "revision" => evacuation.revision.value());
            }
            EvacuationEvent::Ended(evacuation) => {
                let lasted = state.now().since(evacuation.learned_at);
                event!(log, EVACUATION_ENDED,
                    "failure_domain" => evacuation.failure_domain.as_str(),
                    "revision" => evacuation.revision.value(),
                    "lasted_ms" => u64::try_from(lasted.as_millis()).unwrap_or(u64::MAX));
            }
        }
    }
}

/// Publishes which failure domains are evacuated. Requests that were assigned a target before check
/// this again before they are sent.
fn publish_evacuated(state: &State) {
    let published = state.context.published.load();
    let evacuated = Arc::new(state.evacuations.borrow().in_force());
    let published = Published { evacuated, ..Published::clone(&published) };
    state.context.published.store(Arc::new(published));
}

/// A line for each change, or one for many: after a common start hundreds of entries each read
/// hundreds of targets, and would write for longer than they read.
fn log_changes(state: &State, changed: &[RosterChange]) {
    let log = &state.context.log;
    if changed.len() > CHANGE_LINES_MAX {
        event!(log, TARGETS_CHANGED, "changes" => changed.len(),
            "first" => format!("{:?}", changed[0]));
        return;
    }
    for change in changed {
        event!(log, TARGET_CHANGED, "change" => format!("{change:?}"));
    }
}

fn publish_routes(state: &State) {
    let published = state.context.published.load();
    let table = state.in_force.borrow().table().cloned();
    state.context.published.store(Arc::new(Published { table, ..Published::clone(&published) }));
    for (service, slots) in state.context.services.all() {
        slots.set_warmup(warmup_of(state, &service));
    }
}

fn warmup_of(state: &State, service: &ServiceName) -> Option<Warmup> {
    let in_force = state.in_force.borrow();
    in_force.table()?.services().get(service)?.warmup
}

/// Publishes since when the platform counts as away.
pub fn publish_away(state: &State) {
    let published = state.context.published.load();
    let platform_lost_at = state.away_since.get();
    let published = Published { platform_lost_at, ..Published::clone(&published) };
    state.context.published.store(Arc::new(published));
}

/// Tells the slots of all services which entries share them.
pub fn publish_sharers(state: &State) {
    for (_, slots) in state.context.services.all() {
        set_sharers(state, &slots);
    }
}

fn set_sharers(state: &State, slots: &ServiceSlots) {
    let fleet = state.context.fleet.load();
    let names = fleet.named.iter().map(|entry| entry.vm.to_string()).collect();
    slots.set_sharers(names, fleet.part());
}

/// Publishes the targets, and gives each service's slots theirs if these have changed.
fn publish_targets(state: &State) {
    let context = &state.context;
    let roster = state.roster.borrow();
    let targets: HashMap<TargetId, TargetRecord> =
        roster.targets().into_iter().map(|(id, entry)| (id.clone(), entry.clone())).collect();
    let by_service = by_service(&targets, &state.evacuations.borrow());
    let count = targets.len();
    let published = context.published.load();
    let published = Published { targets: Arc::new(targets), ..Published::clone(&published) };
    context.published.store(Arc::new(published));
    state.update_own(|own| OwnState { target_count: count, ..own });
    let mut given = state.given.borrow_mut();
    let gone: Vec<ServiceName> =
        given.keys().filter(|service| !by_service.contains_key(*service)).cloned().collect();
    let emptied = gone.into_iter().map(|service| (service, Vec::new()));
    for (service, targets) in by_service.into_iter().chain(emptied) {
        if given.get(&service) != Some(&targets) {
            let slots = context.slots(&service);
            set_sharers(state, &slots);
            slots.set_warmup(warmup_of(state, &service));
            slots.set_targets(targets.clone());
            for (target, limit) in lock(&context.rate_limits).all() {
                slots.set_rate_limit(target, Some(limit));
            }
            given.insert(service, targets);
        }
    }
}

/// The targets by service. Every entry may send to each of them, and prefers those nearby: what others
/// send there it hears from the targets themselves, before it sends.
fn by_service(
    targets: &HashMap<TargetId, TargetRecord>,
    evacuations: &Evacuations,
) -> BTreeMap<ServiceName, Vec<SlotTarget>> {
    let mut by_service: BTreeMap<ServiceName, Vec<SlotTarget>> = BTreeMap::new();
    for (id, entry) in targets {
        let evacuated = evacuations.contains(&entry.failure_domain);
        by_service
            .entry(entry.service.clone())
            .or_default()
            .push(slot_target(id, entry, evacuated));
    }
    by_service.values_mut().for_each(|targets| targets.sort_by(|a, b| a.id.cmp(&b.id)));
    by_service
}

fn slot_target(id: &TargetId, entry: &TargetRecord, evacuated: bool) -> SlotTarget {
    SlotTarget {
        id: id.clone(),
        failure_domain: entry.failure_domain.clone(),
        slots: entry.slots,
        serving: entry.availability == Availability::Serving && !evacuated,
        cold_for: entry.cold_for,
    }
}
