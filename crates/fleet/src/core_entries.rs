//! Selection of the core entries: those that every entry of the fleet knows.

use std::collections::{BTreeMap, BTreeSet};

use shallotfork_types::{FailureDomain, VmId};

use crate::ranking::Candidate;

/// Minimum number of core entries per failure domain. Half of a fleet may be lost at once; it is
/// practically impossible that this includes all of them.
const CORE_ENTRIES_MIN: usize = 12;
/// Core entries in addition to the advertised ones, so that their successors are known when some
/// advertised entries are lost.
const SPARE_ENTRIES: usize = 3;

/// Selects the first entries of each failure domain from a ranking of live entries made by
/// [`rank_entries`](crate::rank_entries), and keeps their order.
///
/// The advertised entries and the readers follow from the core entries alone. If every entry were
/// informed of all others, the number of messages at a simultaneous start, and the time each entry
/// takes to rank the others, would grow with the square of the fleet size.
pub fn select_core_entries(ranking: &[Candidate], advertised: &BTreeSet<VmId>) -> Vec<VmId> {
    let mut remaining = core_entry_counts(ranking, advertised);
    let selected = ranking.iter().filter(|entry| {
        let Some(remaining) = remaining.get_mut(&entry.failure_domain) else { return false };
        let is_selected = *remaining > 0;
        *remaining = remaining.saturating_sub(1);
        is_selected
    });
    selected.map(|entry| entry.vm.clone()).collect()
}

/// Returns the number of core entries to select per failure domain.
fn core_entry_counts<'a>(
    ranking: &'a [Candidate],
    advertised: &BTreeSet<VmId>,
) -> BTreeMap<&'a FailureDomain, usize> {
    let mut counts: BTreeMap<&FailureDomain, usize> = BTreeMap::new();
    for entry in ranking {
        *counts.entry(&entry.failure_domain).or_default() +=
            usize::from(advertised.contains(&entry.vm));
    }
    counts.values_mut().for_each(|count| *count = CORE_ENTRIES_MIN.max(*count + SPARE_ENTRIES));
    counts
}
