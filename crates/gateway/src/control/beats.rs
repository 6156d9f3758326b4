//! Heartbeats to other entries.

use std::rc::Rc;
use std::time::Duration;

use shallotfork_events::{RESUMED, event};
use shallotfork_fleet::{HEARTBEAT_PERIOD, OwnState, choose_initial_seed};
use shallotfork_measure::SchedulingDelay;
use shallotfork_timer::{Schedule, TimerService};
use shallotfork_types::Endpoint;

use crate::carried::Carried;
use crate::control::hearing::{heard, own_heartbeat};
use crate::control::naming::name_entries;
use crate::control::reading::{Source, pull};
use crate::control::relay::should_read_from;
use crate::control::state::State;

/// A tick that is late by this much means that the process stood still.
const STOOD_STILL: Duration = Duration::from_millis(400);

/// Exchanges heartbeats at regular intervals for as long as the process runs.
pub async fn beats(state: Rc<State>, timer: TimerService) {
    tokio::task::spawn_local(first_beat(Rc::clone(&state)));
    let schedule = Schedule::new(HEARTBEAT_PERIOD).with_jitter(HEARTBEAT_PERIOD / 10);
    let mut ticks = timer.subscribe(schedule);
    let mut lateness = SchedulingDelay::new();
    while let Some(tick) = ticks.tick().await {
        lateness.record(tick.delay, tick.now);
        if tick.delay > STOOD_STILL {
            let late_ms = u64::try_from(tick.delay.as_millis()).unwrap_or(u64::MAX);
            let revision = state.archive.borrow().position();
            event!(state.context.log, RESUMED, "late_ms" => late_ms,
                "revision" => revision.value());
            state.fleet.borrow_mut().handle_resume(tick.now);
        }
        let is_overloaded = state.context.is_behind();
        let scheduling_delay = lateness.at(tick.now).max(state.context.late_by());
        state.update_own(|own| OwnState { is_overloaded, scheduling_delay, ..own });
        let seeds = state.seeds.borrow().clone();
        let called = state.fleet.borrow_mut().start_period(&seeds, &mut rand::rng(), tick.now);
        if let Some(kept) = state.fleet.borrow_mut().connections_to_keep(tick.now) {
            state.peers.keep_only(&kept);
        }
        for endpoint in called {
            tokio::task::spawn_local(beat(Rc::clone(&state), endpoint));
        }
        name_entries(&state);
        state.role_look.notify_one();
    }
}

/// Looks for the others at once, without waiting for the first period.
async fn first_beat(state: Rc<State>) {
    let own = state.context.settings.ports.peers;
    let seed = choose_initial_seed(&state.seeds.borrow(), own, &mut rand::rng());
    if let Some(seed) = seed {
        beat(Rc::clone(&state), seed).await;
    }
    name_entries(&state);
}

/// Says at once to those who have to know that this process is leaving.
pub async fn tell_leaving(state: &Rc<State>) {
    let told = state.fleet.borrow_mut().leave(state.now());
    name_entries(state);
    let told = told.into_iter().map(|endpoint| beat(Rc::clone(state), endpoint));
    futures::future::join_all(told).await;
}

/// Exchanges heartbeats with one entry.
async fn beat(state: Rc<State>, endpoint: Endpoint) {
    let Some(_turn) = state.peers.turn(endpoint) else { return };
    let Ok(client) = state.peers.client(endpoint).await else {
        state.fleet.borrow_mut().record_unanswered_call(endpoint, state.now());
        return;
    };
    let own = own_heartbeat(&state, &client.peer().vm, None);
    match client.heartbeat(&own).await {
        Ok(answer) => {
            Carried::Heartbeats.count(&answer.failure_domain, client.take_transferred_bytes());
            heard(&state, client.peer(), &answer);
            if should_read_from(&state, &answer) {
                let failure_domain = answer.failure_domain;
                pull(&state, Source { client: Rc::clone(&client), failure_domain }).await;
            }
        }
        // The next heartbeat opens a new connection.
        Err(_) => {
            state.peers.drop_client(endpoint);
            state.fleet.borrow_mut().record_unanswered_call(endpoint, state.now());
        }
    }
}
