//! Convergence of fleets of hundreds of entries after starts, losses and partitions, and its cost.

#![expect(clippy::unwrap_used, reason = "a test builder may end the test")]

mod support;

use shallotfork_types::FailureDomain;
use support::{LARGE_CAPACITY, Model, SMALL_CAPACITY};

const SEEDS: std::ops::Range<u64> = 1..3;
/// Callers keep a response for 1.5 s; the advertised entries have to be correct again about as
/// soon.
const START_MAX_MS: u64 = 2_500;
const LOSS_MAX_MS: u64 = 5_000;
const HEAL_MAX_MS: u64 = 3_500;

fn large(seed: u64) -> Model {
    Model::new(seed, 5, &[(15, LARGE_CAPACITY), (457, SMALL_CAPACITY)])
}

fn running(seed: u64) -> Model {
    let mut model = large(seed);
    model.start_all();
    model.run_for(5_000);
    model
}

/// Guards against entries that advertise themselves, or differ in what they advertise, when all
/// start at once with three known seeds, one of which stays down.
#[test]
fn a_simultaneous_start_converges() {
    for seed in SEEDS {
        let mut model = large(seed);
        model.start_all();
        assert!(model.converge(START_MAX_MS).is_some(), "seed {seed}");
    }
}

/// Guards against sending updates about all entries to each new contact: a simultaneous start of
/// 472 entries took a gigabyte.
#[test]
fn start_cost_per_entry_is_bounded() {
    let cost_per_entry = |groups: &[(usize, u32)]| {
        let mut model = Model::new(1, 5, groups);
        model.start_all();
        model.run_for(5_000);
        let count: usize = groups.iter().map(|(count, _)| count).sum();
        (model.sent_heartbeats / count, model.sent_updates / count)
    };
    let (heartbeats, updates) = cost_per_entry(&[(15, LARGE_CAPACITY), (457, SMALL_CAPACITY)]);
    let (heartbeats_larger, updates_larger) =
        cost_per_entry(&[(15, LARGE_CAPACITY), (1400, SMALL_CAPACITY)]);
    assert!(heartbeats < 120 && updates < 3_000, "{heartbeats} {updates}");
    assert!(
        heartbeats_larger < 120 && updates_larger < 3_000,
        "{heartbeats_larger} {updates_larger}"
    );
}

/// Guards against updates and frequent heartbeats in a fleet without state changes.
#[test]
fn an_idle_fleet_sends_few_heartbeats_and_updates() {
    let mut model = running(1);
    model.run_for(5_000);
    (model.sent_heartbeats, model.cross_domain_heartbeats, model.sent_updates) = (0, 0, 0);
    model.run_for(5_000);
    let per_entry_and_s = model.sent_heartbeats / 472 / 5;
    assert!(
        model.cross_domain_heartbeats < 5_000,
        "{} of {} cross failure domains",
        model.cross_domain_heartbeats,
        model.sent_heartbeats
    );
    assert!(per_entry_and_s <= 12, "{per_entry_and_s}");
    assert!(model.sent_updates < 472, "{}", model.sent_updates);
}

/// Guards against outdated views after more than half of all VMs, including advertised ones, lose
/// power at once.
#[test]
fn the_fleet_converges_after_losing_half_of_its_entries() {
    for seed in SEEDS {
        let mut model = running(seed);
        model.kill(|index, _| index % 9 < 5);
        assert!(model.converge(LOSS_MAX_MS).is_some(), "seed {seed}");
        model.start_all();
        assert!(model.converge(HEAL_MAX_MS).is_some(), "seed {seed}, after their return");
    }
}

/// Guards against outdated views after the loss of all large entries. In each failure domain ten
/// small ones are then advertised, as many as carry the load.
#[test]
fn the_fleet_converges_after_losing_all_large_entries() {
    for seed in SEEDS {
        let mut model = running(seed);
        model.kill(|_, vm| vm.capacity.value() == LARGE_CAPACITY);
        assert!(model.converge(LOSS_MAX_MS).is_some(), "seed {seed}");
    }
}

/// Guards against a fleet that does not form again after all processes were killed and their state
/// was lost.
#[test]
fn the_fleet_converges_after_a_full_restart() {
    for seed in SEEDS {
        let mut model = running(seed);
        model.kill(|_, _| true);
        model.run_for(1_000);
        model.start_all();
        assert!(model.converge(START_MAX_MS).is_some(), "seed {seed}");
    }
}

/// Guards against views that stay different after a failed switch has partitioned a failure domain
/// for six seconds, during which it advertises only its own entries.
#[test]
fn the_fleet_converges_after_a_partition_of_one_failure_domain() {
    for seed in SEEDS {
        let mut model = running(seed);
        let partitioned = FailureDomain::new("hall-2").unwrap();
        model.partitioned_domains.insert(partitioned);
        model.run_for(6_000);
        let (inside, outside) = (model.advertised_by(2 + 5 * 50), model.advertised_by(3 + 5 * 50));
        assert_ne!(inside, outside, "each side has its own view");
        model.partitioned_domains.clear();
        assert!(model.converge(HEAL_MAX_MS).is_some(), "seed {seed}");
    }
}

/// Guards against views that stay different after all failure domains were partitioned from each
/// other.
#[test]
fn the_fleet_converges_after_a_partition_of_all_failure_domains() {
    for seed in SEEDS {
        let mut model = running(seed);
        model.partitioned_domains =
            (0..5).map(|number| FailureDomain::new(&format!("hall-{number}")).unwrap()).collect();
        model.run_for(6_000);
        model.partitioned_domains.clear();
        assert!(model.converge(HEAL_MAX_MS).is_some(), "seed {seed}");
    }
}

/// Guards against entries met by chance that count as live for minutes, since nobody reports their
/// end.
#[test]
fn views_stay_consistent_for_minutes() {
    let mut model = Model::new(1, 3, &[(6, LARGE_CAPACITY), (60, SMALL_CAPACITY)]);
    model.start_all();
    model.run_for(90_000);
    model.kill(|index, _| index % 3 == 1);
    assert!(model.converge(LOSS_MAX_MS).is_some());
    model.run_for(90_000);
    assert!(model.converge(LOSS_MAX_MS).is_some());
}

/// Guards against callers that are sent to an overloaded entry for as long as a burst lasts, or to
/// its overflow entries forever.
#[test]
fn overflow_entries_are_advertised_during_an_overload() {
    const OVERFLOW_MAX_MS: u64 = 1_500;
    const RECOVERY_MAX_MS: u64 = 7_500;
    for seed in SEEDS {
        let mut model = running(seed);
        let usual = model.expected_advertised();
        let overloaded = model.index_of(&usual[0]);
        let local: Vec<usize> = model.entries_in_domain_of(overloaded);
        model.set_overloaded(overloaded, true);
        model.run_for(OVERFLOW_MAX_MS);
        for index in local.iter().copied() {
            let advertised = model.advertised_by(index).unwrap();
            let local_count =
                advertised.iter().filter(|vm| local.contains(&model.index_of(vm))).count();
            assert_eq!(local_count, 3, "seed {seed}: {index} advertises {advertised:?}");
        }
        model.set_overloaded(overloaded, false);
        assert!(model.converge(RECOVERY_MAX_MS).is_some(), "seed {seed}");
    }
}

/// Guards against overflow entries that are advertised for the first overload only.
#[test]
fn a_second_overload_adds_overflow_entries_again() {
    let mut model = running(1);
    let overloaded = model.index_of(&model.expected_advertised()[0]);
    let usual_count = model.expected_advertised().len();
    for _ in 0..2 {
        model.set_overloaded(overloaded, true);
        model.run_for(1_500);
        assert!(model.advertised_by(overloaded).unwrap().len() > usual_count);
        model.set_overloaded(overloaded, false);
        model.run_for(9_000);
        assert_eq!(model.advertised_by(overloaded).unwrap().len(), usual_count);
    }
}
