//! Heartbeats to other entries.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use shallotfork_events::{RESUMED, event};
use shallotfork_membership::{Announcement, EntryState, EntryVm, ListedVm, News};
use shallotfork_peer::{Heartbeat, PeerId, PeerNews, PeerState};
use shallotfork_timer::{Schedule, TimerService};
use shallotfork_types::{Endpoint, ListsDigest, Mono, rendezvous_weight};

use crate::control::contacts::{Contacts, contacts, outreach};
use crate::control::naming::{is_named, name_entries, ranked, readers, suspected_leaders};
use crate::control::reader::note_sight;
use crate::control::relay::{pull, should_read_from};
use crate::control::state::State;

/// Time between two heartbeats among the first entries of the ranking. With the silence after
/// which an entry is suspected, callers are sent elsewhere within a second of a loss.
pub const PERIOD: Duration = Duration::from_millis(150);
/// Silence after which one of them is suspected: three heartbeats and the way.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(500);
/// Heartbeats between two to seeds that are not known to live and to an entry chosen at random, by
/// which parts of a fleet that were cut from each other find together again.
const OUTREACH_EVERY: u32 = 7;
/// Entries at the head of the ranking whose places are compared in each heartbeat, at least.
const AGREED: usize = 3;
/// Heartbeats after the start that all go to such seeds too. After a loss of all entries each one
/// knows only itself, and names itself to callers, until it has found the others.
const FIRST_OUTREACHES: u32 = 12;
/// A tick that is late by this much means that the process stood still.
const STOOD_STILL: Duration = Duration::from_millis(400);

/// Exchanges heartbeats at regular intervals for as long as the process runs.
pub async fn beats(state: Rc<State>, timer: TimerService) {
    tokio::task::spawn_local(first_beats(Rc::clone(&state)));
    let schedule = Schedule::new(PERIOD).with_jitter(PERIOD / 10);
    let mut ticks = timer.subscribe(schedule);
    let mut count: u32 = 0;
    while let Some(tick) = ticks.tick().await {
        if tick.late > STOOD_STILL {
            let late_ms = u64::try_from(tick.late.as_millis()).unwrap_or(u64::MAX);
            event!(state.context.log, RESUMED, "late_ms" => late_ms);
            state.view.borrow_mut().resumed(tick.now);
        }
        let contacts = contacts(&state);
        watch(&state, &contacts, tick.now);
        let mut called: BTreeSet<Endpoint> = BTreeSet::new();
        if count.is_multiple_of(contacts.near_periods) {
            called.extend(contacts.near.iter().map(|entry| entry.peers));
        }
        if count.is_multiple_of(contacts.far_periods) {
            called.extend(contacts.far.iter().map(|entry| entry.peers));
        }
        if count < FIRST_OUTREACHES || count.is_multiple_of(OUTREACH_EVERY) {
            state.peers.keep_only(&contacts.endpoints());
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

/// Notices the silence of those whose heartbeats come at each period.
fn watch(state: &State, contacts: &Contacts, now: Mono) {
    let silence = SUSPECT_AFTER.max(PERIOD * contacts.near_periods * 3);
    let mut view = state.view.borrow_mut();
    view.set_suspect_after(silence);
    view.watch(&contacts.near.iter().map(|entry| entry.vm.clone()).collect(), now);
    view.expire(now);
}

/// Looks for the others at once, without waiting for the first period.
async fn first_beats(state: Rc<State>) {
    let calls = outreach(&state).into_iter().map(|endpoint| beat(Rc::clone(&state), endpoint));
    futures::future::join_all(calls).await;
    name_entries(&state);
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

/// Exchanges heartbeats with one entry.
async fn beat(state: Rc<State>, endpoint: Endpoint) {
    let Some(_turn) = state.peers.turn(endpoint) else { return };
    let Ok(client) = state.peers.client(endpoint).await else { return };
    let differs = state.differing.borrow().contains(&endpoint);
    let audience = if differs { Audience::Differing } else { Audience::Known };
    let own = own_heartbeat(&state, audience);
    match client.heartbeat(&own).await {
        Ok(answer) => {
            let audience = heard(&state, client.peer(), &answer);
            note(&mut state.differing.borrow_mut(), &endpoint, audience == Audience::Differing);
            if should_read_from(&state, &answer) {
                pull(Rc::clone(&state), client).await;
            }
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
    /// One that ranks the first entries in another way, and needs to hear of these.
    ///
    /// News is passed on a bounded number of times, so that in a large fleet some never reach an
    /// entry that is busy or cut off for a moment. It would send callers to other entries than the
    /// rest of the fleet for ever.
    Differing,
    /// One that was not known before and needs to hear of everybody.
    New,
}

/// What this process says of itself, with the news that is due.
pub fn own_heartbeat(state: &State, audience: Audience) -> Heartbeat {
    let settings = &state.context.settings;
    let first = first_entries(state);
    let mut view = state.view.borrow_mut();
    let news = match audience {
        Audience::Known => view.news(),
        Audience::Differing => {
            let mut news = view.news();
            news.extend(first.iter().filter_map(|entry| view.news_of(&entry.vm)));
            news
        }
        Audience::New => view.all_news(),
    };
    Heartbeat {
        state: state.own_state(),
        failure_domain: settings.failure_domain.clone(),
        callers: settings.ports.callers,
        peers: settings.ports.peers,
        round: view.own_round(),
        news: news.into_iter().map(peer_news).collect(),
        seen_revision: state.archive.borrow().position(),
        synced_revision: state.archive.borrow().position(),
        lists_digest: ranking_digest(&first),
        platform_lost: state.sight.borrow().is_blind(),
        restart_safe: true,
        loads: Vec::new(),
        strength: settings.strength,
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
            strength: beat.strength,
        },
        incarnation: peer.incarnation,
        round: beat.round,
    };
    state.view.borrow_mut().heard(&about, now);
    if beat.state == PeerState::Starting {
        state.starting.borrow_mut().insert(peer.vm.clone(), now);
    } else {
        state.starting.borrow_mut().remove(&peer.vm);
    }
    note(&mut state.blind.borrow_mut(), &peer.vm, beat.platform_lost);
    note_source(state, peer, beat);
    for news in &beat.news {
        state.view.borrow_mut().told(&told_news(news), now);
    }
    let differs = beat.lists_digest != ranking_digest(&first_entries(state));
    match (known, differs) {
        (false, _) => Audience::New,
        (true, true) => Audience::Differing,
        (true, false) => Audience::Known,
    }
}

/// The first entries of the ranking, on which all have to agree: those that callers are sent to,
/// and those that read the platform.
fn first_entries(state: &State) -> Vec<EntryVm> {
    let active = state.active.borrow();
    let places = (1..).zip(ranked(state));
    let first = places.filter(|(place, entry)| *place <= AGREED || is_named(&active, &entry.vm));
    first.map(|(_, entry)| entry).collect()
}

/// Differs when two entries rank others first, or know other runs of them.
fn ranking_digest(first: &[EntryVm]) -> ListsDigest {
    let runs = first.iter().map(|entry| {
        let run = entry.incarnation.map_or(0, |incarnation| incarnation.value());
        rendezvous_weight(entry.vm.as_str(), "") ^ run
    });
    // Shifted by its place, so that an exchange of places shows.
    ListsDigest::new(runs.fold(0, |digest, run| digest.rotate_left(7) ^ run))
}

/// Those who read the platform say whether it answers them.
fn note_source(state: &State, peer: &PeerId, beat: &Heartbeat) {
    if !readers(state).iter().any(|entry| entry.vm == peer.vm) {
        return;
    }
    state.sight.borrow_mut().told(!beat.platform_lost, state.context.clock.now());
    note_sight(state);
}

fn note<T: Ord + Clone>(entries: &mut BTreeSet<T>, entry: &T, holds: bool) {
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
        strength: about.listed.strength,
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
            strength: news.strength,
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
