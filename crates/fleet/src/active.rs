//! Which entries callers are sent to.

use std::collections::{BTreeMap, BTreeSet};

use shallotfork_types::{Endpoint, FailureDomain, PerSecond, Region, VmId};

use crate::order::Candidate;

/// Requests a second that a target brings to its entry, in bursts too.
const REQUESTS_PER_TARGET: u64 = 6;
/// Part of that load which is enough to go without weaker entries, as a divisor. Callers choose
/// among the entries near them with equal chances, so that the weakest of these decides how much all
/// of them carry: two strong entries with half of the processor to spare beat two strong and ten
/// weak ones.
const ENOUGH_DIVISOR: u64 = 2;
/// An entry that is this many times as strong as another is not named beside it to callers of other
/// failure domains.
const ALIKE_FACTOR: u32 = 2;
/// Entries of one failure domain that callers are sent to at most; the platform's callers read no
/// more addresses in an answer.
pub(crate) const ACTIVE_MAX: usize = 64;

/// An entry that callers are sent to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdvertisedEntry {
    /// Its name.
    pub vm: VmId,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// Where callers reach it.
    pub callers: Endpoint,
    /// Requests a second that it could carry.
    pub capacity: PerSecond,
}

/// Which failure domains stand in which region.
pub type Regions = BTreeMap<FailureDomain, Region>;

/// Where a caller in a failure domain is sent: to the entries of its region if they are about equally
/// strong, else to those of its failure domain, and to all if there are none or the caller does not
/// say where it stands.
///
/// A caller chooses one of several addresses by chance, and another one at once when that one fails.
/// With one address, of an entry that is killed, all callers of a failure domain wait until they may
/// ask for a new one. A weak entry would get as many callers as a strong one, though.
pub fn endpoints_for_caller(
    active: &[AdvertisedEntry],
    regions: &Regions,
    domain: Option<&FailureDomain>,
) -> Vec<Endpoint> {
    let region = domain.and_then(|domain| regions.get(domain));
    let in_region =
        |entry: &&AdvertisedEntry| region.is_some() && regions.get(&entry.failure_domain) == region;
    let in_domain = |entry: &&AdvertisedEntry| domain == Some(&entry.failure_domain);
    let addresses = |entries: &[&AdvertisedEntry]| {
        entries.iter().take(ACTIVE_MAX).map(|entry| entry.callers).collect()
    };
    let of_region: Vec<&AdvertisedEntry> = active.iter().filter(in_region).collect();
    if !of_region.is_empty() && are_alike(&of_region) {
        return addresses(&of_region);
    }
    let of_domain: Vec<&AdvertisedEntry> = active.iter().filter(in_domain).collect();
    if !of_domain.is_empty() {
        return addresses(&of_domain);
    }
    addresses(&active.iter().collect::<Vec<_>>())
}

/// Whether none of the entries is more than twice as strong as another.
fn are_alike(entries: &[&AdvertisedEntry]) -> bool {
    let strengths = || entries.iter().map(|entry| entry.capacity.value());
    strengths().max() <= strengths().min().map(|weakest| weakest.saturating_mul(ALIKE_FACTOR))
}

/// The entries that callers are sent to, of those in the order of
/// [`fleet_order`](crate::fleet_order), and in that order.
///
/// In each failure domain that has strong ones as few as can carry its part of the load, for the
/// callers who stand there. A request then crosses to another failure domain only when a target
/// there is better for it, and a process that sees all requests of a place fills the slots there
/// best. One entry for the whole fleet would be as good at that, but every caller of the other
/// failure domains, and two of three requests to targets, would cross; and it would carry the bursts
/// of all of them with the processor time of one VM, which on VMs of a fifth of a core it can't:
/// what comes then is answered too late, is asked again, and nobody is served for long after the
/// burst has ended.
///
/// Weak VMs are not named beside strong ones unless these do not suffice: the stop of the strong
/// entries of a fleet would send as many callers to a VM with a fraction of their processor and link.
pub fn active_entries(targets: usize, order: &[Candidate]) -> Vec<Candidate> {
    let wanted = targets as u64 * REQUESTS_PER_TARGET;
    let least = least_strength(wanted, order);
    let strong: Vec<&Candidate> = order.iter().filter(|entry| capacity(entry) >= least).collect();
    let domains: BTreeSet<&FailureDomain> =
        strong.iter().map(|entry| &entry.failure_domain).collect();
    let part = wanted / domains.len().max(1) as u64;
    let mut chosen: BTreeSet<&VmId> = BTreeSet::new();
    for domain in domains {
        let here = strong.iter().filter(|entry| entry.failure_domain == *domain);
        let here: Vec<&Candidate> = here.take(ACTIVE_MAX).copied().collect();
        let enough = (1..=here.len()).find(|count| carried(*count, &here) >= part);
        chosen.extend(here.iter().take(enough.unwrap_or(here.len())).map(|entry| &entry.vm));
    }
    order.iter().filter(|entry| chosen.contains(&entry.vm)).cloned().collect()
}

/// How strong an entry has to be to be named: half as strong as the weakest of the fewest that carry
/// enough of the load.
fn least_strength(wanted: u64, order: &[Candidate]) -> u64 {
    let order: Vec<&Candidate> = order.iter().collect();
    let counts = || 1..=order.len();
    let fewest = counts().find(|count| carried(*count, &order) >= wanted / ENOUGH_DIVISOR);
    let fewest = fewest.or_else(|| counts().max_by_key(|count| carried(*count, &order)));
    fewest.map_or(0, |count| capacity(order[count - 1]) / 2)
}

/// What the first entries carry together, when each gets as many requests as the weakest.
pub(crate) fn carried(count: usize, order: &[&Candidate]) -> u64 {
    count as u64 * capacity(order[count - 1])
}

fn capacity(entry: &Candidate) -> u64 {
    entry.capacity.value().into()
}
