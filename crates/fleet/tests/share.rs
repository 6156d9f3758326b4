//! Who sends requests to which target.

#![expect(clippy::unwrap_used, reason = "a test builder may end the test")]

use std::collections::BTreeMap;

use quickcheck::QuickCheck;
use shallotfork_fleet::{ActiveEntry, SharedTarget, share_targets};
use shallotfork_types::{Endpoint, FailureDomain, TargetId, VmId};

fn hall(number: usize) -> FailureDomain {
    FailureDomain::new(&format!("hall-{}", number % 4)).unwrap()
}

/// Entries in three halls.
fn entries(count: usize) -> Vec<ActiveEntry> {
    let vm = |number| VmId::new(&format!("vm-{number}")).unwrap();
    let callers: Endpoint = "10.0.0.1:80".parse().unwrap();
    (0..count).map(|n| ActiveEntry { vm: vm(n), failure_domain: hall(n % 3), callers }).collect()
}

/// Targets in four halls.
fn targets(count: usize) -> Vec<SharedTarget> {
    let id = |number| TargetId::new(&format!("target-{number}")).unwrap();
    (0..count).map(|n| SharedTarget { id: id(n), failure_domain: hall(n) }).collect()
}

fn counts(owners: &BTreeMap<TargetId, VmId>) -> BTreeMap<VmId, usize> {
    let mut counts = BTreeMap::new();
    owners.values().for_each(|owner| *counts.entry(owner.clone()).or_default() += 1);
    counts
}

/// A service with three targets for each of nineteen entries left some entries without any, whose
/// callers were refused although the others had room.
#[test]
fn every_entry_gets_as_many_targets_as_the_others_or_one_more() {
    fn property(target_count: u8, entry_count: u8) -> bool {
        let (targets, entries) = (targets(target_count.into()), entries(entry_count.into()));
        let owners = share_targets(targets.clone(), &entries);
        let counts = counts(&owners);
        let even = targets.len().checked_div(entries.len()).unwrap_or(0);
        let held = entries.iter().map(|entry| counts.get(&entry.vm).copied().unwrap_or(0));
        let mut held = held;
        (entries.is_empty() || owners.len() == targets.len())
            && held.all(|count| count == even || count == even + 1)
    }
    QuickCheck::new().tests(300).quickcheck(property as fn(u8, u8) -> bool);
}

#[test]
fn the_order_in_which_targets_are_known_does_not_matter() {
    let (targets, entries) = (targets(100), entries(3));
    let reversed: Vec<SharedTarget> = targets.iter().rev().cloned().collect();
    assert_eq!(share_targets(targets, &entries), share_targets(reversed, &entries));
}

/// Two entries that disagree for a moment about one of the active ones still agree about most
/// targets: under a quarter of those that stay with a live entry have another owner.
#[test]
fn a_lost_entry_moves_few_targets_of_the_others() {
    let targets = targets(400);
    let (all, fewer) = (entries(4), entries(3));
    let before = share_targets(targets.clone(), &all);
    let after = share_targets(targets, &fewer);
    let lives = |owner: &VmId| fewer.iter().any(|entry| entry.vm == *owner);
    let stayed = before.iter().filter(|(_, owner)| lives(owner));
    let (moved, kept): (Vec<_>, Vec<_>) =
        stayed.partition(|(target, owner)| after.get(*target) != Some(owner));
    assert!(moved.len() * 4 < kept.len() + moved.len(), "{} of {}", moved.len(), kept.len());
}

/// Each crossing costs the users; three halls of four have an entry of their own.
#[test]
fn targets_go_to_an_entry_nearby_as_long_as_it_has_room() {
    let (targets, entries) = (targets(400), entries(3));
    let owners = share_targets(targets.clone(), &entries);
    let near = targets.iter().filter(|target| {
        let owner = entries.iter().find(|entry| Some(&entry.vm) == owners.get(&target.id));
        owner.is_some_and(|owner| owner.failure_domain == target.failure_domain)
    });
    assert_eq!(near.count(), 300);
}
