//! Whom callers are sent to.

#![expect(clippy::unwrap_used, reason = "a test builder may end the test")]

use std::collections::{BTreeMap, BTreeSet};
use std::iter;

use quickcheck::QuickCheck;
use shallotfork_fleet::{
    AdvertisedEntry, Candidate, Regions, active_entries, endpoints_for_caller, fleet_order,
    with_helpers,
};
use shallotfork_types::{Endpoint, FailureDomain, PerSecond, Region, VmId};

const HALLS: usize = 3;

fn hall(number: usize) -> FailureDomain {
    FailureDomain::new(&format!("hall-{number}")).unwrap()
}

fn active(number: usize, domain: usize, capacity: u32) -> AdvertisedEntry {
    AdvertisedEntry {
        vm: VmId::new(&format!("vm-{number}")).unwrap(),
        failure_domain: hall(domain),
        callers: format!("10.0.0.{number}:80").parse().unwrap(),
        capacity: PerSecond::new(capacity),
    }
}

/// Entries in three halls in turn; `(count, strength)`.
fn fleet(strengths: &[(usize, u32)]) -> Vec<Candidate> {
    let all = strengths.iter().flat_map(|(count, capacity)| vec![*capacity; *count]);
    let candidate = |(number, capacity)| Candidate {
        vm: VmId::new(&format!("vm-{number}")).unwrap(),
        failure_domain: hall(number % HALLS),
        capacity: PerSecond::new(capacity),
    };
    fleet_order(all.enumerate().map(candidate).collect())
}

/// How many entries are named in each hall.
fn named(targets: usize, order: &[Candidate]) -> [usize; HALLS] {
    let mut counts = [0; HALLS];
    for entry in active_entries(targets, order) {
        let place = (0..HALLS).find(|number| hall(*number) == entry.failure_domain).unwrap();
        counts[place] += 1;
    }
    counts
}

/// One entry was named for callers in three halls. Two of three requests crossed to another hall on
/// their way to it, and a burst to 1.7 times the load of 36 servers of 6 slots took more processor
/// time than its VM has: for 12 s after the burst nobody was answered in good time.
#[test]
fn each_failure_domain_has_an_entry_of_its_own() {
    assert_eq!(named(0, &fleet(&[(14, 333)])), [1, 1, 1]);
    assert_eq!(named(36, &fleet(&[(19, 333)])), [1, 1, 1]);
    assert_eq!(named(389, &fleet(&[(6, 833), (135, 104)])), [1, 1, 1]);
    assert_eq!(named(18_000, &fleet(&[(300, 833)])), [44, 44, 44]);
    assert_eq!(named(500, &[]), [0, 0, 0]);
}

/// While the strong VMs of a fleet were restarted one after the other, callers were sent to one or
/// two of them and a weak one, which got as many requests as the strong ones and answered after
/// seconds.
#[test]
fn a_weak_entry_is_named_beside_strong_ones_only_if_all_together_carry_more() {
    let targets = 389;
    assert_eq!(named(targets, &fleet(&[(2, 833), (135, 104)])), [1, 1, 0], "the strong ones do");
    assert_eq!(named(targets, &fleet(&[(1, 833), (135, 104)])), [1, 8, 8], "one does not");
    assert_eq!(named(targets, &fleet(&[(1, 833), (3, 104)])), [1, 0, 0], "better than four");
}

#[test]
fn somebody_is_named_whenever_somebody_lives() {
    fn property(strengths: Vec<u16>, targets: u16) -> bool {
        let strengths: Vec<(usize, u32)> =
            strengths.into_iter().map(|capacity| (1, capacity.into())).collect();
        let order = fleet(&strengths);
        let active = active_entries(targets.into(), &order);
        let places = active.iter().map(|entry| order.iter().position(|other| other == entry));
        active.is_empty() == order.is_empty() && places.is_sorted()
    }
    QuickCheck::new().tests(300).quickcheck(property as fn(Vec<u16>, u16) -> bool);
}

/// A caller in a hall without an entry, or one that does not say where it is, is sent somewhere.
#[test]
fn a_caller_is_sent_to_its_own_failure_domain() {
    let entry = |number, domain| active(number, domain, 833);
    let none = Regions::new();
    let named = [entry(1, 0), entry(2, 1), entry(3, 1)];
    let all: Vec<Endpoint> = named.iter().map(|entry| entry.callers).collect();
    let sent: BTreeMap<usize, Vec<Endpoint>> = (0..HALLS)
        .map(|number| (number, endpoints_for_caller(&named, &none, Some(&hall(number)))))
        .collect();
    assert_eq!(sent[&0], all[..1]);
    assert_eq!(sent[&1], all[1..]);
    assert_eq!(sent[&2], all);
    assert_eq!(endpoints_for_caller(&named, &none, None), all);
    assert!(endpoints_for_caller(&[], &none, Some(&hall(0))).is_empty());
}

/// Guards against callers who know a single address and wait, when its entry is killed, until they may
/// ask for another one.
#[test]
fn a_caller_is_told_other_entries_of_its_region() {
    let entry = |number, capacity| active(number, number, capacity);
    let region = |name: &str| Region::new(name).unwrap();
    let regions: Regions =
        [(hall(0), region("north")), (hall(1), region("north")), (hall(2), region("south"))].into();
    let sent = |active: &[AdvertisedEntry], number: usize| {
        endpoints_for_caller(active, &regions, Some(&hall(number))).len()
    };
    let alike = [entry(0, 833), entry(1, 500), entry(2, 833)];
    assert_eq!((0..HALLS).map(|number| sent(&alike, number)).collect::<Vec<_>>(), [2, 2, 1]);
    let unlike = [entry(0, 833), entry(1, 104), entry(2, 833)];
    assert_eq!((0..HALLS).map(|number| sent(&unlike, number)).collect::<Vec<_>>(), [1, 1, 1]);
    assert_eq!(sent(&alike[1..], 0), 1, "the only one of the region");
    assert_eq!(sent(&alike[2..], 0), 1, "the only one there is");
}

/// How many entries are named in each hall, while the first `late` of the first one's hall are behind.
fn named_with(targets: usize, order: &[Candidate], late: usize) -> Vec<usize> {
    let usual = active_entries(targets, order);
    let hall = &usual[0].failure_domain;
    let here = order.iter().filter(|entry| entry.failure_domain == *hall);
    let behind: BTreeSet<VmId> = here.take(late).map(|entry| entry.vm.clone()).collect();
    let named = with_helpers(&usual, order, &behind);
    let count = |number: usize| {
        named.iter().filter(|entry| entry.failure_domain == self::hall(number)).count()
    };
    let others = (0..HALLS).filter(|number| self::hall(*number) != *hall).map(count);
    let here = named.iter().filter(|entry| entry.failure_domain == *hall).count();
    iter::once(here).chain(others).collect()
}

/// Guards against a burst that one entry has no processor time for, while the others of its failure
/// domain stand idle.
#[test]
fn an_entry_that_is_behind_gets_others_beside_it() {
    let small = fleet(&[(15, 333)]);
    assert_eq!(named_with(33, &small, 0), [1, 1, 1]);
    assert_eq!(named_with(33, &small, 1), [3, 1, 1]);
    assert_eq!(named_with(33, &small, 3), [5, 1, 1], "no more than there are");
}

/// Guards against a third of a busy place's callers being sent to a VM with an eighth of the processor
/// time.
#[test]
fn weak_entries_help_only_where_all_together_carry_more() {
    let grown = fleet(&[(6, 833), (135, 104)]);
    assert_eq!(named_with(389, &grown, 1), [2, 1, 1], "the other strong one alone");
    let few_weak = fleet(&[(6, 833), (15, 104)]);
    assert_eq!(named_with(389, &few_weak, 2), [2, 1, 1], "five weak ones would not do");
    assert_eq!(named_with(389, &grown, 10), [21, 1, 1], "so many would");
}

/// Guards against a failure domain whose strong entries are all behind while its many weak ones, which
/// could carry several times as much, stand idle.
#[test]
fn weak_entries_help_once_every_strong_one_is_behind() {
    const STRONG_TOGETHER: usize = 2 * 833;
    let grown = fleet(&[(6, 833), (135, 104)]);
    let named_here = named_with(389, &grown, 2)[0];
    assert!(named_here * 104 > STRONG_TOGETHER, "{named_here} are named");
}

#[test]
fn nobody_is_left_out_for_being_behind() {
    fn property(strengths: Vec<u16>, targets: u16, late: Vec<u8>) -> bool {
        let strengths: Vec<(usize, u32)> =
            strengths.into_iter().map(|capacity| (1, capacity.into())).collect();
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
