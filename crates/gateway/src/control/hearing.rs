//! What heartbeats say, and what is taken from them.

use std::collections::BTreeMap;

use shallotfork_fleet::PlatformAges;
use shallotfork_membership::{Announcement, ListedVm, News};
use shallotfork_peer::{Heartbeat, PeerId, PeerNews, PeerState, PlatformWord};
use shallotfork_types::{ListsDigest, VmId};

use crate::control::beliefs::{Beliefs, beliefs};
use crate::control::reader::note_sight;
use crate::control::state::State;

/// Of the heartbeats in a row to an entry that knows other heads, each so many brings all news of
/// heads, in place of what has changed since the last one: an answer may have been lost.
const RETELL_ALL_EVERY: u32 = 4;

/// What another entry has been told.
#[derive(Debug, Clone, Copy, Default)]
pub struct Told {
    /// The version of the view that it was told last, or had in common.
    version: u64,
    /// Its heartbeats in a row that showed other heads than the own ones.
    differing: u32,
}

/// What this process says of itself, with the news that is due to that entry.
///
/// Heads that differ are told until they agree. News is passed on a bounded number of times, so that
/// in a large fleet some never reach an entry that is busy or cut off for a moment; it would send
/// callers to other entries than the rest of the fleet for ever.
pub fn own_heartbeat(state: &State, to: &VmId) -> Heartbeat {
    let settings = &state.context.settings;
    let beliefs = beliefs(state);
    let news = due_news(state, &beliefs, to);
    let now = state.context.clock.now();
    let ages = state.sight.borrow().ages(state.reads.get(), now);
    Heartbeat {
        state: state.own_state(),
        failure_domain: settings.failure_domain.clone(),
        callers: settings.ports.callers,
        peers: settings.ports.peers,
        round: state.view.borrow().own_round(),
        news: news.into_values().map(peer_news).collect(),
        seen_revision: state.archive.borrow().position(),
        synced_revision: state.archive.borrow().position(),
        lists_digest: beliefs.digest,
        platform_lost: state.sight.borrow().is_blind(),
        platform: platform_word(ages),
        domain_entries: beliefs.domain_entries,
        restart_safe: true,
        loads: Vec::new(),
        strength: settings.strength,
    }
}

/// News by the VM that it is about.
fn due_news(state: &State, beliefs: &Beliefs, to: &VmId) -> BTreeMap<VmId, News> {
    let mut view = state.view.borrow_mut();
    // The others hear by the comparison of heads.
    let mut news = if beliefs.heads.contains(to) { view.news() } else { Vec::new() };
    let version = view.version();
    if let Some(told) = state.told.borrow_mut().get_mut(to).filter(|told| told.differing > 0) {
        let all = told.differing.is_multiple_of(RETELL_ALL_EVERY);
        news.extend(view.news_since(if all { 0 } else { told.version }));
        told.version = version;
    }
    news.into_iter().map(|news| (news.about.listed.vm.clone(), news)).collect()
}

/// Takes another entry's heartbeat.
pub fn heard(state: &State, peer: &PeerId, beat: &Heartbeat) {
    let now = state.context.clock.now();
    let known = state.view.borrow().knows_run(&peer.vm, peer.incarnation);
    state.view.borrow_mut().heard(&announcement(peer, beat), now);
    for news in &beat.news {
        state.view.borrow_mut().told(&told_news(news), now);
    }
    note_words(state, peer, beat);
    let beliefs = beliefs(state);
    note_source(state, &beliefs, peer, beat);
    note_domain_entries(state, &beliefs, peer, beat);
    note_digest(state, &beliefs, &peer.vm, known, beat.lists_digest);
}

fn announcement(peer: &PeerId, beat: &Heartbeat) -> Announcement {
    Announcement {
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
    }
}

/// Whether it is starting, and whether the platform turns it away.
fn note_words(state: &State, peer: &PeerId, beat: &Heartbeat) {
    let mut starting = state.starting.borrow_mut();
    let mut blind = state.blind.borrow_mut();
    let before = (starting.contains_key(&peer.vm), blind.contains(&peer.vm));
    if beat.state == PeerState::Starting {
        starting.insert(peer.vm.clone(), state.context.clock.now());
    } else {
        starting.remove(&peer.vm);
    }
    if beat.platform_lost {
        blind.insert(peer.vm.clone());
    } else {
        blind.remove(&peer.vm);
    }
    if before != (starting.contains_key(&peer.vm), blind.contains(&peer.vm)) {
        state.words_version.set(state.words_version.get() + 1);
    }
}

/// Those who read the platform say whether it answers them; others pass on what they heard.
fn note_source(state: &State, beliefs: &Beliefs, peer: &PeerId, beat: &Heartbeat) {
    let now = state.context.clock.now();
    if beliefs.readers.contains(&peer.vm) {
        state.sight.borrow_mut().told(!beat.platform_lost, now);
    } else if !beliefs.contacts.hears_readers {
        state.sight.borrow_mut().relayed(platform_ages(beat.platform), now);
    }
    note_sight(state);
}

/// The first ones of the own failure domain know how many stand there.
fn note_domain_entries(state: &State, beliefs: &Beliefs, peer: &PeerId, beat: &Heartbeat) {
    let here = beat.failure_domain == state.context.settings.failure_domain;
    if here && !beliefs.contacts.relays && beliefs.contacts.watched.contains(&peer.vm) {
        state.told_domain_entries.set(beat.domain_entries);
    }
}

fn note_digest(state: &State, beliefs: &Beliefs, vm: &VmId, known: bool, digest: ListsDigest) {
    let mut told = state.told.borrow_mut();
    if !known {
        told.remove(vm);
    }
    let told = told.entry(vm.clone()).or_default();
    if digest == beliefs.digest {
        *told = Told { version: state.view.borrow().version(), differing: 0 };
    } else {
        told.differing += 1;
    }
}

fn platform_word(ages: PlatformAges) -> PlatformWord {
    let PlatformAges { answered, reader_heard, away } = ages;
    PlatformWord { answered, reader_heard, away }
}

fn platform_ages(word: PlatformWord) -> PlatformAges {
    let PlatformWord { answered, reader_heard, away } = word;
    PlatformAges { answered, reader_heard, away }
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
