//! Division of the targets of a large service among the processes that send to them.

#![expect(clippy::unwrap_used, reason = "a test builder may end the test")]

#[path = "support/slots.rs"]
#[allow(dead_code, reason = "each test file uses its part")]
mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use shallotfork_balance::{Sharer, SlotPool, SlotPoolConfig, SlotTarget};
use shallotfork_types::{FailureDomain, Permille, TargetId};
use support::{at, expect_sent, request_at};

const DOMAINS: usize = 5;
/// Targets, and processes that are advertised for the load of their callers.
const FLEET: (usize, usize) = (3_530, 10);
const TWICE_THE_FLEET: (usize, usize) = (7_060, 20);

fn domain(number: usize) -> FailureDomain {
    FailureDomain::new(&format!("hall-{}", number % DOMAINS)).unwrap()
}

fn process(number: usize) -> String {
    format!("vm-{number}")
}

fn target(number: usize) -> SlotTarget {
    SlotTarget {
        id: TargetId::new(&format!("target-{number}")).unwrap(),
        failure_domain: domain(number),
        slots: 2,
        serving: true,
        cold_for: Duration::ZERO,
    }
}

fn sharers(count: usize) -> Vec<Sharer> {
    (0..count)
        .map(|number| Sharer::new(&process(number)).with_failure_domain(domain(number)))
        .collect()
}

fn pool(number: usize, targets: usize, processes: usize) -> SlotPool {
    let mut pool = SlotPool::new(SlotPoolConfig {
        name: process(number),
        failure_domain: Some(domain(number)),
        ..SlotPoolConfig::default()
    });
    pool.set_sharers(sharers(processes), Permille::new(1000), at(0));
    pool.set_targets((0..targets).map(target).collect(), at(0));
    pool
}

fn subset(pool: &SlotPool) -> BTreeSet<TargetId> {
    pool.subset().cloned().collect()
}

/// Guards against targets that no process uses, and against a process that compares more targets the
/// larger the fleet is.
#[test]
fn processes_divide_all_targets() {
    for (targets, processes) in [FLEET, TWICE_THE_FLEET] {
        let mut load_by_target: BTreeMap<TargetId, f64> = BTreeMap::new();
        for number in 0..processes {
            let pool = pool(number, targets, processes);
            let local = |target: usize| domain(target) == domain(number);
            let subset = subset(&pool);
            assert!(subset.len() <= FLEET.0 / 3, "{} of {targets}", subset.len());
            let local: Vec<TargetId> =
                (0..targets).filter(|target| local(*target)).map(|n| target(n).id).collect();
            let used: Vec<&TargetId> = local.iter().filter(|id| subset.contains(id)).collect();
            for id in &used {
                *load_by_target.entry((*id).clone()).or_default() += 1.0 / used.len() as f64;
            }
        }
        assert_eq!(load_by_target.len(), targets, "targets used by a process nearby");
        let mean = processes as f64 / targets as f64;
        let busiest = load_by_target.values().copied().fold(0.0, f64::max);
        assert!(busiest <= 3.0 * mean, "{busiest} of {mean}");
    }
}

/// Guards against a subset that changes as a whole when a process or some targets come or go: all
/// connections and reports would be lost.
#[test]
fn a_change_moves_few_targets() {
    let (targets, processes) = TWICE_THE_FLEET;
    let mut pool = pool(0, targets, processes);
    let before = subset(&pool);
    pool.set_sharers(sharers(processes - 1), Permille::new(1000), at(1));
    let after = subset(&pool);
    assert!(before.is_subset(&after));
    assert!(after.len() < before.len() * 3 / 2, "{} {}", before.len(), after.len());
    pool.set_sharers(sharers(processes), Permille::new(1000), at(2));
    pool.set_targets((targets / 10..targets).map(target).collect(), at(3));
    assert!(subset(&pool).is_subset(&before));
}

/// Guards against a rejection although another target has a free slot.
#[test]
fn a_process_uses_other_targets_once_its_own_are_full() {
    let (targets, processes) = FLEET;
    let mut pool = pool(0, targets, processes);
    let subset = subset(&pool);
    let sends = subset.len() * 2 + 10;
    let chosen: Vec<TargetId> =
        (0..sends).map(|_| expect_sent(pool.admit(request_at(0), at(0))).target).collect();
    let first_outside = chosen.iter().position(|id| !subset.contains(id)).unwrap();
    assert!(first_outside >= subset.len(), "{first_outside} of {}", subset.len());
}

/// A new target is used by the processes that it is left to, like the others.
#[test]
fn new_targets_are_divided_as_well() {
    let (targets, processes) = FLEET;
    let added = |id: &TargetId| (targets..targets + 100).any(|number| target(number).id == *id);
    let mut used: BTreeSet<TargetId> = BTreeSet::new();
    for number in 0..processes {
        let mut pool = pool(number, targets, processes);
        pool.set_targets((0..targets + 100).map(target).collect(), at(1));
        used.extend(pool.subset().filter(|id| added(id)).cloned());
    }
    assert_eq!(used.len(), 100);
}

/// Guards against a division of services that a process can compare as a whole.
#[test]
fn small_services_are_not_divided() {
    let pool = pool(0, 500, 10);
    assert_eq!(pool.subset().count(), 500);
}

/// Guards against work for each request that grows with the targets of its service: on a tenth of a
/// core it took longer than the way of the request to its target.
#[test]
fn cost_of_a_request_hardly_grows_with_the_targets() {
    let cost = |targets: usize, processes: usize| {
        let mut pool = pool(0, targets, processes);
        let started_at = std::time::Instant::now();
        for number in 0..200 {
            let now = at(1_000 + number * 10);
            let assignment = expect_sent(pool.admit(request_at(1_000 + number * 10), now));
            pool.mark_sent(assignment.attempt, now);
            pool.finish(assignment.attempt, support::answered(), None, now);
        }
        started_at.elapsed()
    };
    let (undivided, divided) = (cost(500, 10), cost(FLEET.0, FLEET.1));
    let seven_times_the_targets = undivided * 7;
    assert!(divided < seven_times_the_targets / 2, "{undivided:?} {divided:?}");
}
