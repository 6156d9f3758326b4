//! Selection of heartbeat contacts in fleets of hundreds of entries.

#![expect(clippy::unwrap_used, reason = "a test builder may end the test")]

use std::collections::{BTreeMap, BTreeSet};

use shallotfork_fleet::{
    Candidate, Contacts, FleetLoad, FleetPosition, choose_readers, local_interval_periods,
    may_become_reader, rank_entries, select_advertised_entries, select_contacts,
    select_core_entries,
};
use shallotfork_types::{FailureDomain, PerSecond, VmId};

const DOMAINS: usize = 5;
const TARGET_COUNT: usize = 809;
const LARGE_CAPACITY: u32 = 833;
const SMALL_CAPACITY: u32 = 104;

/// Ranks entries of `(count, capacity)` groups, spread over five failure domains in rotation.
fn fleet(groups: &[(usize, u32)]) -> Vec<Candidate> {
    let capacities = groups.iter().flat_map(|(count, capacity)| vec![*capacity; *count]);
    let candidate = |(number, capacity)| Candidate {
        vm: VmId::new(&format!("vm-{number}")).unwrap(),
        failure_domain: FailureDomain::new(&format!("hall-{}", number % DOMAINS)).unwrap(),
        capacity: PerSecond::new(capacity),
    };
    rank_entries(capacities.enumerate().map(candidate).collect())
}

fn large_fleet() -> Vec<Candidate> {
    fleet(&[(15, LARGE_CAPACITY), (457, SMALL_CAPACITY)])
}

fn advertised(ranking: &[Candidate]) -> BTreeSet<VmId> {
    select_advertised_entries(FleetLoad::assumed(TARGET_COUNT), ranking)
        .into_iter()
        .map(|entry| entry.vm)
        .collect()
}

/// Returns the contacts of each entry in a fleet in which all entries know each other.
fn all_contacts(ranking: &[Candidate]) -> BTreeMap<VmId, Contacts> {
    let vms: Vec<VmId> = ranking.iter().map(|entry| entry.vm.clone()).collect();
    let readers = choose_readers(&vms, &BTreeSet::new());
    let advertised = advertised(ranking);
    let contacts_of = |own: &Candidate| {
        let local = ranking.iter().filter(|entry| entry.failure_domain == own.failure_domain);
        select_contacts(&FleetPosition {
            own,
            ranking,
            readers: &readers,
            advertised: &advertised,
            may_become_reader: false,
            domain_entries: local.count(),
        })
    };
    ranking.iter().map(|own| (own.vm.clone(), contacts_of(own))).collect()
}

/// Guards against heartbeats of every entry to the leading entries and readers of other failure
/// domains. With 472 entries these were 5,000 a second, half of them across domains, and took more
/// bytes than the requests.
#[test]
fn cross_domain_heartbeats_do_not_grow_with_the_fleet() {
    let crossing_per_period = |ranking: &[Candidate]| -> f64 {
        let domains: BTreeMap<&VmId, &FailureDomain> =
            ranking.iter().map(|entry| (&entry.vm, &entry.failure_domain)).collect();
        let all = all_contacts(ranking);
        let crossing_of = |(own, contacts): (&VmId, &Contacts)| {
            let remote = contacts.monitored.iter().filter(|vm| domains[vm] != domains[own]).count();
            let monitored = remote as f64 / f64::from(contacts.monitored_interval_periods);
            let rotating = f64::from(u8::from(!contacts.rotating.is_empty()));
            monitored + rotating / f64::from(contacts.rotating_interval_periods)
        };
        all.iter().map(crossing_of).sum()
    };
    let large = crossing_per_period(&large_fleet());
    let larger = crossing_per_period(&fleet(&[(15, LARGE_CAPACITY), (2842, SMALL_CAPACITY)]));
    assert!(large < 25.0, "{large}");
    assert_eq!(large, larger);
}

#[test]
fn received_heartbeats_per_period_are_bounded() {
    let mut received: BTreeMap<VmId, f64> = BTreeMap::new();
    for contacts in all_contacts(&large_fleet()).values() {
        for vm in &contacts.monitored {
            *received.entry(vm.clone()).or_default() +=
                1.0 / f64::from(contacts.monitored_interval_periods);
        }
    }
    let most = received.values().copied().fold(0.0, f64::max);
    assert!(most < 30.0, "{most}");
}

/// Guards against an advertised entry that no other one monitors and that stays advertised after
/// its end, as when all large entries of a failure domain are lost and ten small ones replace them.
#[test]
fn advertised_entries_are_monitored_in_every_period() {
    for ranking in [large_fleet(), fleet(&[(457, SMALL_CAPACITY)]), fleet(&[(3, LARGE_CAPACITY)])] {
        let all = all_contacts(&ranking);
        for vm in advertised(&ranking) {
            let monitors = all.iter().filter(|(own, contacts)| {
                **own != vm
                    && contacts.monitored_interval_periods == 1
                    && contacts.monitored.contains(&vm)
            });
            assert!(monitors.count() >= 2, "{vm} of {}", ranking.len());
        }
    }
}

/// Guards against entries that learn too late that they have to read after the platform has
/// rejected the first readers. The next candidates receive heartbeats of the readers in every
/// period, in whichever failure domain these are; other entries rely on the leading entries near
/// them.
#[test]
fn possible_readers_monitor_the_readers_in_every_period() {
    let ranking = large_fleet();
    let vms: Vec<VmId> = ranking.iter().map(|entry| entry.vm.clone()).collect();
    let disconnected = BTreeSet::from([vms[0].clone()]);
    let readers = choose_readers(&vms, &disconnected);
    let (last_candidate, first_other) = (&ranking[8], &ranking[9]);
    assert!(may_become_reader(&last_candidate.vm, &vms, &disconnected));
    assert!(!may_become_reader(&first_other.vm, &vms, &disconnected));
    assert!(!may_become_reader(&last_candidate.vm, &vms, &BTreeSet::new()));
    let position = FleetPosition {
        own: last_candidate,
        ranking: &ranking,
        readers: &readers,
        advertised: &advertised(&ranking),
        may_become_reader: true,
        domain_entries: 90,
    };
    let contacts = select_contacts(&position);
    assert_eq!(contacts.monitored_interval_periods, 1);
    assert!(readers.iter().all(|vm| *vm == last_candidate.vm || contacts.monitored.contains(vm)));
}

#[test]
fn an_entry_without_known_entries_has_no_contacts() {
    let own = large_fleet().remove(20);
    let position = FleetPosition {
        own: &own,
        ranking: &[],
        readers: &[],
        advertised: &BTreeSet::new(),
        may_become_reader: false,
        domain_entries: 1,
    };
    let contacts = select_contacts(&position);
    assert!(
        contacts.monitored.is_empty() && contacts.rotating.is_empty() && contacts.forwards_updates
    );
}

/// Guards against sending updates about all entries to all others: with 472 entries, each new
/// contact took 90 KB of updates at a simultaneous start.
#[test]
fn core_entries_per_failure_domain_are_bounded() {
    let count = |ranking: &[Candidate]| select_core_entries(ranking, &advertised(ranking)).len();
    assert_eq!(count(&large_fleet()), 12 * DOMAINS);
    assert_eq!(count(&fleet(&[(15, LARGE_CAPACITY), (2842, SMALL_CAPACITY)])), 12 * DOMAINS);
    assert_eq!(count(&fleet(&[(14, SMALL_CAPACITY)])), 14);
    let small = fleet(&[(457, SMALL_CAPACITY)]);
    assert_eq!(
        count(&small),
        advertised(&small).len() + 3 * DOMAINS,
        "all advertised entries and the next ones"
    );
    let ranking = large_fleet();
    let positions = select_core_entries(&ranking, &advertised(&ranking));
    let positions = positions.iter().map(|vm| ranking.iter().position(|entry| entry.vm == *vm));
    assert!(positions.is_sorted(), "in the order of the ranking");
    assert_eq!(local_interval_periods(ranking.len() / DOMAINS), 5);
}
