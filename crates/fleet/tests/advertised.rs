//! Selection of the entries that are advertised to callers.

#![expect(clippy::unwrap_used, reason = "a test builder may end the test")]

use std::collections::{BTreeMap, BTreeSet};
use std::iter;

use quickcheck::QuickCheck;
use shallotfork_fleet::{
    AdvertisedEntry, Candidate, FleetLoad, Regions, add_overflow_entries, endpoints_for_caller,
    rank_entries, select_advertised_entries,
};
use shallotfork_types::{Endpoint, FailureDomain, PerSecond, Region, VmId};

const DOMAINS: usize = 3;

fn domain(number: usize) -> FailureDomain {
    FailureDomain::new(&format!("hall-{number}")).unwrap()
}

fn advertised_entry(number: usize, domain_number: usize, capacity: u32) -> AdvertisedEntry {
    AdvertisedEntry {
        vm: VmId::new(&format!("vm-{number}")).unwrap(),
        failure_domain: domain(domain_number),
        callers: format!("10.0.0.{number}:80").parse().unwrap(),
        capacity: PerSecond::new(capacity),
    }
}

/// Ranks entries of `(count, capacity)` groups, spread over three failure domains in rotation.
fn fleet(groups: &[(usize, u32)]) -> Vec<Candidate> {
    let capacities = groups.iter().flat_map(|(count, capacity)| vec![*capacity; *count]);
    let candidate = |(number, capacity)| Candidate {
        vm: VmId::new(&format!("vm-{number}")).unwrap(),
        failure_domain: domain(number % DOMAINS),
        capacity: PerSecond::new(capacity),
    };
    rank_entries(capacities.enumerate().map(candidate).collect())
}

/// Returns the number of advertised entries per failure domain.
fn advertised_counts(target_count: usize, ranking: &[Candidate]) -> [usize; DOMAINS] {
    let mut counts = [0; DOMAINS];
    for entry in select_advertised_entries(FleetLoad::assumed(target_count), ranking) {
        let index = (0..DOMAINS).find(|number| domain(*number) == entry.failure_domain).unwrap();
        counts[index] += 1;
    }
    counts
}

/// Guards against a single advertised entry for three failure domains. Two of three requests
/// crossed domains on their way to it, and a burst of 1.7 times the load of 36 targets with 6 slots
/// each took more processor time than its VM has: no response was in time until 12 s after the
/// burst.
#[test]
fn each_failure_domain_advertises_an_entry() {
    assert_eq!(advertised_counts(0, &fleet(&[(14, 333)])), [1, 1, 1]);
    assert_eq!(advertised_counts(36, &fleet(&[(19, 333)])), [1, 1, 1]);
    assert_eq!(advertised_counts(389, &fleet(&[(6, 833), (135, 104)])), [1, 1, 1]);
    assert_eq!(advertised_counts(18_000, &fleet(&[(300, 833)])), [44, 44, 44]);
    assert_eq!(advertised_counts(500, &[]), [0, 0, 0]);
}

/// Guards against a small entry that is advertised next to one or two large ones, as during a
/// rolling restart of the large VMs: it gets as many requests as these and responds after seconds.
#[test]
fn small_entries_are_advertised_only_if_they_raise_total_capacity() {
    let targets = 389;
    assert_eq!(
        advertised_counts(targets, &fleet(&[(2, 833), (135, 104)])),
        [1, 1, 0],
        "two large entries suffice"
    );
    assert_eq!(
        advertised_counts(targets, &fleet(&[(1, 833), (135, 104)])),
        [1, 8, 8],
        "one large entry does not suffice"
    );
    assert_eq!(
        advertised_counts(targets, &fleet(&[(1, 833), (3, 104)])),
        [1, 0, 0],
        "one large entry carries more than four entries"
    );
}

#[test]
fn some_entry_is_advertised_whenever_one_is_live() {
    fn property(capacities: Vec<u16>, targets: u16) -> bool {
        let groups: Vec<(usize, u32)> =
            capacities.into_iter().map(|capacity| (1, capacity.into())).collect();
        let ranking = fleet(&groups);
        let advertised = select_advertised_entries(FleetLoad::assumed(targets.into()), &ranking);
        let positions =
            advertised.iter().map(|entry| ranking.iter().position(|other| other == entry));
        advertised.is_empty() == ranking.is_empty() && positions.is_sorted()
    }
    QuickCheck::new().tests(300).quickcheck(property as fn(Vec<u16>, u16) -> bool);
}

/// Guards against callers without an endpoint: those in a failure domain without an entry, and
/// those that do not state their failure domain.
#[test]
fn callers_get_the_entries_of_their_failure_domain() {
    let entry = |number, domain| advertised_entry(number, domain, 833);
    let no_regions = Regions::new();
    let advertised = [entry(1, 0), entry(2, 1), entry(3, 1)];
    let all: Vec<Endpoint> = advertised.iter().map(|entry| entry.callers).collect();
    let endpoints: BTreeMap<usize, Vec<Endpoint>> = (0..DOMAINS)
        .map(|number| {
            (number, endpoints_for_caller(&advertised, &no_regions, Some(&domain(number))))
        })
        .collect();
    assert_eq!(endpoints[&0], all[..1]);
    assert_eq!(endpoints[&1], all[1..]);
    assert_eq!(endpoints[&2], all);
    assert_eq!(endpoints_for_caller(&advertised, &no_regions, None), all);
    assert!(endpoints_for_caller(&[], &no_regions, Some(&domain(0))).is_empty());
}

/// Guards against callers that know a single endpoint and, when its entry is killed, wait until
/// they may request another one.
#[test]
fn callers_get_the_similar_entries_of_their_region() {
    let entry = |number, capacity| advertised_entry(number, number, capacity);
    let region = |name: &str| Region::new(name).unwrap();
    let regions: Regions =
        [(domain(0), region("north")), (domain(1), region("north")), (domain(2), region("south"))]
            .into();
    let endpoint_count = |advertised: &[AdvertisedEntry], number: usize| {
        endpoints_for_caller(advertised, &regions, Some(&domain(number))).len()
    };
    let similar = [entry(0, 833), entry(1, 500), entry(2, 833)];
    assert_eq!(
        (0..DOMAINS).map(|number| endpoint_count(&similar, number)).collect::<Vec<_>>(),
        [2, 2, 1]
    );
    let different = [entry(0, 833), entry(1, 104), entry(2, 833)];
    assert_eq!(
        (0..DOMAINS).map(|number| endpoint_count(&different, number)).collect::<Vec<_>>(),
        [1, 1, 1]
    );
    assert_eq!(endpoint_count(&similar[1..], 0), 1, "the only entry of the region");
    assert_eq!(endpoint_count(&similar[2..], 0), 1, "the only entry of the fleet");
}

/// Returns the number of advertised entries per failure domain, starting with the domain of the
/// first advertised entry, while the first `overloaded_count` entries of that domain are
/// overloaded.
fn counts_with_overflow(
    target_count: usize,
    ranking: &[Candidate],
    overloaded_count: usize,
) -> Vec<usize> {
    let usual = select_advertised_entries(FleetLoad::assumed(target_count), ranking);
    let first_domain = &usual[0].failure_domain;
    let local = ranking.iter().filter(|entry| entry.failure_domain == *first_domain);
    let overloaded: BTreeSet<VmId> =
        local.take(overloaded_count).map(|entry| entry.vm.clone()).collect();
    let advertised = add_overflow_entries(&usual, ranking, &overloaded);
    let count = |number: usize| {
        advertised.iter().filter(|entry| entry.failure_domain == self::domain(number)).count()
    };
    let others = (0..DOMAINS).filter(|number| self::domain(*number) != *first_domain).map(count);
    let local = advertised.iter().filter(|entry| entry.failure_domain == *first_domain).count();
    iter::once(local).chain(others).collect()
}

/// Guards against a burst that exceeds the processor time of one entry while the others of its
/// failure domain are idle.
#[test]
fn overloaded_entries_get_overflow_entries() {
    let small = fleet(&[(15, 333)]);
    assert_eq!(counts_with_overflow(33, &small, 0), [1, 1, 1]);
    assert_eq!(counts_with_overflow(33, &small, 1), [3, 1, 1]);
    assert_eq!(counts_with_overflow(33, &small, 3), [5, 1, 1], "all entries of the domain");
}

/// Guards against sending a third of the callers of a busy failure domain to a VM with an eighth of
/// the processor time.
#[test]
fn small_overflow_entries_must_raise_total_capacity() {
    let many_small = fleet(&[(6, 833), (135, 104)]);
    assert_eq!(counts_with_overflow(389, &many_small, 1), [2, 1, 1], "only the other large entry");
    let few_small = fleet(&[(6, 833), (15, 104)]);
    assert_eq!(
        counts_with_overflow(389, &few_small, 2),
        [2, 1, 1],
        "five small entries carry less"
    );
    assert_eq!(
        counts_with_overflow(389, &many_small, 10),
        [21, 1, 1],
        "this many entries carry more"
    );
}

/// Guards against a failure domain whose large entries are all overloaded while its many small
/// ones, which could carry several times as much, are idle.
#[test]
fn small_entries_are_added_when_all_large_ones_are_overloaded() {
    const LARGE_TOTAL: usize = 2 * 833;
    let many_small = fleet(&[(6, 833), (135, 104)]);
    let local_count = counts_with_overflow(389, &many_small, 2)[0];
    assert!(local_count * 104 > LARGE_TOTAL, "{local_count} entries are advertised");
}

#[test]
fn overloaded_entries_stay_advertised() {
    fn property(capacities: Vec<u16>, targets: u16, overloaded: Vec<u8>) -> bool {
        let groups: Vec<(usize, u32)> =
            capacities.into_iter().map(|capacity| (1, capacity.into())).collect();
        let ranking = fleet(&groups);
        let usual = select_advertised_entries(FleetLoad::assumed(targets.into()), &ranking);
        let vm = |number: u8| VmId::new(&format!("vm-{number}")).unwrap();
        let overloaded: BTreeSet<VmId> = overloaded.into_iter().map(vm).collect();
        let advertised = add_overflow_entries(&usual, &ranking, &overloaded);
        let positions =
            advertised.iter().map(|entry| ranking.iter().position(|other| other == entry));
        usual.iter().all(|entry| advertised.contains(entry)) && positions.is_sorted()
    }
    QuickCheck::new().tests(300).quickcheck(property as fn(Vec<u16>, u16, Vec<u8>) -> bool);
}
