//! Which entries are named beside those that are behind with their work.

use std::collections::BTreeSet;

use shallotfork_types::{FailureDomain, VmId};

use crate::active::{ACTIVE_MAX, carried};
use crate::order::Candidate;

/// Entries that are named in addition for each one that is behind. Callers follow an answer after
/// seconds only, so that one step has to be enough for most bursts.
const HELPERS: usize = 2;

/// The entries that callers are `usually` sent to, and the ones after them in each failure domain where
/// some are behind.
///
/// How many requests a VM can carry is only a guess until they come: a burst, callers that repeat at
/// once, or a slow processor takes more than it has. What it reads then has waited so long that
/// nearly all of its work is for callers that have given up, who ask again, and so it goes on after the
/// burst, while the other VMs of its failure domain stand idle.
///
/// Callers choose among those that are named with equal chances, so that weaker ones are added only
/// where all together carry more than the strong ones do.
pub fn with_helpers(
    usual: &[Candidate],
    serving: &[Candidate],
    behind: &BTreeSet<VmId>,
) -> Vec<Candidate> {
    let domains: BTreeSet<&FailureDomain> =
        usual.iter().map(|entry| &entry.failure_domain).collect();
    let mut named: BTreeSet<&VmId> = usual.iter().map(|entry| &entry.vm).collect();
    for domain in domains {
        let here = serving.iter().filter(|entry| entry.failure_domain == *domain);
        let here: Vec<&Candidate> = here.take(ACTIVE_MAX).collect();
        let usually = here.iter().filter(|entry| named.contains(&entry.vm)).count();
        let late = here.iter().filter(|entry| behind.contains(&entry.vm)).count();
        let most =
            here.len().min(usually + late * HELPERS).max(count_exceeding_behind(&here, behind));
        let best = (usually..=most).max_by_key(|count| carried_by(*count, &here));
        named.extend(here.iter().take(best.unwrap_or(usually)).map(|entry| &entry.vm));
    }
    serving.iter().filter(|entry| named.contains(&entry.vm)).cloned().collect()
}

fn carried_by(count: usize, here: &[&Candidate]) -> u64 {
    if count == 0 { 0 } else { carried(count, here) }
}

/// Returns the smallest number of entries that together carry more than the leading run of entries that
/// are behind, so that weaker entries do not stay idle when all stronger ones are overloaded.
///
/// Returns 0 if the first entry is not behind, if the entry after the run is missing or not weaker, or if
/// no number of entries carries more.
fn count_exceeding_behind(here: &[&Candidate], behind: &BTreeSet<VmId>) -> usize {
    let leading = here.iter().take_while(|entry| behind.contains(&entry.vm)).count();
    let next_is_weaker =
        leading > 0 && leading < here.len() && here[leading].capacity < here[leading - 1].capacity;
    if !next_is_weaker {
        return 0;
    }
    let count =
        (leading + 1..=here.len()).find(|count| carried(*count, here) > carried(leading, here));
    count.unwrap_or(0)
}
