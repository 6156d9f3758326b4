//! The order of entries: whom callers are sent to, and who reads the platform for all.

use shallotfork_types::{PerSecond, TargetId, VmId, rendezvous_weight};

/// Names the ranking; every entry must compute the same one.
const RANKING: &str = "callers";
/// Targets that one entry serves. A pool of this size loses little against one of all targets, and
/// the requests for it take a third of a processor at the users' largest VMs.
const TARGETS_PER_ENTRY: usize = 150;

/// A live entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Its name.
    pub vm: VmId,
    /// Whether it says that it can't read the platform.
    pub blind: bool,
    /// Requests that it could carry.
    pub strength: PerSecond,
}

/// Orders live entries, best first. Entries that know the same candidates agree on the order
/// without a message.
///
/// One that can't read the platform does not learn which targets leave, so that it comes last. A
/// small VM takes its turn only when no larger one is left.
pub fn fleet_order(mut candidates: Vec<Candidate>) -> Vec<Candidate> {
    candidates.sort_by_cached_key(|candidate| {
        let weight = rendezvous_weight(RANKING, candidate.vm.as_str());
        (candidate.blind, std::cmp::Reverse((candidate.strength, weight)))
    });
    candidates
}

/// How many entries callers are sent to: one, as long as it can carry everything, since one that
/// sees all requests fills the slots best.
pub fn active_count(targets: usize, entries: usize) -> usize {
    targets.div_ceil(TARGETS_PER_ENTRY).clamp(1, entries.max(1))
}

/// Which of the active entries sends requests to a target.
///
/// Each target belongs to one entry, which so knows all of its load without a message between
/// entries. While two entries disagree about who is active, some targets have two owners for a
/// moment; their own reports then tell of each other's requests.
pub fn owner<'a>(target: &TargetId, active: &'a [VmId]) -> Option<&'a VmId> {
    active.iter().max_by_key(|entry| rendezvous_weight(entry.as_str(), target.as_str()))
}
