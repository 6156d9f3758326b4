//! Selection of the entries that are advertised to callers.

use std::collections::{BTreeMap, BTreeSet};

use shallotfork_types::{Endpoint, FailureDomain, PerSecond, Region, VmId};

use crate::fleet_load::FleetLoad;
use crate::ranking::Candidate;

/// Divisor of the total load: entries of lower capacity are left out once the others carry the
/// total load divided by this.
///
/// Callers choose among the entries near them with equal probability, so the entry with the lowest
/// capacity limits what all of them carry together. Two large entries with half of their processor
/// time to spare carry more than two large and ten small ones.
const SUFFICIENT_LOAD_DIVISOR: u64 = 2;
/// Largest ratio between the capacities of entries that are advertised together to callers of other
/// failure domains.
const SIMILAR_CAPACITY_FACTOR: u32 = 2;
/// Maximum number of advertised entries per failure domain. The platform's callers read no more
/// addresses from one response.
pub(crate) const ADVERTISED_MAX: usize = 64;

/// An entry that is advertised to callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdvertisedEntry {
    /// Name of the entry VM.
    pub vm: VmId,
    /// Failure domain of the entry VM.
    pub failure_domain: FailureDomain,
    /// Endpoint for callers.
    pub callers: Endpoint,
    /// Number of requests per second that the entry can carry.
    pub capacity: PerSecond,
}

/// Region of each failure domain.
pub type Regions = BTreeMap<FailureDomain, Region>;

/// Returns the endpoints that a caller in a failure domain should connect to.
///
/// These are the advertised entries of the caller's region if their capacities are similar,
/// otherwise those of its failure domain. If there are none, or the caller does not state its
/// failure domain, all advertised entries are returned.
///
/// A caller picks one of several addresses at random and tries another one at once when that one
/// fails. With a single address, all callers of a failure domain would have to wait after a crash
/// of that entry until they may request a new address. Entries of different capacity are not mixed,
/// since a small one would get as many callers as a large one.
pub fn endpoints_for_caller(
    advertised: &[AdvertisedEntry],
    regions: &Regions,
    domain: Option<&FailureDomain>,
) -> Vec<Endpoint> {
    let region = domain.and_then(|domain| regions.get(domain));
    let in_region =
        |entry: &&AdvertisedEntry| region.is_some() && regions.get(&entry.failure_domain) == region;
    let in_domain = |entry: &&AdvertisedEntry| domain == Some(&entry.failure_domain);
    let endpoints = |entries: &[&AdvertisedEntry]| {
        entries.iter().take(ADVERTISED_MAX).map(|entry| entry.callers).collect()
    };
    let of_region: Vec<&AdvertisedEntry> = advertised.iter().filter(in_region).collect();
    if !of_region.is_empty() && have_similar_capacity(&of_region) {
        return endpoints(&of_region);
    }
    let of_domain: Vec<&AdvertisedEntry> = advertised.iter().filter(in_domain).collect();
    if !of_domain.is_empty() {
        return endpoints(&of_domain);
    }
    endpoints(&advertised.iter().collect::<Vec<_>>())
}

/// Returns whether no entry has more than twice the capacity of another one.
fn have_similar_capacity(entries: &[&AdvertisedEntry]) -> bool {
    let capacities = || entries.iter().map(|entry| entry.capacity.value());
    capacities().max()
        <= capacities().min().map(|lowest| lowest.saturating_mul(SIMILAR_CAPACITY_FACTOR))
}

/// Selects the entries to advertise to callers from a ranking made by
/// [`rank_entries`](crate::rank_entries), and keeps their order.
///
/// Each failure domain with large entries advertises as few of them as can carry its share of the
/// load, for the callers in that domain. Requests then leave the failure domain only when a target
/// elsewhere is better, and an entry that sees all requests of a domain makes the best use of its
/// slots.
///
/// A single entry for the whole fleet would use slots equally well, but all callers in the other
/// failure domains and two of three requests to targets would cross domains. That entry would also
/// have to absorb every burst with the processor time of one VM. A VM with a fifth of a core can't:
/// responses come too late, callers repeat their requests, and the overload outlasts the burst by a
/// long time.
///
/// Small VMs are advertised together with large ones only if the large ones do not suffice.
/// Otherwise, when the large entries of a fleet stop, a VM with a fraction of their processor time
/// and bandwidth would receive as many callers as they did.
pub fn select_advertised_entries(load: FleetLoad, ranking: &[Candidate]) -> Vec<Candidate> {
    let min_capacity = match load.observed_with_headroom() {
        Some(observed) => min_capacity(observed.value().into(), ranking),
        None => min_capacity_for_assumed(load, ranking),
    };
    let load = u64::from(load.expected().value());
    let eligible: Vec<&Candidate> =
        ranking.iter().filter(|entry| capacity(entry) >= min_capacity).collect();
    let domains: BTreeSet<&FailureDomain> =
        eligible.iter().map(|entry| &entry.failure_domain).collect();
    let share = load / domains.len().max(1) as u64;
    let mut selected: BTreeSet<&VmId> = BTreeSet::new();
    for domain in domains {
        let local = eligible.iter().filter(|entry| entry.failure_domain == *domain);
        let local: Vec<&Candidate> = local.take(ADVERTISED_MAX).copied().collect();
        let sufficient = (1..=local.len()).find(|count| total_capacity(*count, &local) >= share);
        selected
            .extend(local.iter().take(sufficient.unwrap_or(local.len())).map(|entry| &entry.vm));
    }
    ranking.iter().filter(|entry| selected.contains(&entry.vm)).cloned().collect()
}

/// Returns the capacity that an entry needs to be advertised while the load is only assumed.
///
/// The assumption may be many times the load. Smaller entries are then left out as long as each
/// failure domain can have a larger one: callers would press them although larger ones are idle, and
/// each of many entries would know little of the targets. If the larger ones do not suffice, their
/// reports show it.
fn min_capacity_for_assumed(load: FleetLoad, ranking: &[Candidate]) -> u64 {
    let domains: BTreeSet<&FailureDomain> =
        ranking.iter().map(|entry| &entry.failure_domain).collect();
    let one_per_domain = domains.len().checked_sub(1).map_or(0, |last| capacity(&ranking[last]));
    min_capacity(load.expected().value().into(), ranking).max(one_per_domain / 2)
}

/// Returns the capacity that an entry needs to be advertised: half of the lowest capacity among the
/// smallest set of leading entries that carries a sufficient share of the load.
fn min_capacity(load: u64, ranking: &[Candidate]) -> u64 {
    let ranking: Vec<&Candidate> = ranking.iter().collect();
    let counts = || 1..=ranking.len();
    let smallest =
        counts().find(|count| total_capacity(*count, &ranking) >= load / SUFFICIENT_LOAD_DIVISOR);
    let smallest =
        smallest.or_else(|| counts().max_by_key(|count| total_capacity(*count, &ranking)));
    smallest.map_or(0, |count| capacity(ranking[count - 1]) / 2)
}

/// Returns what the first `count` entries carry together if each receives as many requests as the
/// one with the lowest capacity.
pub(crate) fn total_capacity(count: usize, ranking: &[&Candidate]) -> u64 {
    count as u64 * capacity(ranking[count - 1])
}

fn capacity(entry: &Candidate) -> u64 {
    entry.capacity.value().into()
}
