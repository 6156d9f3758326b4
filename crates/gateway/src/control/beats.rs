//! Heartbeats to other entries.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use shallotfork_events::{RESUMED, event};
use shallotfork_membership::{Announcement, EntryState, EntryVm, ListedVm, News};
use shallotfork_peer::{Heartbeat, PeerId, PeerNews, PeerState};
use shallotfork_timer::{Schedule, TimerService};
use shallotfork_types::{Endpoint, ListsDigest, Revision, VmId};

use crate::control::naming::{name_entries, ranked, suspected_leaders};
use crate::control::state::State;

/// Time between two heartbeats to the same entry. With the silence after which an entry is
/// suspected, 0.5 s, callers are sent elsewhere within a second of a loss.
const PERIOD: Duration = Duration::from_millis(150);
/// Entries at the head of the ranking that everyone watches: the one that callers use, and those
/// that would follow it.
const WATCHED: usize = 3;
/// Heartbeats between two to the seeds and to an entry chosen at random, by which parts of a fleet
/// that were cut from each other find together again.
const OUTREACH_EVERY: u32 = 7;
/// A tick that is late by this much means that the process stood still.
const STOOD_STILL: Duration = Duration::from_millis(400);

/// Exchanges heartbeats at regular intervals for as long as the process runs.
pub async fn beats(state: Rc<State>, timer: TimerService) {
    let schedule = Schedule::new(PERIOD).with_jitter(PERIOD / 10);
    let mut ticks = timer.subscribe(schedule);
    let mut count: u32 = 0;
    while let Some(tick) = ticks.tick().await {
        if tick.late > STOOD_STILL {
            let late_ms = u64::try_from(tick.late.as_millis()).unwrap_or(u64::MAX);
            event!(state.context.log, RESUMED, "late_ms" => late_ms);
            state.view.borrow_mut().resumed(tick.now);
        }
        let watched = watched(&state);
        let names: BTreeSet<VmId> = watched.iter().map(|entry| entry.vm.clone()).collect();
        state.view.borrow_mut().watch(&names, tick.now);
        state.view.borrow_mut().expire(tick.now);
        let mut called: BTreeSet<Endpoint> = watched.iter().map(|entry| entry.peers).collect();
        if count.is_multiple_of(OUTREACH_EVERY) {
            state.peers.keep_only(&called);
            called.extend(outreach(&state));
            called.extend(suspected_leaders(&state).into_iter().map(|entry| entry.peers));
        }
        count = count.wrapping_add(1);
        for endpoint in &called {
            tokio::task::spawn_local(beat(Rc::clone(&state), *endpoint));
        }
        name_entries(&state);
    }
}

/// Says at once to every entry that this process is leaving.
pub async fn tell_leaving(state: &Rc<State>) {
    state.leaving.set(true);
    state.view.borrow_mut().leave();
    name_entries(state);
    let own = &state.context.settings.vm;
    let mut others = state.view.borrow().entries();
    others.retain(|entry| entry.vm != *own);
    let told = others.into_iter().map(|entry| beat(Rc::clone(state), entry.peers));
    futures::future::join_all(told).await;
}

/// Entries whose silence has to be noticed soon.
fn watched(state: &State) -> Vec<EntryVm> {
    let own = &state.context.settings.vm;
    let ranked = ranked(state);
    ranked.into_iter().filter(|entry| entry.vm != *own).take(WATCHED).collect()
}

fn outreach(state: &State) -> Vec<Endpoint> {
    let own = state.context.settings.ports.peers;
    let entries = state.view.borrow().entries();
    let any = entries.choose(&mut rand::rng()).map(|entry| entry.peers);
    let seeds = state.seeds.borrow().clone();
    seeds.into_iter().chain(any).filter(|endpoint| *endpoint != own).collect()
}

/// Exchanges heartbeats with one entry.
async fn beat(state: Rc<State>, endpoint: Endpoint) {
    let Some(_turn) = state.peers.turn(endpoint) else { return };
    let Ok(client) = state.peers.client(endpoint).await else { return };
    let own = own_heartbeat(&state, Audience::Known);
    match client.heartbeat(&own).await {
        Ok(answer) => {
            heard(&state, client.peer(), &answer);
        }
        // The view notices the silence; the next heartbeat opens a new connection.
        Err(_) => state.peers.drop_client(endpoint),
    }
}

/// To whom a heartbeat goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Audience {
    /// An entry that hears the news as they come.
    Known,
    /// One that was not known before and needs to hear of everybody.
    New,
}

/// What this process says of itself, with the news that is due.
pub fn own_heartbeat(state: &State, audience: Audience) -> Heartbeat {
    let settings = &state.context.settings;
    let mut view = state.view.borrow_mut();
    let news = match audience {
        Audience::Known => view.news(),
        Audience::New => view.all_news(),
    };
    Heartbeat {
        state: state.own_state(),
        failure_domain: settings.failure_domain.clone(),
        callers: settings.ports.callers,
        peers: settings.ports.peers,
        round: view.own_round(),
        news: news.into_iter().map(peer_news).collect(),
        seen_revision: Revision::NONE,
        synced_revision: Revision::NONE,
        lists_digest: ListsDigest::default(),
        platform_lost: state.platform_lost_at.get().is_some(),
        restart_safe: true,
        loads: Vec::new(),
    }
}

/// Takes another entry's heartbeat; whether it was known before.
pub fn heard(state: &State, peer: &PeerId, beat: &Heartbeat) -> Audience {
    let now = state.context.clock.now();
    let known = state
        .view
        .borrow()
        .entries()
        .iter()
        .any(|entry| entry.vm == peer.vm && entry.incarnation == Some(peer.incarnation));
    let about = Announcement {
        listed: ListedVm {
            vm: peer.vm.clone(),
            failure_domain: beat.failure_domain.clone(),
            callers: beat.callers,
            peers: beat.peers,
            leaving: beat.state == PeerState::Leaving,
        },
        incarnation: peer.incarnation,
        round: beat.round,
    };
    state.view.borrow_mut().heard(&about, now);
    note(&mut state.starting.borrow_mut(), &peer.vm, beat.state == PeerState::Starting);
    note(&mut state.blind.borrow_mut(), &peer.vm, beat.platform_lost);
    for news in &beat.news {
        state.view.borrow_mut().told(&told_news(news), now);
    }
    if known { Audience::Known } else { Audience::New }
}

fn note(entries: &mut BTreeSet<VmId>, entry: &VmId, holds: bool) {
    if holds {
        entries.insert(entry.clone());
    } else {
        entries.remove(entry);
    }
}

fn peer_news(news: News) -> PeerNews {
    let News { about, suspected } = news;
    let state = if about.listed.leaving { PeerState::Leaving } else { PeerState::Live };
    PeerNews {
        about: PeerId::new(about.listed.vm, about.incarnation),
        round: about.round,
        state,
        suspected,
        failure_domain: about.listed.failure_domain,
        callers: about.listed.callers,
        peers: about.listed.peers,
    }
}

fn told_news(news: &PeerNews) -> News {
    let about = Announcement {
        listed: ListedVm {
            vm: news.about.vm.clone(),
            failure_domain: news.failure_domain.clone(),
            callers: news.callers,
            peers: news.peers,
            leaving: news.state == PeerState::Leaving,
        },
        incarnation: news.about.incarnation,
        round: news.round,
    };
    News { about, suspected: news.suspected }
}

/// Whether an entry may be named to callers.
pub fn is_live(entry: &EntryVm) -> bool {
    entry.state == EntryState::Live
}
