//! Ranking of entries.

#![expect(clippy::unwrap_used, reason = "a test builder may end the test")]

use std::collections::BTreeSet;

use quickcheck::QuickCheck;
use shallotfork_fleet::{Candidate, rank_entries};
use shallotfork_types::{FailureDomain, PerSecond, VmId};

fn vm(number: usize) -> VmId {
    VmId::new(&format!("vm-{number}")).unwrap()
}

fn candidate(number: usize, capacity: u32) -> Candidate {
    let failure_domain = FailureDomain::new(&format!("hall-{}", number % 3)).unwrap();
    Candidate { vm: vm(number), failure_domain, capacity: PerSecond::new(capacity) }
}

/// Guards against entries that disagree on the ranking because they met in a different order.
#[test]
fn the_ranking_does_not_depend_on_the_input_order() {
    fn property(capacities: Vec<u8>) -> bool {
        let mut candidates: Vec<Candidate> = capacities
            .iter()
            .enumerate()
            .map(|(number, capacity)| candidate(number, (*capacity).into()))
            .collect();
        let ranking = rank_entries(candidates.clone());
        candidates.reverse();
        ranking == rank_entries(candidates)
    }
    QuickCheck::new().tests(300).quickcheck(property as fn(Vec<u8>) -> bool);
}

#[test]
fn entries_of_higher_capacity_rank_first() {
    let ranking = rank_entries(vec![candidate(1, 100), candidate(2, 900), candidate(3, 100)]);
    assert_eq!(ranking.first().map(|candidate| candidate.vm.as_str()), Some("vm-2"));
}

/// Guards against a concentration in one failure domain. With six large VMs in three domains, two
/// of the three advertised ones were in the same domain, and half of all requests crossed to
/// another one.
#[test]
fn failure_domains_alternate_among_entries_of_equal_capacity() {
    let ranking = fleet(&[(6, 833), (30, 104)]);
    for triple in [&ranking[..3], &ranking[3..6], &ranking[6..9]] {
        let domains: BTreeSet<&FailureDomain> =
            triple.iter().map(|candidate| &candidate.failure_domain).collect();
        assert_eq!(domains.len(), 3, "{domains:?}");
    }
}

fn fleet(groups: &[(usize, u32)]) -> Vec<Candidate> {
    let capacities = groups.iter().flat_map(|(count, capacity)| vec![*capacity; *count]);
    rank_entries(
        capacities.enumerate().map(|(number, capacity)| candidate(number, capacity)).collect(),
    )
}
