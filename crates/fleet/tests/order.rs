//! The order of entries.

#![expect(clippy::unwrap_used, reason = "a test builder may end the test")]

use std::collections::BTreeSet;

use quickcheck::QuickCheck;
use shallotfork_fleet::{Candidate, fleet_order};
use shallotfork_types::{FailureDomain, PerSecond, VmId};

fn vm(number: usize) -> VmId {
    VmId::new(&format!("vm-{number}")).unwrap()
}

fn candidate(number: usize, capacity: u32) -> Candidate {
    let failure_domain = FailureDomain::new(&format!("hall-{}", number % 3)).unwrap();
    Candidate { vm: vm(number), failure_domain, capacity: PerSecond::new(capacity) }
}

/// Entries agree on the order whatever the order in which they heard of each other.
#[test]
fn the_order_is_the_same_for_all() {
    fn property(entries: Vec<u8>) -> bool {
        let mut candidates: Vec<Candidate> = entries
            .iter()
            .enumerate()
            .map(|(number, capacity)| candidate(number, (*capacity).into()))
            .collect();
        let order = fleet_order(candidates.clone());
        candidates.reverse();
        order == fleet_order(candidates)
    }
    QuickCheck::new().tests(300).quickcheck(property as fn(Vec<u8>) -> bool);
}

#[test]
fn strong_entries_come_first() {
    let order = fleet_order(vec![candidate(1, 100), candidate(2, 900), candidate(3, 100)]);
    assert_eq!(order.first().map(|candidate| candidate.vm.as_str()), Some("vm-2"));
}

/// Six strong VMs stood in three halls, and two of the three that were named in one of them: half
/// of all requests crossed to another hall.
#[test]
fn failure_domains_take_turns_among_equally_strong_entries() {
    let order = fleet(&[(6, 833), (30, 104)]);
    for halls in [&order[..3], &order[3..6], &order[6..9]] {
        let halls: BTreeSet<&FailureDomain> =
            halls.iter().map(|candidate| &candidate.failure_domain).collect();
        assert_eq!(halls.len(), 3, "{halls:?}");
    }
}

fn fleet(strengths: &[(usize, u32)]) -> Vec<Candidate> {
    let all = strengths.iter().flat_map(|(count, capacity)| vec![*capacity; *count]);
    fleet_order(all.enumerate().map(|(number, capacity)| candidate(number, capacity)).collect())
}
