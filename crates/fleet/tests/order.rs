//! Whom callers are sent to, and who sends to which target.

#![expect(clippy::unwrap_used, reason = "a test builder may end the test")]

use std::collections::BTreeMap;

use quickcheck::QuickCheck;
use shallotfork_fleet::{Candidate, active_count, fleet_order, owner};
use shallotfork_types::{PerSecond, TargetId, VmId};

fn vm(number: usize) -> VmId {
    VmId::new(&format!("vm-{number}")).unwrap()
}

fn target(number: usize) -> TargetId {
    TargetId::new(&format!("target-{number}")).unwrap()
}

fn candidate(number: usize, strength: u32, blind: bool) -> Candidate {
    Candidate { vm: vm(number), blind, strength: PerSecond::new(strength) }
}

/// Entries agree on the order whatever the order in which they heard of each other.
#[test]
fn the_order_is_the_same_for_all() {
    fn property(entries: Vec<(u8, u8, bool)>) -> bool {
        let mut candidates: Vec<Candidate> = entries
            .iter()
            .enumerate()
            .map(|(number, (_, strength, blind))| candidate(number, (*strength).into(), *blind))
            .collect();
        let order = fleet_order(candidates.clone());
        candidates.reverse();
        order == fleet_order(candidates)
    }
    QuickCheck::new().tests(300).quickcheck(property as fn(Vec<(u8, u8, bool)>) -> bool);
}

#[test]
fn strong_entries_come_first_and_blind_ones_last() {
    let order = fleet_order(vec![
        candidate(1, 100, false),
        candidate(2, 900, true),
        candidate(3, 900, false),
    ]);
    let names: Vec<&str> = order.iter().map(|candidate| candidate.vm.as_str()).collect();
    assert_eq!(names, ["vm-3", "vm-1", "vm-2"]);
}

#[test]
fn one_entry_carries_a_small_deployment_and_few_a_large_one() {
    assert_eq!(active_count(0, 14), 1);
    assert_eq!(active_count(33, 15), 1);
    assert_eq!(active_count(389, 141), 3);
    assert_eq!(active_count(18_000, 300), 120);
    assert_eq!(active_count(18_000, 7), 7);
    assert_eq!(active_count(500, 0), 1);
}

/// Two entries that disagree about one member of the active ones still agree on most targets.
#[test]
fn a_lost_entry_moves_only_its_own_targets() {
    let all: Vec<VmId> = (0..4).map(vm).collect();
    let fewer: Vec<VmId> = (0..3).map(vm).collect();
    let moved = (0..400).map(target).filter(|target| {
        let before = owner(target, &all).unwrap();
        *before != vm(3) && owner(target, &fewer) != Some(before)
    });
    assert_eq!(moved.count(), 0);
}

#[test]
fn targets_are_spread_evenly_over_the_active_entries() {
    let active: Vec<VmId> = (0..3).map(vm).collect();
    let mut counts: BTreeMap<&VmId, usize> = BTreeMap::new();
    let targets: Vec<TargetId> = (0..390).map(target).collect();
    for target in &targets {
        *counts.entry(owner(target, &active).unwrap()).or_default() += 1;
    }
    assert!(counts.values().all(|count| (100..=160).contains(count)), "{counts:?}");
}
