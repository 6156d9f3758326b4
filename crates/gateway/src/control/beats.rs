//! Heartbeats to other entries.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use shallotfork_events::{RESUMED, event};
use shallotfork_fleet::PERIOD;
use shallotfork_timer::{Schedule, TimerService};
use shallotfork_types::{Endpoint, Mono, VmId};

use crate::control::beliefs::{Beliefs, beliefs};
use crate::control::hearing::{heard, own_heartbeat};
use crate::control::naming::name_entries;
use crate::control::outreach::{all_known, first_seed, some_known};
use crate::control::relay::{pull, should_read_from};
use crate::control::state::State;

/// Silence after which an entry that is heard at every period is suspected: three heartbeats and the
/// way.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(500);
/// Heartbeats to the watched ones between two calls of others, by which parts of a fleet that were
/// cut from each other find together again.
const OUTREACH_EVERY: u32 = 7;
/// A tick that is late by this much means that the process stood still.
const STOOD_STILL: Duration = Duration::from_millis(400);

/// Exchanges heartbeats at regular intervals for as long as the process runs.
pub async fn beats(state: Rc<State>, timer: TimerService) {
    tokio::task::spawn_local(first_beat(Rc::clone(&state)));
    let schedule = Schedule::new(PERIOD).with_jitter(PERIOD / 10);
    let mut ticks = timer.subscribe(schedule);
    let mut count: u32 = 0;
    while let Some(tick) = ticks.tick().await {
        if tick.late > STOOD_STILL {
            let late_ms = u64::try_from(tick.late.as_millis()).unwrap_or(u64::MAX);
            event!(state.context.log, RESUMED, "late_ms" => late_ms);
            state.view.borrow_mut().resumed(tick.now);
        }
        let beliefs = beliefs(&state);
        watch(&state, &beliefs, tick.now);
        for endpoint in called(&state, &beliefs, count) {
            tokio::task::spawn_local(beat(Rc::clone(&state), endpoint));
        }
        count = count.wrapping_add(1);
        name_entries(&state);
        state.role_look.notify_one();
    }
}

/// Whom to call at this period.
fn called(state: &State, beliefs: &Beliefs, count: u32) -> BTreeSet<Endpoint> {
    if beliefs.is_alone(&state.context.settings.vm) {
        return all_known(state, beliefs);
    }
    let contacts = &beliefs.contacts;
    let mut called: BTreeSet<VmId> = BTreeSet::new();
    if count.is_multiple_of(contacts.watched_periods) {
        called.extend(contacts.watched.iter().cloned());
    }
    if count.is_multiple_of(contacts.in_turn_periods) && !contacts.in_turn.is_empty() {
        let turn = (count / contacts.in_turn_periods) as usize % contacts.in_turn.len();
        called.insert(contacts.in_turn[turn].clone());
    }
    let endpoints = |vms: &mut dyn Iterator<Item = &VmId>| -> BTreeSet<Endpoint> {
        vms.filter_map(|vm| beliefs.endpoint(vm)).collect()
    };
    let mut called = endpoints(&mut called.iter());
    if count.is_multiple_of(OUTREACH_EVERY * contacts.watched_periods) {
        let kept = endpoints(&mut contacts.watched.iter().chain(&contacts.in_turn));
        state.peers.keep_only(&kept);
        called.extend(some_known(state, beliefs));
    }
    called
}

/// Notices the silence of those whose heartbeats come at regular periods.
fn watch(state: &State, beliefs: &Beliefs, now: Mono) {
    let contacts = &beliefs.contacts;
    let silence = SUSPECT_AFTER.max(PERIOD * contacts.watched_periods * 3);
    let mut view = state.view.borrow_mut();
    view.set_suspect_after(silence);
    view.watch(&contacts.watched.iter().cloned().collect(), now);
    view.expire(now);
}

/// Looks for the others at once, without waiting for the first period.
async fn first_beat(state: Rc<State>) {
    if let Some(seed) = first_seed(&state) {
        beat(Rc::clone(&state), seed).await;
    }
    name_entries(&state);
}

/// Says at once that this process is leaving: one that callers are sent to, or whose word is passed
/// on, to every entry that it knows; any other to those that it exchanges heartbeats with.
pub async fn tell_leaving(state: &Rc<State>) {
    let before = beliefs(state);
    state.leaving.set(true);
    state.view.borrow_mut().leave();
    name_entries(state);
    let own = &state.context.settings.vm;
    let everybody = before.contacts.relays;
    let told = before
        .order
        .iter()
        .map(|entry| &entry.vm)
        .filter(|vm| *vm != own && (everybody || before.contacts.watched.contains(vm)));
    let told = told.filter_map(|vm| before.endpoint(vm));
    let told = told.map(|endpoint| beat(Rc::clone(state), endpoint));
    futures::future::join_all(told).await;
}

/// Exchanges heartbeats with one entry.
async fn beat(state: Rc<State>, endpoint: Endpoint) {
    let Some(_turn) = state.peers.turn(endpoint) else { return };
    let Ok(client) = state.peers.client(endpoint).await else { return };
    let own = own_heartbeat(&state, &client.peer().vm);
    match client.heartbeat(&own).await {
        Ok(answer) => {
            heard(&state, client.peer(), &answer);
            if should_read_from(&state, &answer) {
                pull(Rc::clone(&state), client).await;
            }
        }
        // The view notices the silence; the next heartbeat opens a new connection.
        Err(_) => state.peers.drop_client(endpoint),
    }
}
