//! Whom this entry calls beside those that it exchanges heartbeats with, so that parts of a fleet
//! that were cut from each other find together again.

use std::collections::BTreeSet;

use rand::seq::{IndexedRandom, IteratorRandom};
use shallotfork_fleet::{Candidate, fleet_order};
use shallotfork_membership::{EntryState, EntryVm};
use shallotfork_types::{Endpoint, FailureDomain};

use crate::control::beliefs::Beliefs;
use crate::control::state::State;

/// One seed, whom an entry that has just started asks first. Were each to call all seeds, a common
/// start of hundreds would keep these busy for a second.
pub fn first_seed(state: &State) -> Option<Endpoint> {
    let own = state.context.settings.ports.peers;
    let seeds = state.seeds.borrow();
    seeds.iter().copied().filter(|seed| *seed != own).choose(&mut rand::rng())
}

/// Everybody that an entry can call which knows no other live one.
pub fn all_known(state: &State, beliefs: &Beliefs) -> BTreeSet<Endpoint> {
    let own = state.context.settings.ports.peers;
    let any: Vec<Endpoint> = beliefs.entries.values().map(|entry| entry.peers).collect();
    let any = any.choose(&mut rand::rng()).copied();
    let seeds = state.seeds.borrow();
    seeds.iter().copied().chain(any).filter(|endpoint| *endpoint != own).collect()
}

/// A seed that is not known to be live, an entry chosen at random, and those that are suspected but
/// would come first otherwise.
pub fn some_known(state: &State, beliefs: &Beliefs) -> BTreeSet<Endpoint> {
    let settings = &state.context.settings;
    let live: BTreeSet<Endpoint> =
        beliefs.order.iter().filter_map(|entry| beliefs.endpoint(&entry.vm)).collect();
    let seeds = state.seeds.borrow();
    let unknown = seeds.iter().copied().filter(|seed| !live.contains(seed));
    let seed = unknown.choose(&mut rand::rng());
    let any = beliefs.entries.values().map(|entry| entry.peers).choose(&mut rand::rng());
    let place = (!beliefs.contacts.hears_readers).then_some(&settings.failure_domain);
    let leaders = suspected_leaders(beliefs, place).into_iter().map(|entry| entry.peers);
    let called = seed.into_iter().chain(any).chain(leaders);
    called.filter(|endpoint| *endpoint != settings.ports.peers).collect()
}

/// Suspected entries that would come first if they were live, of one failure domain or of all.
///
/// A suspicion that was wrong, or is no longer right, is taken back by a heartbeat; nobody sends
/// one to an entry that is not in the order. Without this, a part of the fleet can go on sending
/// callers to another entry than the rest.
fn suspected_leaders<'a>(beliefs: &'a Beliefs, place: Option<&FailureDomain>) -> Vec<&'a EntryVm> {
    let here = beliefs
        .entries
        .values()
        .filter(|entry| place.is_none_or(|place| entry.failure_domain == *place));
    let candidates = here.map(|entry| Candidate {
        vm: entry.vm.clone(),
        failure_domain: entry.failure_domain.clone(),
        strength: entry.strength,
    });
    let order = fleet_order(candidates.collect());
    let order = order.iter().filter_map(|entry| beliefs.entries.get(&entry.vm));
    let leading = order.take_while(|entry| entry.state != EntryState::Live);
    leading.filter(|entry| entry.state == EntryState::Suspected).collect()
}
