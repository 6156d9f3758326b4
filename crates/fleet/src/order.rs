//! The order of entries.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use shallotfork_membership::EntryVm;
use shallotfork_types::{FailureDomain, PerSecond, VmId, rendezvous_weight};

/// Names the ranking; every entry must compute the same one.
const RANKING: &str = "callers";

/// A live entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Its name.
    pub vm: VmId,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// Requests that it could carry.
    pub capacity: PerSecond,
}

impl From<&EntryVm> for Candidate {
    fn from(entry: &EntryVm) -> Self {
        Self {
            vm: entry.vm.clone(),
            failure_domain: entry.failure_domain.clone(),
            capacity: entry.capacity,
        }
    }
}

/// Orders live entries, best first. Entries that know the same candidates agree on the order
/// without a message.
///
/// A small VM takes its turn only when no larger one is left. Among equally strong ones failure
/// domains take turns, so that those who are named first stand in as many of them as possible and
/// have targets nearby. Whether an entry can read the platform does not matter here: it learns of
/// changes from those who can. Were entries that can't read put last, a platform that is away would
/// send callers from each entry to the next until the whole fleet has found out, and leave them at
/// the weakest ones.
pub fn fleet_order(mut candidates: Vec<Candidate>) -> Vec<Candidate> {
    candidates.sort_by_cached_key(|candidate| {
        let weight = rendezvous_weight(RANKING, candidate.vm.as_str());
        Reverse((candidate.capacity, weight))
    });
    let mut seen: BTreeMap<(PerSecond, FailureDomain), usize> = BTreeMap::new();
    candidates.sort_by_cached_key(|candidate| {
        let alike = (candidate.capacity, candidate.failure_domain.clone());
        let place = seen.entry(alike).or_default();
        *place += 1;
        (Reverse(candidate.capacity), *place)
    });
    candidates
}
