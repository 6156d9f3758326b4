//! The order in which callers should use the entries.

use shallotfork_types::{VmId, rendezvous_weight};

/// Names the ranking; every entry must compute the same one.
const RANKING: &str = "callers";

/// A live entry that callers could be sent to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Its name.
    pub vm: VmId,
    /// Whether it says that it can't read the platform.
    pub blind: bool,
}

/// Orders live entries, best first. Entries that know the same candidates agree on the order
/// without a message.
///
/// One that can't read the platform does not learn which targets leave, so that it comes last.
pub fn fleet_order(mut candidates: Vec<Candidate>) -> Vec<Candidate> {
    candidates.sort_by_cached_key(|candidate| {
        let weight = rendezvous_weight(RANKING, candidate.vm.as_str());
        (candidate.blind, std::cmp::Reverse(weight))
    });
    candidates
}
