//! Heartbeats to other entries, and what their answers say.

use std::rc::Rc;
use std::time::Duration;

use shallotfork_events::{PEER_DOWN, PEER_UP, event};
use shallotfork_membership::{
    Announcement, EntryState, EntryVm, ListedVm, MemberUpdate, heartbeat_peers,
};
use shallotfork_peer::{Heartbeat, PeerId, PeerState, PeerUpdate, PlatformReport};
use shallotfork_timer::{Schedule, TimerService};
use shallotfork_types::PerSecond;

use crate::control::lists_pull::pull_lists;
use crate::control::publish::publish;
use crate::control::state::State;

/// Peers that a process chooses to exchange heartbeats with; in a large fleet it is chosen by as
/// many again. A node's cost stays the same however large the fleet grows.
const HEARTBEAT_PEERS_MAX: usize = 3;

/// Shortest time between two announcements, so that a burst of changes costs no burst of heartbeats.
const ANNOUNCE_SPACING: Duration = Duration::from_millis(250);

/// A tick that is late by this many heartbeats means that the process was paused.
const PAUSED_HEARTBEATS: u32 = 2;

/// Exchanges heartbeats at regular intervals for as long as the process runs.
pub async fn heartbeats(state: Rc<State>, timer: TimerService) {
    let period = state.context.settings.peers.heartbeat;
    let schedule = Schedule::new(period).with_jitter(period / 10);
    let mut subscription = timer.subscribe(schedule);
    while let Some(tick) = subscription.tick().await {
        if tick.delay > period * PAUSED_HEARTBEATS {
            state.view.borrow_mut().handle_resume(tick.now);
        }
        let chosen = chosen(&state);
        let watched = chosen.iter().map(|entry| entry.vm.clone()).collect();
        state.view.borrow_mut().monitor(&watched, tick.now);
        state.view.borrow_mut().expire(tick.now);
        state.ledger.borrow_mut().expire(tick.now);
        for entry in chosen.into_iter().filter(|entry| is_due(&state, entry, period)) {
            tokio::task::spawn_local(beat(Rc::clone(&state), entry));
        }
        publish_if_changed(&state);
    }
}

/// Exchanges heartbeats at once when a list takes effect, for as long as the process runs.
///
/// The fingerprint in them tells entries that cannot reach the platform that there is something to
/// read. Waiting for the next regular heartbeat would cost each entry on the way up to a period.
/// Entries that read the platform themselves are left out: they know as soon as this one does, and
/// an exchange with each at every change would cost as much as the regular heartbeats.
pub async fn announce_lists(state: Rc<State>) {
    loop {
        state.lists_changed.notified().await;
        let mut blind = chosen(&state);
        blind.retain(|entry| state.blind.borrow().contains(&entry.vm));
        for entry in blind {
            tokio::task::spawn_local(beat(Rc::clone(&state), entry));
        }
        tokio::time::sleep(ANNOUNCE_SPACING).await;
    }
}

/// An exchange informs both sides, so of two that chose each other only the first to wake speaks.
fn is_due(state: &State, entry: &EntryVm, period: Duration) -> bool {
    let heard_at = state.view.borrow().last_seen_at(&entry.vm);
    let unheard = entry.incarnation.is_none() || entry.state == EntryState::Suspected;
    unheard || state.context.clock.now().since(heard_at) >= period * 3 / 4
}

/// Says at once to every entry that this process is leaving; returns whether all have heard it.
pub async fn tell_leaving(state: &Rc<State>) -> bool {
    state.leaving.set(true);
    state.view.borrow_mut().leave();
    publish(state);
    let own = &state.context.identity.vm;
    let mut others = state.view.borrow().entries();
    others.retain(|entry| entry.vm != *own);
    let told = others.into_iter().map(|entry| beat(Rc::clone(state), entry));
    futures::future::join_all(told).await.into_iter().all(|heard| heard)
}

fn chosen(state: &State) -> Vec<EntryVm> {
    let entries = state.view.borrow().entries();
    heartbeat_peers(&state.context.identity.vm, &entries, HEARTBEAT_PEERS_MAX)
}

/// Exchanges heartbeats with one entry; returns whether it answered.
async fn beat(state: Rc<State>, entry: EntryVm) -> bool {
    let Ok(client) = state.peers.client(&entry).await else { return false };
    let own = own_heartbeat(&state);
    match client.heartbeat(&own).await {
        Ok(answer) => {
            heard(&state, client.peer(), &answer);
            tokio::task::spawn_local(pull_lists(Rc::clone(&state), client, answer));
            true
        }
        Err(_) => {
            state.peers.drop_client(&client);
            false
        }
    }
}

/// What this process says of itself, with the news that is due.
pub fn own_heartbeat(state: &State) -> Heartbeat {
    let identity = &state.context.identity;
    let lists = state.lists.borrow();
    let mut view = state.view.borrow_mut();
    Heartbeat {
        state: own_state(state),
        failure_domain: identity.failure_domain.clone(),
        callers: identity.callers,
        peers: identity.peers,
        round: view.own_round(),
        updates: view.take_due_updates().into_iter().map(peer_news).collect(),
        seen_revision: lists.cursor.highest_revision(),
        synced_revision: lists.cursor.synced_revision(),
        lists_digest: lists.digest(),
        is_disconnected: state.platform_lost.get(),
        platform: PlatformReport::default(),
        domain_entries: 0,
        crash_reports: Vec::new(),
        rate_limits: Vec::new(),
        quarantine_digest: Default::default(),
        is_overloaded: false,
        restart_safe: state.ledger.borrow().running() == 0,
        loads: Vec::new(),
        // Entries of one fleet of this kind are all alike.
        capacity: PerSecond::default(),
    }
}

fn note_blind(state: &State, peer: &PeerId, beat: &Heartbeat) {
    let mut blind = state.blind.borrow_mut();
    if beat.is_disconnected {
        blind.insert(peer.vm.clone());
    } else {
        blind.remove(&peer.vm);
    }
}

fn own_state(state: &State) -> PeerState {
    if !*state.ready.borrow() {
        return PeerState::Starting;
    }
    peer_state(state.leaving.get())
}

fn peer_state(leaving: bool) -> PeerState {
    if leaving { PeerState::Leaving } else { PeerState::Live }
}

/// News as it is carried to other entries.
pub fn peer_news(news: MemberUpdate) -> PeerUpdate {
    let Announcement { listed, incarnation, round } = news.about;
    PeerUpdate {
        state: peer_state(listed.leaving),
        peer: PeerId::new(listed.vm, incarnation),
        round,
        suspected: news.suspected,
        failure_domain: listed.failure_domain,
        callers: listed.callers,
        peers: listed.peers,
        capacity: listed.capacity,
    }
}

fn news(told: &PeerUpdate) -> MemberUpdate {
    let listed = ListedVm {
        vm: told.peer.vm.clone(),
        failure_domain: told.failure_domain.clone(),
        callers: told.callers,
        peers: told.peers,
        leaving: told.state == PeerState::Leaving,
        capacity: told.capacity,
    };
    let incarnation = told.peer.incarnation;
    let about = Announcement { listed, incarnation, round: told.round };
    MemberUpdate { about, suspected: told.suspected }
}

/// Takes what a peer says of itself.
///
/// A process that is starting is not counted: it would be named to callers, whom it can only
/// refuse, and would end the suspicion of the run that it replaces.
pub fn heard(state: &State, peer: &PeerId, beat: &Heartbeat) {
    if beat.state == PeerState::Starting {
        return;
    }
    note_blind(state, peer, beat);
    let listed = ListedVm {
        vm: peer.vm.clone(),
        failure_domain: beat.failure_domain.clone(),
        callers: beat.callers,
        peers: beat.peers,
        leaving: beat.state == PeerState::Leaving,
        capacity: beat.capacity,
    };
    let from = Announcement { listed, incarnation: peer.incarnation, round: beat.round };
    let now = state.context.clock.now();
    let mut view = state.view.borrow_mut();
    view.receive_heartbeat(&from, now);
    for told in &beat.updates {
        view.receive_update(&news(told), now);
    }
    drop(view);
    publish_if_changed(state);
}

/// Publishes a snapshot when a belief about an entry has changed.
fn publish_if_changed(state: &State) {
    let context = &state.context;
    let now = state.view.borrow().entries();
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
