//! Fleets of which some entries reach no target.

#![expect(clippy::unwrap_used, reason = "a test builder may end the test")]

mod support;

use std::collections::BTreeSet;

use shallotfork_types::{FailureDomain, VmId};
use support::{LARGE_CAPACITY, Model, SMALL_CAPACITY};

const SEEDS: std::ops::Range<u64> = 1..4;
/// Time within which callers must no longer be sent to entries that reach no target: users count
/// failures from three seconds after the cut, which takes up to a second to notice.
const PROPAGATED_MAX_MS: u64 = 2_000;
/// Time within which the whole fleet must advertise the same entries.
const CONVERGED_MAX_MS: u64 = 3_500;

fn small_fleet(seed: u64) -> Model {
    started(Model::new(seed, 3, &[(14, 104)]))
}

fn large_fleet(seed: u64) -> Model {
    started(Model::new(seed, 5, &[(15, LARGE_CAPACITY), (457, SMALL_CAPACITY)]))
}

fn started(mut model: Model) -> Model {
    model.start_all();
    model.run_for(5_000);
    model
}

/// Isolates entries, checks that all entries follow, and the same after the end of the isolation.
fn assert_isolation_is_followed(mut model: Model, isolated: &BTreeSet<usize>, what: &str) {
    let names: BTreeSet<VmId> = isolated.iter().map(|index| model.name_of(*index)).collect();
    model.set_isolated(isolated.iter().copied(), true);
    model.run_for(PROPAGATED_MAX_MS);
    for index in 0..model.len() {
        let advertised = model.advertised_by(index).unwrap();
        let to_isolated = advertised.iter().filter(|vm| names.contains(vm)).count();
        assert_eq!(to_isolated, 0, "{what}: entry {index} advertises {advertised:?}");
        assert!(!advertised.is_empty(), "{what}: entry {index}");
    }
    assert!(isolated.iter().all(|index| !model.fallback_of(*index).is_empty()), "{what}");
    assert!(model.converge(CONVERGED_MAX_MS).is_some(), "{what}");
    model.set_isolated(isolated.iter().copied(), false);
    assert!(model.converge(CONVERGED_MAX_MS).is_some(), "{what}, after its end");
}

/// Guards against entries that are advertised although they reach no target.
#[test]
fn isolated_entries_are_not_advertised() {
    for seed in SEEDS {
        for divisor in 2..5 {
            let mut model = small_fleet(seed);
            let mut isolated: BTreeSet<usize> =
                (0..14).filter(|index| index % divisor == 0).collect();
            isolated.insert(model.index_of(&model.expected_advertised()[0]));
            model.run_for(seed * 37);
            assert_isolation_is_followed(model, &isolated, &format!("seed {seed}, {divisor}"));
        }
    }
}

/// Guards against callers of a failure domain that are sent to its entries although none of them
/// reaches a target.
#[test]
fn an_isolated_failure_domain_is_not_advertised() {
    for seed in SEEDS {
        let model = small_fleet(seed);
        let domain: BTreeSet<usize> = model.entries_in_domain_of(0).into_iter().collect();
        assert_isolation_is_followed(model, &domain, &format!("seed {seed}"));
    }
}

/// Guards against a directory that sends callers to entries that reach no target because the others
/// are not known, in a fleet in which each entry knows only some.
#[test]
fn isolation_of_half_of_a_large_fleet_is_followed() {
    let isolated: BTreeSet<usize> = (0..472).filter(|index| index % 9 < 5).collect();
    assert_isolation_is_followed(large_fleet(1), &isolated, "large fleet");
}

/// Guards against a directory without entries when no entry reaches a target.
#[test]
fn all_entries_stay_advertised_if_all_are_isolated() {
    let mut model = small_fleet(1);
    let usual = model.expected_advertised();
    model.set_isolated(0..14, true);
    assert!(model.converge(CONVERGED_MAX_MS).is_some());
    assert_eq!(model.advertised_by(3).unwrap(), usual);
    assert!((0..14).all(|index| model.fallback_of(index).is_empty()));
    model.set_isolated(0..13, false);
    assert!(model.converge(CONVERGED_MAX_MS).is_some());
}

/// Guards against views that stay different when entries lose and find their path again and again.
#[test]
fn views_agree_after_repeated_isolation() {
    for seed in SEEDS {
        let mut model = small_fleet(seed);
        for round in 0..12 {
            let index = (round * 5) % 14;
            model.set_isolated([index, (index + 3) % 14], round % 3 != 2);
            model.run_for(170 + 40 * round as u64);
        }
        model.set_isolated(0..14, false);
        assert!(model.converge(CONVERGED_MAX_MS).is_some(), "seed {seed}");
    }
}

/// Guards against an isolation that is forgotten, or kept, across a partition of the fleet.
#[test]
fn isolation_is_known_after_a_partition() {
    for seed in SEEDS {
        let mut model = small_fleet(seed);
        model.partitioned_domains.insert(FailureDomain::new("hall-1").unwrap());
        model.run_for(2_000);
        model.set_isolated([1, 4, 5], true);
        model.run_for(2_000);
        model.partitioned_domains.clear();
        assert!(model.converge(CONVERGED_MAX_MS).is_some(), "seed {seed}");
        model.set_isolated([1, 4, 5], false);
        assert!(model.converge(CONVERGED_MAX_MS).is_some(), "seed {seed}, after its end");
    }
}
