//! Ranking of entries.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use shallotfork_membership::EntryVm;
use shallotfork_types::{FailureDomain, PerSecond, VmId, rendezvous_weight};

/// Key of the ranking in the rendezvous hash. All entries must use the same one.
const RANKING_KEY: &str = "callers";

/// A live entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Name of the entry VM.
    pub vm: VmId,
    /// Failure domain of the entry VM.
    pub failure_domain: FailureDomain,
    /// Number of requests per second that the entry can carry.
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

/// Ranks live entries, best first. Entries that know the same candidates compute the same ranking
/// without exchanging messages.
///
/// Entries of higher capacity rank first, so a small VM is used only when no larger one is left.
/// Among entries of equal capacity failure domains alternate, so that the first ones cover as many
/// domains as possible and have targets nearby.
///
/// The ranking ignores whether an entry can read the platform, since it receives changes from the
/// entries that can. If entries that cannot read ranked last, a platform outage would move callers
/// from each entry to the next until the whole fleet has noticed it, and leave them at the smallest
/// entries.
pub fn rank_entries(mut candidates: Vec<Candidate>) -> Vec<Candidate> {
    candidates.sort_by_cached_key(|candidate| {
        let weight = rendezvous_weight(RANKING_KEY, candidate.vm.as_str());
        Reverse((candidate.capacity, weight))
    });
    let mut counts: BTreeMap<(PerSecond, FailureDomain), usize> = BTreeMap::new();
    candidates.sort_by_cached_key(|candidate| {
        let group = (candidate.capacity, candidate.failure_domain.clone());
        let position = counts.entry(group).or_default();
        *position += 1;
        (Reverse(candidate.capacity), *position)
    });
    candidates
}
