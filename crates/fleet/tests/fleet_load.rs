//! The number of advertised entries follows the observed load.

#![expect(clippy::unwrap_used, reason = "a test builder may end the test")]

mod support;

use quickcheck::QuickCheck;
use shallotfork_fleet::{Candidate, FleetLoad, rank_entries, select_advertised_entries};
use shallotfork_types::{FailureDomain, LoadLevel, PerSecond, RequestRate, VmId};
use support::Model;

const LARGE_CAPACITY: u32 = 833;
const SMALL_CAPACITY: u32 = 166;
const DOMAINS: usize = 5;

/// A fleet with few requests for each of its targets.
struct Fleet {
    large: usize,
    small: usize,
    targets: usize,
    load_per_s: f64,
}

const FLEET: Fleet = Fleet { large: 20, small: 567, targets: 5_999, load_per_s: 1_133.0 };
const TWICE_THE_FLEET: Fleet =
    Fleet { large: 40, small: 1_134, targets: 12_000, load_per_s: 2_266.0 };

impl Fleet {
    fn ranking(&self) -> Vec<Candidate> {
        let capacities = [(self.large, LARGE_CAPACITY), (self.small, SMALL_CAPACITY)].into_iter();
        let capacities = capacities.flat_map(|(count, capacity)| vec![capacity; count]);
        let candidate = |(number, capacity)| Candidate {
            vm: VmId::new(&format!("vm-{number}")).unwrap(),
            failure_domain: FailureDomain::new(&format!("hall-{}", number % DOMAINS)).unwrap(),
            capacity: PerSecond::new(capacity),
        };
        rank_entries(capacities.enumerate().map(candidate).collect())
    }

    /// Returns the capacities of the advertised entries.
    fn advertised(&self, load: FleetLoad) -> Vec<u32> {
        let selected = select_advertised_entries(load, &self.ranking());
        selected.iter().map(|entry| entry.capacity.value()).collect()
    }

    fn model(&self, seed: u64) -> Model {
        let groups = [(self.large, LARGE_CAPACITY), (self.small, SMALL_CAPACITY)];
        let mut model = Model::new(seed, DOMAINS, &groups);
        model.target_count = self.targets;
        model.start_all();
        model.run_for(3_000);
        model
    }
}

/// Returns the load as `entries` report it that divide the requests evenly.
fn reported(load_per_s: f64, entries: usize, targets: usize) -> FleetLoad {
    let rate = RequestRate::from_milli_per_s((load_per_s * 1000.0) as u64).divided_by(entries);
    FleetLoad::observed(std::iter::repeat_n(LoadLevel::of(rate), entries), targets)
}

/// Guards against hundreds of small entries that are advertised beside idle large ones, because the
/// number of targets is taken for their load.
#[test]
fn small_entries_are_left_out_while_the_load_is_unknown() {
    for fleet in [FLEET, TWICE_THE_FLEET] {
        let advertised = fleet.advertised(FleetLoad::assumed(fleet.targets));
        assert_eq!(advertised, vec![LARGE_CAPACITY; fleet.large]);
    }
    let without_large = Fleet { large: 0, ..FLEET };
    assert!(!without_large.advertised(FleetLoad::assumed(FLEET.targets)).is_empty());
}

#[test]
fn advertised_entries_carry_a_burst_of_four() {
    for fleet in [FLEET, TWICE_THE_FLEET] {
        let load = reported(fleet.load_per_s, fleet.large, fleet.targets);
        let advertised = fleet.advertised(load);
        let capacity: u32 = advertised.iter().sum();
        assert!(f64::from(capacity) >= 4.0 * fleet.load_per_s, "{advertised:?}");
        assert!(advertised.len() < fleet.large, "{advertised:?}");
    }
}

/// Guards against a fleet whose large entries do not suffice and whose small ones stay in reserve.
#[test]
fn small_entries_are_advertised_if_the_observed_load_needs_them() {
    let load_per_s = 10_000.0;
    let advertised = FLEET.advertised(reported(load_per_s, 20, FLEET.targets));
    assert!(advertised.contains(&SMALL_CAPACITY));
}

/// Guards against an entry whose wrong figures make the whole fleet be advertised.
#[test]
fn reported_load_counts_up_to_the_assumed_one() {
    fn property(levels: Vec<u8>, targets: u16) -> bool {
        let levels = levels.into_iter().filter_map(|number| LoadLevel::new(number).ok());
        let load = FleetLoad::observed(levels, targets.into());
        load.expected() <= FleetLoad::assumed(targets.into()).expected()
    }
    QuickCheck::new().tests(300).quickcheck(property as fn(Vec<u8>, u16) -> bool);
}

/// Guards against entries that differ in the load that they observe, and so in what they advertise:
/// callers would alternate between the entries of the differing answers.
#[test]
fn all_entries_advertise_for_the_observed_load() {
    for fleet in [FLEET, TWICE_THE_FLEET] {
        let mut model = fleet.model(1);
        model.bring_load(fleet.load_per_s, 12_000);
        let advertised = model.advertised_by(0).unwrap();
        assert!(advertised.len() < fleet.large, "{advertised:?}");
        for index in 0..model.len() {
            assert_eq!(model.advertised_by(index).unwrap(), advertised, "entry {index}");
        }
    }
}

/// Guards against too few advertised entries after a loss: the reports of those that are left do not
/// include the callers of the lost ones yet.
#[test]
fn losing_half_of_the_advertised_entries_leaves_enough() {
    let mut model = FLEET.model(1);
    model.bring_load(FLEET.load_per_s, 12_000);
    let before = model.advertised_by(0).unwrap();
    let lost: Vec<VmId> = before.iter().step_by(2).cloned().collect();
    model.kill(|_, vm| lost.contains(&vm.vm));
    model.run_for(5_000);
    let left = (0..model.len()).find(|index| model.advertised_by(*index).is_some()).unwrap();
    let after = model.advertised_by(left).unwrap();
    assert!(after.len() >= before.len(), "{after:?}");
    assert!(after.iter().all(|vm| !lost.contains(vm)), "{after:?}");
}

/// Guards against a fleet that does not come back after the loss of everything, when no entry knows
/// the load.
#[test]
fn a_full_restart_under_load_advertises_the_large_entries() {
    let mut model = FLEET.model(3);
    model.bring_load(FLEET.load_per_s, 12_000);
    model.kill(|_, _| true);
    model.run_for(1_000);
    model.start_all();
    model.run_for(3_000);
    let expected = model.expected_advertised();
    for index in 0..model.len() {
        assert_eq!(model.advertised_by(index).unwrap(), expected, "entry {index}");
    }
    model.bring_load(FLEET.load_per_s, 12_000);
    assert!(model.advertised_by(0).unwrap().len() < FLEET.large);
}

/// Guards against reports of a steady load that reach hundreds of entries again and again.
#[test]
fn a_steady_load_is_reported_rarely() {
    let mut model = FLEET.model(4);
    model.bring_load(FLEET.load_per_s, 12_000);
    model.run_for(5_000);
    model.sent_updates = 0;
    model.bring_load(FLEET.load_per_s, 10_000);
    let per_entry_and_s = model.sent_updates / model.len() / 10;
    assert!(per_entry_and_s <= 12, "{per_entry_and_s} updates a second and entry");
}

/// Guards against too few advertised entries during an upgrade: entries of the older release report no
/// load, so that the sum of the others is a part of it.
#[test]
fn load_is_assumed_while_some_advertised_entries_report_none() {
    let mut model = FLEET.model(5);
    let expected = model.expected_advertised();
    let older = expected.iter().step_by(3).map(|vm| model.index_of(vm)).collect();
    model.without_load = older;
    model.bring_load(FLEET.load_per_s, 14_000);
    assert_eq!(model.advertised_by(0).unwrap(), expected);
    assert_eq!(model.advertised_by(model.len() - 1).unwrap(), expected);
}

/// Guards against reports of load that take more than control may take of a link, where many entries are
/// advertised for the assumed load and each gets a few requests a second.
#[test]
fn reports_of_few_requests_stay_within_the_budget_for_control() {
    const ENTRIES: usize = 300;
    const MEASURED_S: usize = 20;
    /// Bytes of a membership update in a message.
    const UPDATE_BYTES: usize = 130;
    /// Bytes a second of an entry for control.
    const CONTROL_BYTES_PER_S_MAX: usize = 6_000;
    let mut model = Model::new(4, 3, &[(ENTRIES, 333)]);
    model.target_count = 10 * ENTRIES;
    model.start_all();
    model.run_for(8_000);
    model.sent_updates = 0;
    model.bring_load(120.0, MEASURED_S as u64 * 1_000);
    let bytes_per_s = model.sent_updates * UPDATE_BYTES / ENTRIES / MEASURED_S;
    assert!(bytes_per_s <= CONTROL_BYTES_PER_S_MAX, "{bytes_per_s} B/s and entry");
    assert!(model.advertised_by(0).unwrap().len() < 10);
}
