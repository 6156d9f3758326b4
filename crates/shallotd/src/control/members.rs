//! Heartbeats to other entries, and what their answers say.

use std::rc::Rc;
use std::time::Duration;

use shallotfork_events::{PEER_DOWN, PEER_UP, event};
use shallotfork_membership::{Announcement, EntryState, EntryVm, ListedVm, heartbeat_peers};
use shallotfork_peer::{Heartbeat, PeerId, PeerState};
use shallotfork_timer::{Schedule, TimerService};
use shallotfork_types::Revision;

use crate::control::publish::publish;
use crate::control::state::State;

/// Peers that get heartbeats; a node's cost stays the same in a larger fleet.
const HEARTBEAT_PEERS_MAX: usize = 16;

/// A tick that is late by this many heartbeats means that the process was paused.
const PAUSED_HEARTBEATS: u32 = 2;

/// Sends heartbeats at regular intervals for as long as the process runs.
pub async fn heartbeats(state: Rc<State>, timer: TimerService) {
    let period = state.context.settings.peers.heartbeat;
    let schedule = Schedule::new(period).with_jitter(period / 10);
    let mut subscription = timer.subscribe(schedule);
    while let Some(tick) = subscription.tick().await {
        if tick.late > period * PAUSED_HEARTBEATS {
            state.view.borrow_mut().resumed(tick.now);
        }
        state.view.borrow_mut().expire(tick.now);
        state.ledger.borrow_mut().expire(tick.now);
        for entry in recipients(&state) {
            tokio::task::spawn_local(beat(Rc::clone(&state), entry));
        }
        publish_if_changed(&state);
    }
}

/// Says at once to every peer that this process is leaving; returns when all have answered or
/// failed to.
pub async fn tell_leaving(state: &Rc<State>) {
    state.view.borrow_mut().leave();
    publish(state);
    let told = recipients(state).into_iter().map(|entry| beat(Rc::clone(state), entry));
    futures::future::join_all(told).await;
}

fn recipients(state: &State) -> Vec<EntryVm> {
    let entries = state.view.borrow().entries(state.context.clock.now());
    heartbeat_peers(&state.context.identity.vm, &entries, HEARTBEAT_PEERS_MAX)
}

async fn beat(state: Rc<State>, entry: EntryVm) {
    let Ok(client) = state.peers.client(&entry).await else { return };
    let own = own_heartbeat(&state);
    match client.heartbeat(&own).await {
        Ok(answer) => heard(&state, client.peer(), &answer),
        Err(_) => state.peers.drop_client(&entry.vm),
    }
}

/// What this process says of itself.
pub fn own_heartbeat(state: &State) -> Heartbeat {
    let identity = &state.context.identity;
    let leaving = state.context.snapshot().leaving || state.ledger.borrow().is_leaving();
    let seen = state.lists.borrow().cursor.highest();
    Heartbeat {
        state: if leaving { PeerState::Leaving } else { PeerState::Live },
        failure_domain: identity.failure_domain.clone(),
        callers: identity.callers,
        peers: identity.peers,
        seen_revision: seen,
        synced_revision: synced(state),
        restart_safe: state.ledger.borrow().running() == 0,
        loads: Vec::new(),
    }
}

fn synced(state: &State) -> Revision {
    state.lists.borrow().cursor.after()
}

/// Takes what a peer says of itself.
pub fn heard(state: &State, peer: &PeerId, beat: &Heartbeat) {
    let listed = ListedVm {
        vm: peer.vm.clone(),
        failure_domain: beat.failure_domain.clone(),
        callers: beat.callers,
        peers: beat.peers,
        leaving: beat.state == PeerState::Leaving,
    };
    let from = Announcement { listed, incarnation: peer.incarnation };
    let now = state.context.clock.now();
    state.view.borrow_mut().heard(from, now);
    publish_if_changed(state);
}

/// Publishes a snapshot when a belief about an entry has changed.
fn publish_if_changed(state: &State) {
    let context = &state.context;
    let now = state.view.borrow().entries(context.clock.now());
    let before = context.snapshot();
    if now == before.entries {
        return;
    }
    for entry in &now {
        let was = before.entries.iter().find(|old| old.vm == entry.vm).map(|old| old.state);
        if was != Some(entry.state) {
            log_change(state, entry);
        }
        note_lost(state, before.entries.iter().find(|old| old.vm == entry.vm), entry);
    }
    publish(state);
}

/// Lets go of operations that a silent or replaced process was running: callers are told
/// may-have-run instead of in-progress. If it lives after all, its report makes that exact.
fn note_lost(state: &State, before: Option<&EntryVm>, now: &EntryVm) {
    let mut ledger = state.ledger.borrow_mut();
    if let Some(silent) = now.incarnation.filter(|_| now.state == EntryState::Suspected) {
        ledger.executor_lost(&now.vm, silent);
    }
    let ended = before.and_then(|before| before.incarnation);
    if let Some(ended) = ended.filter(|ended| now.incarnation != Some(*ended)) {
        ledger.executor_lost(&now.vm, ended);
    }
}

fn log_change(state: &State, entry: &EntryVm) {
    let kind = if entry.state == EntryState::Live { PEER_UP } else { PEER_DOWN };
    event!(
        state.context.log, kind,
        "peer" => entry.vm.to_string(),
        "state" => entry.state.to_string(),
    );
}

/// How long peers that were not told may still name this process.
pub fn untold_wait(state: &State) -> Duration {
    state.context.settings.peers.suspect_after
}
