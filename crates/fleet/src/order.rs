//! The order of entries, and how many of them callers are sent to.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use shallotfork_types::{FailureDomain, PerSecond, VmId, rendezvous_weight};

/// Names the ranking; every entry must compute the same one.
const RANKING: &str = "callers";
/// Requests a second that a target brings to its entry; the users' targets get 2.4 to 4.5 on quiet
/// days, and bursts bring up to twice as many. With 5, an entry that can carry 166 requests a second
/// would be named alone for 147, with nothing to spare for a burst.
const REQUESTS_PER_TARGET: u64 = 6;
/// Part of that load which is enough to go without weaker entries, as a divisor. Callers choose
/// among the named entries with equal chances, so that the weakest of them decides how much all of
/// them carry: two strong entries with half of the processor to spare beat two strong and ten weak
/// ones.
const ENOUGH_DIVISOR: u64 = 2;
/// Entries that callers are sent to at most; the platform's callers read no more addresses in an
/// answer.
const ACTIVE_MAX: usize = 64;

/// A live entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Its name.
    pub vm: VmId,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// Requests that it could carry.
    pub strength: PerSecond,
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
        Reverse((candidate.strength, weight))
    });
    let mut seen: BTreeMap<(PerSecond, FailureDomain), usize> = BTreeMap::new();
    candidates.sort_by_cached_key(|candidate| {
        let alike = (candidate.strength, candidate.failure_domain.clone());
        let place = seen.entry(alike).or_default();
        *place += 1;
        (Reverse(candidate.strength), *place)
    });
    candidates
}

/// How many entries callers are sent to, of those in the order of [`fleet_order`].
///
/// As few as can carry everything, since a process that sees all requests of a target fills its
/// slots best; but if one does not suffice, one in each failure domain that has strong ones, so that
/// most requests cross to no other. Without a bound by strength, the stop of the strong entries of a
/// fleet sends a third of all callers to a VM of a fifth of their processor and a twentieth of their
/// link.
pub fn active_count(targets: usize, order: &[Candidate]) -> usize {
    let named = order.iter().take(ACTIVE_MAX);
    let strengths: Vec<u64> = named.map(|entry| entry.strength.value().into()).collect();
    let wanted = targets as u64 * REQUESTS_PER_TARGET;
    let carried = |count: &usize| *count as u64 * strengths[*count - 1];
    let fewest = (1..=strengths.len()).find(|count| carried(count) >= wanted / ENOUGH_DIVISOR);
    let Some(fewest) = fewest else {
        return (1..=strengths.len()).max_by_key(carried).unwrap_or(1);
    };
    let alike = strengths[fewest - 1] / 2;
    let alike = strengths.iter().take_while(|strength| **strength >= alike).count();
    let enough = (fewest..=alike).find(|count| carried(count) >= wanted).unwrap_or(alike);
    if enough == 1 { 1 } else { enough.max(domains(&order[..alike])) }
}

fn domains(order: &[Candidate]) -> usize {
    order.iter().map(|candidate| &candidate.failure_domain).collect::<BTreeSet<_>>().len()
}
