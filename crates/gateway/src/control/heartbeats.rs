//! Exchanges heartbeats with other entries.

use std::rc::Rc;
use std::time::Duration;

use shallotfork_events::{RESUMED, event};
use shallotfork_fleet::{HEARTBEAT_PERIOD, OwnState, choose_initial_seed};
use shallotfork_measure::SchedulingDelay;
use shallotfork_timer::{Schedule, TimerService};
use shallotfork_types::Endpoint;

use crate::control::advertise::update_advertised_entries;
use crate::control::demand_shares::update_demand;
use crate::control::heartbeat_messages::{build_heartbeat, receive_heartbeat};
use crate::control::pull::{PullSource, pull};
use crate::control::pulled_items::should_pull_from;
use crate::control::state::ControlState;
use crate::transfer::TransferKind;

/// A tick that is delayed by more than this means that the process was paused.
const RESUME_THRESHOLD: Duration = Duration::from_millis(400);

/// Exchanges heartbeats at regular intervals for as long as the process runs.
pub async fn run_heartbeats(state: Rc<ControlState>, timer: TimerService) {
    tokio::task::spawn_local(send_initial_heartbeat(Rc::clone(&state)));
    let schedule = Schedule::new(HEARTBEAT_PERIOD).with_jitter(HEARTBEAT_PERIOD / 10);
    let mut ticks = timer.subscribe(schedule);
    let mut tick_delay = SchedulingDelay::new();
    while let Some(tick) = ticks.tick().await {
        tick_delay.record(tick.delay, tick.now);
        if tick.delay > RESUME_THRESHOLD {
            let delay_ms = u64::try_from(tick.delay.as_millis()).unwrap_or(u64::MAX);
            let position = state.archive.borrow().position();
            event!(state.context.log, RESUMED, "late_ms" => delay_ms,
                "revision" => position.revision().value(), "epoch" => position.epoch().value());
            state.fleet.borrow_mut().handle_resume(tick.now);
        }
        let is_overloaded = state.context.is_overloaded();
        let scheduling_delay = tick_delay.at(tick.now).max(state.context.scheduling_delay());
        state.update_own_state(|own| OwnState { is_overloaded, scheduling_delay, ..own });
        update_demand(&state);
        let seeds = state.seeds.borrow().clone();
        let endpoints = state.fleet.borrow_mut().start_period(&seeds, &mut rand::rng(), tick.now);
        if let Some(kept) = state.fleet.borrow_mut().connections_to_keep(tick.now) {
            state.peers.retain(&kept);
        }
        for endpoint in endpoints {
            tokio::task::spawn_local(exchange_heartbeat(Rc::clone(&state), endpoint));
        }
        update_advertised_entries(&state);
        state.recheck_reader_role.notify_one();
    }
}

/// Contacts one of the seeds at once, without waiting for the first period.
async fn send_initial_heartbeat(state: Rc<ControlState>) {
    let own = state.context.settings.ports.peers;
    let seed = choose_initial_seed(&state.seeds.borrow(), own, &mut rand::rng());
    if let Some(seed) = seed {
        exchange_heartbeat(Rc::clone(&state), seed).await;
    }
    update_advertised_entries(&state);
}

/// Announces immediately, to the entries that need this information, that this process is leaving.
pub async fn announce_leaving(state: &Rc<ControlState>) {
    let endpoints = state.fleet.borrow_mut().leave(state.now());
    announce(state, endpoints).await;
}

/// Announces immediately each loss and each restoration of this process's path to the targets, for
/// as long as the process runs.
pub async fn announce_isolation(state: Rc<ControlState>) {
    let mut isolated = state.context.isolated.subscribe();
    while isolated.changed().await.is_ok() {
        let isolated = *isolated.borrow_and_update();
        let endpoints = state.fleet.borrow_mut().set_isolated(isolated, state.now());
        announce(&state, endpoints).await;
    }
}

async fn announce(state: &Rc<ControlState>, endpoints: Vec<Endpoint>) {
    update_advertised_entries(state);
    let endpoints =
        endpoints.into_iter().map(|endpoint| exchange_heartbeat(Rc::clone(state), endpoint));
    futures::future::join_all(endpoints).await;
}

/// Exchanges heartbeats with one entry.
async fn exchange_heartbeat(state: Rc<ControlState>, endpoint: Endpoint) {
    let Some(_call) = state.peers.try_begin_call(endpoint) else { return };
    let Ok(client) = state.peers.client(endpoint).await else {
        state.fleet.borrow_mut().record_unanswered_call(endpoint, state.now());
        return;
    };
    let own = build_heartbeat(&state, &client.peer().vm, None);
    match client.heartbeat(&own).await {
        Ok(answer) => {
            TransferKind::Heartbeats
                .record_bytes(&answer.failure_domain, client.take_transferred_bytes());
            receive_heartbeat(&state, client.peer(), &answer);
            if should_pull_from(&state, &client.peer().vm, &answer) {
                pull(&state, PullSource::new(Rc::clone(&client), &answer)).await;
            }
        }
        // The next heartbeat opens a new connection.
        Err(_) => {
            state.peers.drop_client(endpoint);
            state.fleet.borrow_mut().record_unanswered_call(endpoint, state.now());
        }
    }
}
