//! Whom an entry calls beside those that it exchanges heartbeats with, so that parts of a fleet that
//! were cut from each other find together again.

use std::collections::BTreeSet;

use rand::Rng;
use rand::seq::IteratorRandom;
use shallotfork_membership::{EntryState, EntryVm};
use shallotfork_types::{Endpoint, FailureDomain};

use crate::beliefs::FleetView;
use crate::order::{Candidate, fleet_order};

/// One seed, whom an entry that has just started asks first. Were each to call all seeds, a common
/// start of hundreds would keep these busy for a second.
pub fn choose_initial_seed(
    seeds: &[Endpoint],
    own: Endpoint,
    rng: &mut impl Rng,
) -> Option<Endpoint> {
    seeds.iter().copied().filter(|seed| *seed != own).choose(rng)
}

/// Everybody that an entry can call which knows no other live one.
pub(crate) fn all_known(
    beliefs: &FleetView,
    seeds: &[Endpoint],
    rng: &mut impl Rng,
) -> BTreeSet<Endpoint> {
    seeds.iter().copied().chain(any_known(beliefs, None, rng)).collect()
}

/// Some entry, and those that are suspected but would come first otherwise: of the whole fleet, and a
/// seed that is not known to be live, for one that brings what it hears into its failure domain; of its
/// own failure domain for any other. What crosses then does not grow with the fleet.
pub(crate) fn some_known(
    beliefs: &FleetView,
    here: &FailureDomain,
    seeds: &[Endpoint],
    rng: &mut impl Rng,
) -> BTreeSet<Endpoint> {
    let spans = beliefs.contacts.monitors_readers;
    let place = (!spans).then_some(here);
    let leaders = suspected_leaders(beliefs, place).into_iter().map(|entry| entry.peers);
    let seed = if spans { unknown_seed(beliefs, seeds, rng) } else { None };
    leaders.chain(any_known(beliefs, place, rng)).chain(seed).collect()
}

fn unknown_seed(beliefs: &FleetView, seeds: &[Endpoint], rng: &mut impl Rng) -> Option<Endpoint> {
    let live = beliefs.order.iter().filter_map(|entry| beliefs.endpoint(&entry.vm));
    let live: BTreeSet<Endpoint> = live.collect();
    seeds.iter().copied().filter(|seed| !live.contains(seed)).choose(rng)
}

fn any_known(
    beliefs: &FleetView,
    place: Option<&FailureDomain>,
    rng: &mut impl Rng,
) -> Option<Endpoint> {
    let entries = beliefs.entries.values();
    let here = entries.filter(|entry| place.is_none_or(|place| entry.failure_domain == *place));
    here.map(|entry| entry.peers).choose(rng)
}

/// Suspected entries that would come first if they were live, of one failure domain or of all.
///
/// A suspicion that was wrong, or is no longer right, is taken back by a heartbeat; nobody sends
/// one to an entry that is not in the order. Without this, a part of the fleet can go on sending
/// callers to another entry than the rest.
fn suspected_leaders<'a>(
    beliefs: &'a FleetView,
    place: Option<&FailureDomain>,
) -> Vec<&'a EntryVm> {
    let entries = beliefs.entries.values();
    let here = entries.filter(|entry| place.is_none_or(|place| entry.failure_domain == *place));
    let order = fleet_order(here.map(Candidate::from).collect());
    let order = order.iter().filter_map(|entry| beliefs.entries.get(&entry.vm));
    let leading = order.take_while(|entry| entry.state != EntryState::Live);
    leading.filter(|entry| entry.state == EntryState::Suspected).collect()
}
