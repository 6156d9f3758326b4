//! Applies published items and publishes the result for the traffic threads.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use shallotfork_balance::{Sharer, SlotTarget};
use shallotfork_evacuation::{EvacuationChange, EvacuationEvent, Evacuations};
use shallotfork_events::{
    EVACUATION_ENDED, EVACUATION_INVALID, EVACUATION_STARTED, ITEMS_RETAINED, PLATFORM_RESTORED,
    PLATFORM_SETTLED, TARGET_CHANGED, TARGETS_CHANGED, event,
};
use shallotfork_exchange::HeadLimits;
use shallotfork_history::Precedence;
use shallotfork_roster::{Availability, RosterChange, TargetChange, TargetRecord};
use shallotfork_statements::{LeavingTargets, TargetRun};
use shallotfork_types::{Position, ServiceName, TargetId, Warmup};

use crate::context::lock;
use crate::control::configuration::{offer_table, reject_configuration};
use crate::control::demand_shares::set_demand_shares;
use crate::control::ignored_elements::{
    count_ignored, forget_removed, report_ignored, track_ignored,
};
use crate::control::reader::update_platform_state;
use crate::control::state::ControlState;
use crate::snapshot::Published;
use crate::traffic::{ServiceSlots, target_run};
use shallotfork_feed::{Decoded, FeedChanges, PullResponse, RawItem, precedence};
use shallotfork_fleet::OwnState;

/// Added to the published timeout for heads, since an overloaded process reads them late.
const HEAD_TIMEOUT_SLACK: Duration = Duration::from_secs(1);
/// Target changes in one read that are logged individually; more are summarized in one line.
const LOGGED_CHANGES_MAX: usize = 20;

/// Source of items that hold since the settle time is over, in log lines.
const SETTLED_SOURCE: &str = "settled";

/// Changes of targets and evacuations decoded from published items.
#[derive(Debug, Default)]
struct DecodedChanges {
    targets: Vec<TargetChange>,
    evacuations: Vec<EvacuationChange>,
}

/// Applies a full read of the platform that began at `position` and ended at `newest`. `source` is where
/// it comes from, for the log.
pub fn apply_snapshot(
    state: &ControlState,
    items: &[RawItem],
    position: Position,
    newest: Position,
    source: &str,
) {
    let is_restored = record_restored(state, position, source);
    let mut archive = state.archive.borrow_mut();
    archive.replace(items, position, state.now(), &judge(state));
    archive.end_read(newest);
    drop(archive);
    if is_restored {
        log_retained(state);
    }
    apply_archive(state, source);
}

/// Applies the changes that follow the position of the archive.
pub fn apply_changes(state: &ControlState, changes: &FeedChanges, source: &str) {
    let changed = state.archive.borrow_mut().apply(changes, &judge(state));
    apply_changed(state, &changed, source);
}

/// Applies a checked response of another entry.
pub fn apply_pulled(state: &ControlState, response: &PullResponse, source: &str) {
    let is_restored = record_restored(state, response.changes.position, source);
    let mut archive = state.archive.borrow_mut();
    let changed = archive.apply_response(response, state.now(), &judge(state));
    drop(archive);
    if is_restored {
        log_retained(state);
    }
    match changed {
        Some(changed) => apply_changed(state, &changed, source),
        None => apply_archive(state, source),
    }
}

/// Ends the time in which items of an earlier epoch of the platform are retained, once it is over.
pub fn settle(state: &ControlState) {
    let has_settled = state.archive.borrow_mut().settle(state.now());
    if has_settled {
        event!(state.context.log, PLATFORM_SETTLED,
            "retained" => state.archive.borrow().retained_keys().len());
        apply_archive(state, SETTLED_SOURCE);
    }
}

/// Applies all items of the archive.
fn apply_archive(state: &ControlState, source: &str) {
    let (items, position) = {
        let archive = state.archive.borrow();
        (archive.items(), archive.position())
    };
    forget_removed(state, &items);
    let DecodedChanges { targets, evacuations } = apply_routes(state, &items, source);
    let now = state.context.clock.now();
    let evacuated = state.evacuations.borrow_mut().replace(evacuations, position, now);
    let changed = state.roster.borrow_mut().replace(targets, position, now);
    publish(state, &changed, &evacuated);
}

fn apply_changed(state: &ControlState, items: &[RawItem], source: &str) {
    if items.is_empty() {
        return;
    }
    let DecodedChanges { targets, evacuations } = apply_routes(state, items, source);
    let now = state.context.clock.now();
    let evacuated = state.evacuations.borrow_mut().apply(evacuations, now);
    let changed = state.roster.borrow_mut().apply(targets, now);
    publish(state, &changed, &evacuated);
}

/// Returns the rule by which a version known from an earlier epoch holds in place of the published one.
/// A target whose record has merely lapsed in an outage may be alive, so the copy's record holds.
fn judge(state: &ControlState) -> impl Fn(&RawItem, &RawItem) -> Precedence {
    |known, published| {
        let known = state.feed.decode(known);
        if let Decoded::Target { change, .. } = &known
            && state.roster.borrow().is_lapsed(&change.id)
        {
            return Precedence::Published;
        }
        precedence(&known, &state.feed.decode(published))
    }
}

/// Records that the platform was restored, if it was since what is known here, and returns whether it
/// was. Records that have expired meanwhile are published again, as after an outage.
fn record_restored(state: &ControlState, position: Position, source: &str) -> bool {
    let known = state.archive.borrow().position();
    if known == Position::NONE || position.epoch() <= known.epoch() {
        return false;
    }
    event!(state.context.log, PLATFORM_RESTORED, "epoch" => position.epoch().value(),
        "revision" => position.revision().value(), "known_epoch" => known.epoch().value(),
        "known" => known.revision().value(), "source" => source);
    state.roster.borrow_mut().platform_reconnected(state.now());
    true
}

fn log_retained(state: &ControlState) {
    let retained = state.archive.borrow().retained_keys();
    if !retained.is_empty() {
        let first: Vec<&str> =
            retained.iter().take(LOGGED_CHANGES_MAX).map(String::as_str).collect();
        event!(state.context.log, ITEMS_RETAINED, "items" => retained.len(),
            "keys" => first.join(" "));
    }
}

/// Expires targets that have been missing for too long.
pub fn expire_targets(state: &ControlState) {
    update_platform_state(state);
    let now = state.context.clock.now();
    let changed = state.roster.borrow_mut().expire(now);
    let leaving_version = {
        let mut leaving_targets = lock(&state.context.leaving_targets);
        leaving_targets.expire(now);
        leaving_targets.version()
    };
    if !changed.is_empty() || leaving_version != state.published_leaving_version.get() {
        publish(state, &changed, &[]);
    }
}

/// Applies the routes among the items and returns the other changes.
fn apply_routes(state: &ControlState, items: &[RawItem], source: &str) -> DecodedChanges {
    let mut decoded = DecodedChanges::default();
    let mut ignored_targets = Vec::new();
    for item in items {
        match state.feed.decode(item) {
            Decoded::Routes { table, ignored } => {
                offer_table(state, table, &ignored, item.position, source);
            }
            Decoded::BadRoutes { version, reason } => {
                reject_configuration(state, version, &reason, item.position);
            }
            Decoded::Target { change, ignored } => {
                decoded.targets.push(change);
                ignored_targets.extend(track_ignored(state, item, ignored));
            }
            Decoded::Evacuation(change) => {
                decoded.evacuations.push(change);
                track_ignored(state, item, None);
            }
            Decoded::BadEvacuation { ignored, change } => {
                decoded.evacuations.extend(change);
                if let Some(ignored) = track_ignored(state, item, Some(ignored)) {
                    count_ignored(&ignored);
                    event!(state.context.log, EVACUATION_INVALID, "reason" => ignored.to_string(),
                        "revision" => item.position.revision().value());
                }
            }
            Decoded::Ignored => {}
        }
    }
    let position = items.iter().map(|item| item.position).max().unwrap_or(Position::NONE);
    report_ignored(state, &ignored_targets, position);
    decoded
}

/// Publishes the current routes, evacuations and targets.
fn publish(state: &ControlState, changed: &[RosterChange], evacuated: &[EvacuationEvent]) {
    let context = &state.context;
    log_changes(state, changed);
    log_evacuations(state, evacuated);
    for change in changed {
        let (RosterChange::Restarted(id) | RosterChange::Left(id)) = change else { continue };
        context.target_connections.close_idle(id);
        lock(&context.rate_limits).forget(id);
        if matches!(change, RosterChange::Restarted(_)) {
            context.services.all().iter().for_each(|(_, slots)| slots.reset_target(id));
            lock(&context.leaving_targets).forget(id);
            lock(&context.rests).forget(id);
            lock(&context.faulty_targets).forget(id);
        }
    }
    publish_routes(state);
    if !evacuated.is_empty() {
        publish_evacuated(state);
    }
    let leaving_version = lock(&context.leaving_targets).version();
    let has_new_leaving =
        state.published_leaving_version.replace(leaving_version) != leaving_version;
    let version = state.roster.borrow().version();
    let has_new_targets = state.published_version.replace(version) != version;
    if has_new_targets || has_new_leaving || !evacuated.is_empty() {
        publish_targets(state, has_new_leaving);
    }
}

fn log_evacuations(state: &ControlState, events: &[EvacuationEvent]) {
    let log = &state.context.log;
    for event in events {
        match event {
            EvacuationEvent::Began(evacuation) => {
                event!(log, EVACUATION_STARTED,
                    "failure_domain" => evacuation.failure_domain.as_str(),
                    "revision" => evacuation.position.revision().value());
            }
            EvacuationEvent::Ended(evacuation) => {
                let duration = state.now().since(evacuation.learned_at);
                event!(log, EVACUATION_ENDED,
                    "failure_domain" => evacuation.failure_domain.as_str(),
                    "revision" => evacuation.position.revision().value(),
                    "lasted_ms" => u64::try_from(duration.as_millis()).unwrap_or(u64::MAX));
            }
        }
    }
}

/// Publishes which failure domains are evacuated. Requests that already have a target check this
/// again before they are sent.
fn publish_evacuated(state: &ControlState) {
    let published = state.context.published.load();
    let evacuated = Arc::new(state.evacuations.borrow().in_force());
    let published = Published { evacuated, ..Published::clone(&published) };
    state.context.published.store(Arc::new(published));
}

/// Logs one line for each change, or a single line for many changes. After a simultaneous start
/// hundreds of entries each read hundreds of targets, and writing a line for each would take longer
/// than reading them.
fn log_changes(state: &ControlState, changed: &[RosterChange]) {
    let log = &state.context.log;
    if changed.len() > LOGGED_CHANGES_MAX {
        event!(log, TARGETS_CHANGED, "changes" => changed.len(),
            "first" => format!("{:?}", changed[0]));
        return;
    }
    for change in changed {
        event!(log, TARGET_CHANGED, "change" => format!("{change:?}"));
    }
}

fn publish_routes(state: &ControlState) {
    let published = state.context.published.load();
    let table = state.configuration.borrow().table().cloned();
    if let Some(table) = &table {
        let limits = table.limits();
        state.context.callers.set_idle_timeout(limits.idle_timeout);
        state.context.callers.set_head_limits(HeadLimits {
            size_max: limits.header_max,
            timeout: limits.header_timeout + HEAD_TIMEOUT_SLACK,
        });
    }
    state.context.published.store(Arc::new(Published { table, ..Published::clone(&published) }));
    for (service, slots) in state.context.services.all() {
        slots.set_warmup(warmup_of(state, &service));
    }
}

fn warmup_of(state: &ControlState, service: &ServiceName) -> Option<Warmup> {
    let configuration = state.configuration.borrow();
    configuration.table()?.services().get(service)?.warmup
}

/// Publishes since when the platform counts as unavailable.
pub fn publish_platform_outage(state: &ControlState) {
    let published = state.context.published.load();
    let platform_disconnected_at = state.platform_outage_started_at.get();
    let published = Published { platform_disconnected_at, ..Published::clone(&published) };
    state.context.published.store(Arc::new(published));
}

/// Sets which entries share the slots, for all services.
pub fn publish_sharers(state: &ControlState) {
    for (_, slots) in state.context.services.all() {
        set_sharers(state, &slots);
    }
    set_demand_shares(state);
}

fn set_sharers(state: &ControlState, slots: &ServiceSlots) {
    let fleet = state.context.fleet.load();
    let sharers = fleet.advertised.iter().map(|entry| {
        Sharer::new(entry.vm.as_str()).with_failure_domain(entry.failure_domain.clone())
    });
    slots.set_sharers(sharers.collect(), fleet.share());
}

/// Publishes the targets, and passes each service's targets to its slots if they have changed or
/// `has_new_leaving` is set: then the traffic threads may have stopped the use of some.
fn publish_targets(state: &ControlState, has_new_leaving: bool) {
    let context = &state.context;
    let roster = state.roster.borrow();
    let targets: HashMap<TargetId, TargetRecord> =
        roster.targets().into_iter().map(|(id, record)| (id.clone(), record.clone())).collect();
    let by_service =
        by_service(&targets, &state.evacuations.borrow(), &lock(&context.leaving_targets));
    let count = targets.len();
    lock(&context.path_monitor).set_targets(targets.keys());
    let published = context.published.load();
    let published = Published { targets: Arc::new(targets), ..Published::clone(&published) };
    context.published.store(Arc::new(published));
    state.update_own_state(|own| OwnState { target_count: count, ..own });
    let mut assigned = state.assigned_targets.borrow_mut();
    let removed: Vec<ServiceName> =
        assigned.keys().filter(|service| !by_service.contains_key(*service)).cloned().collect();
    let emptied = removed.into_iter().map(|service| (service, Vec::new()));
    for (service, targets) in by_service.into_iter().chain(emptied) {
        if has_new_leaving || assigned.get(&service) != Some(&targets) {
            let slots = context.slots(&service);
            set_sharers(state, &slots);
            slots.set_warmup(warmup_of(state, &service));
            slots.set_targets(targets.clone());
            for (target, limit) in lock(&context.rate_limits).all() {
                slots.set_rate_limit(target, Some(limit));
            }
            // A target that was unlisted for a moment may still rest.
            let now = context.clock.now();
            for target in &targets {
                let run = target_run(context, &target.id);
                let resting_until = lock(&context.rests).resting_until(&run, now);
                resting_until.into_iter().for_each(|until| slots.set_rest(&target.id, until));
            }
            assigned.insert(service, targets);
        }
    }
}

/// Groups the targets by service. Every entry may send to each target and prefers those nearby. An
/// entry receives the load that other entries cause from the target itself, before it sends.
fn by_service(
    targets: &HashMap<TargetId, TargetRecord>,
    evacuations: &Evacuations,
    leaving_targets: &LeavingTargets,
) -> BTreeMap<ServiceName, Vec<SlotTarget>> {
    let mut by_service: BTreeMap<ServiceName, Vec<SlotTarget>> = BTreeMap::new();
    for (id, record) in targets {
        let run = TargetRun::new(id.clone(), record.started_at_ms);
        let is_barred =
            evacuations.contains(&record.failure_domain) || leaving_targets.is_leaving(&run);
        by_service
            .entry(record.service.clone())
            .or_default()
            .push(slot_target(id, record, is_barred));
    }
    by_service.values_mut().for_each(|targets| targets.sort_by(|a, b| a.id.cmp(&b.id)));
    by_service
}

fn slot_target(id: &TargetId, record: &TargetRecord, is_barred: bool) -> SlotTarget {
    SlotTarget {
        id: id.clone(),
        failure_domain: record.failure_domain.clone(),
        slots: record.slots,
        serving: record.availability == Availability::Serving && !is_barred,
        cold_for: record.cold_for,
    }
}
