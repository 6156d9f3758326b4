//! Whom callers are sent to beside an entry that is behind with its work.

#![expect(clippy::unwrap_used, reason = "a test builder may end the test")]

use std::collections::BTreeSet;

use quickcheck::QuickCheck;
use shallotfork_fleet::{Candidate, active_entries, fleet_order, with_helpers};
use shallotfork_types::{FailureDomain, PerSecond, VmId};

const HALLS: usize = 3;

/// Entries in three halls in turn; `(count, strength)`.
fn fleet(strengths: &[(usize, u32)]) -> Vec<Candidate> {
    let all = strengths.iter().flat_map(|(count, strength)| vec![*strength; *count]);
    let candidate = |(number, strength)| Candidate {
        vm: VmId::new(&format!("vm-{number}")).unwrap(),
        failure_domain: FailureDomain::new(&format!("hall-{}", number % HALLS)).unwrap(),
        strength: PerSecond::new(strength),
    };
    fleet_order(all.enumerate().map(candidate).collect())
}

/// How many entries are named in each hall, while the first `late` of the first one's hall are behind.
fn named(targets: usize, order: &[Candidate], late: usize) -> Vec<usize> {
    let usual = active_entries(targets, order);
    let hall = &usual[0].failure_domain;
    let here = order.iter().filter(|entry| entry.failure_domain == *hall);
    let behind: BTreeSet<VmId> = here.take(late).map(|entry| entry.vm.clone()).collect();
    let named = with_helpers(&usual, order, &behind);
    let mut halls: Vec<FailureDomain> = vec![hall.clone()];
    halls.extend(named.iter().map(|entry| entry.failure_domain.clone()));
    let mut seen = BTreeSet::new();
    halls.retain(|hall| seen.insert(hall.clone()));
    let count =
        |hall: &FailureDomain| named.iter().filter(|entry| entry.failure_domain == *hall).count();
    halls.iter().map(count).collect()
}

/// Guards against a burst that one entry has no processor time for, while the others of its failure
/// domain stand idle.
#[test]
fn an_entry_that_is_behind_gets_others_beside_it() {
    let small = fleet(&[(15, 333)]);
    assert_eq!(named(33, &small, 0), [1, 1, 1]);
    assert_eq!(named(33, &small, 1), [3, 1, 1]);
    assert_eq!(named(33, &small, 3), [5, 1, 1], "no more than there are");
}

/// Guards against a third of a busy place's callers being sent to a VM with an eighth of the processor
/// time.
#[test]
fn weak_entries_help_only_where_all_together_carry_more() {
    let grown = fleet(&[(6, 833), (135, 104)]);
    assert_eq!(named(389, &grown, 1), [2, 1, 1], "the other strong one alone");
    assert_eq!(named(389, &grown, 2), [2, 1, 1], "weak ones would not do");
    assert_eq!(named(389, &grown, 10), [21, 1, 1], "so many would");
}

#[test]
fn nobody_is_left_out_for_being_behind() {
    fn property(strengths: Vec<u16>, targets: u16, late: Vec<u8>) -> bool {
        let strengths: Vec<(usize, u32)> =
            strengths.into_iter().map(|strength| (1, strength.into())).collect();
        let order = fleet(&strengths);
        let usual = active_entries(targets.into(), &order);
        let vm = |number: u8| VmId::new(&format!("vm-{number}")).unwrap();
        let behind: BTreeSet<VmId> = late.into_iter().map(vm).collect();
        let named = with_helpers(&usual, &order, &behind);
        let places = named.iter().map(|entry| order.iter().position(|other| other == entry));
        usual.iter().all(|entry| named.contains(entry)) && places.is_sorted()
    }
    QuickCheck::new().tests(300).quickcheck(property as fn(Vec<u16>, u16, Vec<u8>) -> bool);
}
