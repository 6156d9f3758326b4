//! The entries of which all others have to know.

use std::collections::{BTreeMap, BTreeSet};

use shallotfork_types::{FailureDomain, VmId};

use crate::ranking::Candidate;

/// Entries of a failure domain that the whole fleet knows, at least. Half of a fleet can be lost at
/// once; that all of these are among them is then as good as impossible.
const HEADS_MIN: usize = 12;
/// Entries that the whole fleet knows beside those that callers are sent to, so that the next ones in
/// turn are known when some of these are lost.
const SPARE: usize = 3;

/// The first entries of each failure domain, of live ones in the order of
/// [`fleet_order`](crate::fleet_order), and in that order.
///
/// Whom callers are sent to and who reads follows from these alone. Were all entries told of all
/// others, the messages at a common start and the time that each takes for an order of them would
/// grow with the square of the fleet.
pub fn heads(order: &[Candidate], named: &BTreeSet<VmId>) -> Vec<VmId> {
    let mut left = wanted(order, named);
    let first = order.iter().filter(|entry| {
        let Some(left) = left.get_mut(&entry.failure_domain) else { return false };
        let takes = *left > 0;
        *left = left.saturating_sub(1);
        takes
    });
    first.map(|entry| entry.vm.clone()).collect()
}

/// How many are wanted in each failure domain.
fn wanted<'a>(
    order: &'a [Candidate],
    named: &BTreeSet<VmId>,
) -> BTreeMap<&'a FailureDomain, usize> {
    let mut wanted: BTreeMap<&FailureDomain, usize> = BTreeMap::new();
    for entry in order {
        *wanted.entry(&entry.failure_domain).or_default() += usize::from(named.contains(&entry.vm));
    }
    wanted.values_mut().for_each(|count| *count = HEADS_MIN.max(*count + SPARE));
    wanted
}
