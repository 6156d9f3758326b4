//! Selection of the entries that read the platform for the whole fleet.

use std::collections::BTreeSet;

use shallotfork_types::VmId;

/// Number of readers. With three, the loss of one or two causes no delay; each reader costs the
/// platform one call per change.
const READERS: usize = 3;
/// Number of top-ranked entries among which the readers are chosen. If the platform rejects half of
/// all VMs, it rejects all nine once in five hundred times.
const READER_CANDIDATES: usize = 9;

/// Chooses the readers from a ranking made by [`rank_entries`](crate::rank_entries): the first
/// entries that do not report that they are disconnected from the platform.
///
/// If all candidates are disconnected, the platform counts as unavailable and the first candidates
/// keep trying. Without a limit on the candidates, each entry would replace those ranked before it
/// and fail in turn, so that every entry of the fleet would call a platform that is already in
/// trouble.
pub fn choose_readers(ranking: &[VmId], disconnected: &BTreeSet<VmId>) -> Vec<VmId> {
    let candidates = || reader_candidates(ranking);
    let connected: Vec<VmId> =
        candidates().filter(|vm| !disconnected.contains(vm)).take(READERS).cloned().collect();
    if connected.is_empty() { candidates().take(READERS).cloned().collect() } else { connected }
}

/// Returns whether an entry may become a reader soon because one of the reader candidates, which
/// include it, is disconnected from the platform.
///
/// Such an entry has to exchange heartbeats with the readers directly. If it were informed by the
/// first entry of its failure domain, it would start to read too late for changes to be in force in
/// time.
pub fn may_become_reader(own: &VmId, ranking: &[VmId], disconnected: &BTreeSet<VmId>) -> bool {
    reader_candidates(ranking).any(|vm| vm == own)
        && reader_candidates(ranking).any(|vm| disconnected.contains(vm))
}

fn reader_candidates(ranking: &[VmId]) -> impl Iterator<Item = &VmId> {
    ranking.iter().take(READER_CANDIDATES)
}
