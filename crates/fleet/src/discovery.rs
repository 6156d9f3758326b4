//! Calls to entries beyond the regular contacts, by which the parts of a partitioned fleet find
//! each other again.

use std::collections::BTreeSet;

use rand::Rng;
use rand::seq::IteratorRandom;
use shallotfork_membership::{EntryState, EntryVm};
use shallotfork_types::{Endpoint, FailureDomain};

use crate::fleet_view::FleetView;
use crate::ranking::{Candidate, rank_entries};

/// Chooses the one seed that an entry calls first after its start. If each entry called all seeds,
/// a simultaneous start of hundreds would keep the seeds busy for a second.
pub fn choose_initial_seed(
    seeds: &[Endpoint],
    own: Endpoint,
    rng: &mut impl Rng,
) -> Option<Endpoint> {
    seeds.iter().copied().filter(|seed| *seed != own).choose(rng)
}

/// Returns the endpoints to call for an entry that knows no other live one: all seeds and one known
/// entry.
pub(crate) fn calls_when_alone(
    view: &FleetView,
    seeds: &[Endpoint],
    rng: &mut impl Rng,
) -> BTreeSet<Endpoint> {
    seeds.iter().copied().chain(random_entry(view, None, rng)).collect()
}

/// Returns the endpoints of one random entry and of the suspected entries that would rank first if
/// they were live.
///
/// An entry that forwards state from other failure domains calls entries of the whole fleet, and in
/// addition a seed that is not known to be live. Any other entry calls only entries of its own
/// failure domain, so that the traffic between domains does not grow with the fleet.
pub(crate) fn discovery_calls(
    view: &FleetView,
    own_domain: &FailureDomain,
    seeds: &[Endpoint],
    rng: &mut impl Rng,
) -> BTreeSet<Endpoint> {
    let connects_domains = view.contacts.monitors_readers;
    let domain = (!connects_domains).then_some(own_domain);
    let leading = suspected_leading_entries(view, domain).into_iter().map(|entry| entry.peers);
    let seed = if connects_domains { random_unknown_seed(view, seeds, rng) } else { None };
    leading.chain(random_entry(view, domain, rng)).chain(seed).collect()
}

fn random_unknown_seed(
    view: &FleetView,
    seeds: &[Endpoint],
    rng: &mut impl Rng,
) -> Option<Endpoint> {
    let live = view.ranking.iter().filter_map(|entry| view.endpoint(&entry.vm));
    let live: BTreeSet<Endpoint> = live.collect();
    seeds.iter().copied().filter(|seed| !live.contains(seed)).choose(rng)
}

fn random_entry(
    view: &FleetView,
    domain: Option<&FailureDomain>,
    rng: &mut impl Rng,
) -> Option<Endpoint> {
    let entries = view.entries.values();
    let matching =
        entries.filter(|entry| domain.is_none_or(|domain| entry.failure_domain == *domain));
    matching.map(|entry| entry.peers).choose(rng)
}

/// Returns the suspected entries that would rank first if they were live, in one failure domain or
/// in the whole fleet.
///
/// A suspicion that was wrong or is outdated ends with a heartbeat, but no entry sends heartbeats
/// to one that is not ranked. Without these calls, a group of entries could keep advertising other
/// entries than the rest.
fn suspected_leading_entries<'a>(
    view: &'a FleetView,
    domain: Option<&FailureDomain>,
) -> Vec<&'a EntryVm> {
    let entries = view.entries.values();
    let matching =
        entries.filter(|entry| domain.is_none_or(|domain| entry.failure_domain == *domain));
    let ranking = rank_entries(matching.map(Candidate::from).collect());
    let ranking = ranking.iter().filter_map(|entry| view.entries.get(&entry.vm));
    let leading = ranking.take_while(|entry| entry.state != EntryState::Live);
    leading.filter(|entry| entry.state == EntryState::Suspected).collect()
}
