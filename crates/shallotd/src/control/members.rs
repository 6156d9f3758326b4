//! Heartbeats to other entries and handling of their answers.

use std::rc::Rc;
use std::time::Duration;

use shallotfork_events::{PEER_DOWN, PEER_UP, event};
use shallotfork_membership::{
    Announcement, EntryState, EntryVm, ListedVm, MemberUpdate, heartbeat_peers,
};
use shallotfork_peer::{Heartbeat, NO_LOAD, PeerId, PeerState, PeerUpdate, PlatformReport};
use shallotfork_timer::{Schedule, TimerService};
use shallotfork_types::PerSecond;

use crate::control::lists_pull::pull_lists;
use crate::control::publish::publish;
use crate::control::state::State;

/// Number of peers that a process selects for heartbeats; in a large fleet about as many others
/// select it. The cost per entry therefore does not grow with the fleet.
const HEARTBEAT_PEERS_MAX: usize = 3;

/// Minimum time between two announcements, so that a burst of changes does not cause a burst of
/// heartbeats.
const ANNOUNCE_PERIOD_MIN: Duration = Duration::from_millis(250);

/// Number of heartbeat periods by which a tick must be late to count as a pause of the process.
const PAUSE_THRESHOLD_HEARTBEATS: u32 = 2;

/// Exchanges heartbeats periodically for as long as the process runs.
pub async fn run_heartbeats(state: Rc<State>, timer: TimerService) {
    let period = state.context.settings.peers.heartbeat;
    let schedule = Schedule::new(period).with_jitter(period / 10);
    let mut subscription = timer.subscribe(schedule);
    while let Some(tick) = subscription.tick().await {
        if tick.delay > period * PAUSE_THRESHOLD_HEARTBEATS {
            state.view.borrow_mut().handle_resume(tick.now);
        }
        let chosen = chosen_peers(&state);
        let monitored = chosen.iter().map(|entry| entry.vm.clone()).collect();
        state.view.borrow_mut().monitor(&monitored, tick.now);
        state.view.borrow_mut().expire(tick.now);
        state.ledger.borrow_mut().expire(tick.now);
        for entry in chosen.into_iter().filter(|entry| is_heartbeat_due(&state, entry, period)) {
            tokio::task::spawn_local(exchange_heartbeat(Rc::clone(&state), entry));
        }
        publish_if_changed(&state);
    }
}

/// Exchanges heartbeats immediately after lists come into force, for as long as the process runs.
///
/// The digest in the heartbeat shows entries that are disconnected from the platform that there are
/// changes to pull. Waiting for the next periodic heartbeat would add up to one period per hop.
/// Entries that read the platform themselves are skipped: they receive the change at the same time,
/// and exchanging heartbeats with each at every change would cost as much as the periodic ones.
pub async fn announce_list_changes(state: Rc<State>) {
    loop {
        state.lists_changed.notified().await;
        let mut disconnected_entries = chosen_peers(&state);
        disconnected_entries
            .retain(|entry| state.disconnected_entries.borrow().contains(&entry.vm));
        for entry in disconnected_entries {
            tokio::task::spawn_local(exchange_heartbeat(Rc::clone(&state), entry));
        }
        tokio::time::sleep(ANNOUNCE_PERIOD_MIN).await;
    }
}

/// Returns whether a heartbeat to the entry is due. An exchange informs both sides, so if two
/// entries selected each other, only the first one to wake up sends a heartbeat.
fn is_heartbeat_due(state: &State, entry: &EntryVm, period: Duration) -> bool {
    let last_seen_at = state.view.borrow().last_seen_at(&entry.vm);
    let is_silent = entry.incarnation.is_none() || entry.state == EntryState::Suspected;
    is_silent || state.context.clock.now().since(last_seen_at) >= period * 3 / 4
}

/// Announces to every entry that this process is leaving; returns whether all of them answered.
pub async fn announce_leaving(state: &Rc<State>) -> bool {
    state.is_leaving.set(true);
    state.view.borrow_mut().leave();
    publish(state);
    let own = &state.context.identity.vm;
    let mut others = state.view.borrow().entries();
    others.retain(|entry| entry.vm != *own);
    let exchanges = others.into_iter().map(|entry| exchange_heartbeat(Rc::clone(state), entry));
    futures::future::join_all(exchanges).await.into_iter().all(|answered| answered)
}

fn chosen_peers(state: &State) -> Vec<EntryVm> {
    let entries = state.view.borrow().entries();
    heartbeat_peers(&state.context.identity.vm, &entries, HEARTBEAT_PEERS_MAX)
}

/// Exchanges heartbeats with one entry; returns whether it answered.
async fn exchange_heartbeat(state: Rc<State>, entry: EntryVm) -> bool {
    let Ok(client) = state.peers.client(&entry).await else { return false };
    let own = own_heartbeat(&state);
    match client.heartbeat(&own).await {
        Ok(answer) => {
            handle_heartbeat(&state, client.peer(), &answer);
            tokio::task::spawn_local(pull_lists(Rc::clone(&state), client, answer));
            true
        }
        Err(_) => {
            state.peers.drop_client(&client);
            false
        }
    }
}

/// Returns the heartbeat of this process, with the membership updates that are due.
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
        isolated: view.is_own_isolated(),
        load_level: NO_LOAD,
        updates: view.take_due_updates().into_iter().map(to_peer_update).collect(),
        seen_revision: lists.cursor.highest_revision(),
        synced_revision: lists.cursor.synced_revision(),
        synced_epoch: None,
        retained_digest: Default::default(),
        lists_digest: lists.digest(),
        loads_digest: None,
        is_disconnected: state.is_disconnected.get(),
        platform: PlatformReport::default(),
        domain_entries: 0,
        crash_reports: Vec::new(),
        rate_limits: Vec::new(),
        leaving_targets: Vec::new(),
        exclusions: Vec::new(),
        quarantine_digest: Default::default(),
        is_overloaded: false,
        restart_safe: state.ledger.borrow().running() == 0,
        loads: Vec::new(),
        demands: Vec::new(),
        // All entries of a fleet of this kind have the same capacity.
        capacity: PerSecond::default(),
    }
}

fn record_disconnected(state: &State, peer: &PeerId, heartbeat: &Heartbeat) {
    let mut disconnected_entries = state.disconnected_entries.borrow_mut();
    if heartbeat.is_disconnected {
        disconnected_entries.insert(peer.vm.clone());
    } else {
        disconnected_entries.remove(&peer.vm);
    }
}

fn own_state(state: &State) -> PeerState {
    if !*state.ready.borrow() {
        return PeerState::Starting;
    }
    peer_state(state.is_leaving.get())
}

fn peer_state(leaving: bool) -> PeerState {
    if leaving { PeerState::Leaving } else { PeerState::Live }
}

/// Converts a membership update to a peer message.
pub fn to_peer_update(update: MemberUpdate) -> PeerUpdate {
    // This daemon chooses entries for callers without regard to their load.
    let Announcement { listed, incarnation, round, isolated, load: _ } = update.about;
    PeerUpdate {
        state: peer_state(listed.leaving),
        peer: PeerId::new(listed.vm, incarnation),
        round,
        isolated,
        load_level: NO_LOAD,
        suspected: update.suspected,
        failure_domain: listed.failure_domain,
        callers: listed.callers,
        peers: listed.peers,
        capacity: listed.capacity,
    }
}

fn to_member_update(update: &PeerUpdate) -> MemberUpdate {
    let listed = ListedVm {
        vm: update.peer.vm.clone(),
        failure_domain: update.failure_domain.clone(),
        callers: update.callers,
        peers: update.peers,
        leaving: update.state == PeerState::Leaving,
        capacity: update.capacity,
    };
    let incarnation = update.peer.incarnation;
    let about = Announcement {
        listed,
        incarnation,
        round: update.round,
        isolated: update.isolated,
        load: None,
    };
    MemberUpdate { about, suspected: update.suspected }
}

/// Processes a heartbeat received from a peer.
///
/// The heartbeat of a starting process is ignored: otherwise the entry would be advertised to
/// callers, whom it can only reject, and the suspicion of the incarnation that it replaces would
/// end.
pub fn handle_heartbeat(state: &State, peer: &PeerId, heartbeat: &Heartbeat) {
    if heartbeat.state == PeerState::Starting {
        return;
    }
    record_disconnected(state, peer, heartbeat);
    let listed = ListedVm {
        vm: peer.vm.clone(),
        failure_domain: heartbeat.failure_domain.clone(),
        callers: heartbeat.callers,
        peers: heartbeat.peers,
        leaving: heartbeat.state == PeerState::Leaving,
        capacity: heartbeat.capacity,
    };
    let from = Announcement {
        listed,
        incarnation: peer.incarnation,
        round: heartbeat.round,
        isolated: heartbeat.isolated,
        load: None,
    };
    let now = state.context.clock.now();
    let mut view = state.view.borrow_mut();
    view.receive_heartbeat(&from, now);
    for update in &heartbeat.updates {
        view.receive_update(&to_member_update(update), now);
    }
    drop(view);
    publish_if_changed(state);
}

/// Publishes a snapshot if the view of any entry has changed.
fn publish_if_changed(state: &State) {
    let context = &state.context;
    let entries = state.view.borrow().entries();
    let previous = context.snapshot();
    if entries == previous.entries {
        return;
    }
    for entry in &entries {
        let old_state = previous.entries.iter().find(|old| old.vm == entry.vm).map(|old| old.state);
        if old_state != Some(entry.state) {
            log_state_change(state, entry);
        }
        mark_lost_operations(state, previous.entries.iter().find(|old| old.vm == entry.vm), entry);
    }
    publish(state);
}

/// Marks the operations that a suspected or replaced process was running as lost, so that callers
/// receive may-have-run instead of in-progress. If the process is still running after all, its
/// completion report sets the exact outcome.
fn mark_lost_operations(state: &State, previous: Option<&EntryVm>, current: &EntryVm) {
    let mut ledger = state.ledger.borrow_mut();
    if let Some(suspected) = current.incarnation.filter(|_| current.state == EntryState::Suspected)
    {
        ledger.executor_lost(&current.vm, suspected);
    }
    let ended = previous.and_then(|previous| previous.incarnation);
    if let Some(ended) = ended.filter(|ended| current.incarnation != Some(*ended)) {
        ledger.executor_lost(&current.vm, ended);
    }
}

fn log_state_change(state: &State, entry: &EntryVm) {
    let kind = if entry.state == EntryState::Live { PEER_UP } else { PEER_DOWN };
    event!(
        state.context.log, kind,
        "peer" => entry.vm.to_string(),
        "state" => entry.state.to_string(),
    );
}

/// Returns how long peers that missed the announcement may still advertise this entry to callers.
pub fn stale_advertisement_time(state: &State) -> Duration {
    state.context.settings.peers.suspect_after
}
