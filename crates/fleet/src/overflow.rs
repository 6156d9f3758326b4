//! Selection of overflow entries: those advertised in addition to overloaded ones.

use std::collections::BTreeSet;

use shallotfork_types::{FailureDomain, VmId};

use crate::advertised::{ADVERTISED_MAX, total_capacity};
use crate::ranking::Candidate;

/// Overflow entries per overloaded entry. Callers follow a new response only after seconds, so a
/// single step has to be enough for most bursts.
const OVERFLOW_PER_OVERLOADED: usize = 2;

/// Returns the `usual` advertised entries and, in each failure domain with overloaded ones, the
/// entries that rank next.
///
/// The number of requests that a VM can carry is an estimate: a burst, callers that repeat requests
/// at once or a slow processor can exceed it. Requests then wait so long that nearly all work is
/// done for callers that have given up and repeat their requests. The overload outlasts the burst
/// while the other VMs of the failure domain are idle.
///
/// Callers choose among the advertised entries with equal probability, so smaller entries are added
/// only where all of them together carry more than the large ones alone.
pub fn add_overflow_entries(
    usual: &[Candidate],
    serving: &[Candidate],
    overloaded: &BTreeSet<VmId>,
) -> Vec<Candidate> {
    let domains: BTreeSet<&FailureDomain> =
        usual.iter().map(|entry| &entry.failure_domain).collect();
    let mut advertised: BTreeSet<&VmId> = usual.iter().map(|entry| &entry.vm).collect();
    for domain in domains {
        let local = serving.iter().filter(|entry| entry.failure_domain == *domain);
        let local: Vec<&Candidate> = local.take(ADVERTISED_MAX).collect();
        let usual_count = local.iter().filter(|entry| advertised.contains(&entry.vm)).count();
        let overloaded_count = local.iter().filter(|entry| overloaded.contains(&entry.vm)).count();
        let max_count = local
            .len()
            .min(usual_count + overloaded_count * OVERFLOW_PER_OVERLOADED)
            .max(count_exceeding_overloaded(&local, overloaded));
        let best_count =
            (usual_count..=max_count).max_by_key(|count| total_capacity_or_zero(*count, &local));
        advertised
            .extend(local.iter().take(best_count.unwrap_or(usual_count)).map(|entry| &entry.vm));
    }
    serving.iter().filter(|entry| advertised.contains(&entry.vm)).cloned().collect()
}

fn total_capacity_or_zero(count: usize, local: &[&Candidate]) -> u64 {
    if count == 0 { 0 } else { total_capacity(count, local) }
}

/// Returns the smallest number of entries that together carry more than the leading run of
/// overloaded entries, so that smaller entries do not stay idle when all larger ones are
/// overloaded.
///
/// Returns 0 if the first entry is not overloaded, if the entry after the run is missing or not
/// smaller, or if no number of entries carries more.
fn count_exceeding_overloaded(local: &[&Candidate], overloaded: &BTreeSet<VmId>) -> usize {
    let leading = local.iter().take_while(|entry| overloaded.contains(&entry.vm)).count();
    let next_is_smaller = leading > 0
        && leading < local.len()
        && local[leading].capacity < local[leading - 1].capacity;
    if !next_is_smaller {
        return 0;
    }
    let count = (leading + 1..=local.len())
        .find(|count| total_capacity(*count, local) > total_capacity(leading, local));
    count.unwrap_or(0)
}
