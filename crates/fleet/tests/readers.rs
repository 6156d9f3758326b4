//! Who reads the platform for the whole fleet.

#![expect(clippy::unwrap_used, reason = "a test builder may end the test")]

use std::collections::BTreeSet;

use shallotfork_fleet::choose_readers;
use shallotfork_types::VmId;

fn vms(numbers: impl IntoIterator<Item = usize>) -> Vec<VmId> {
    numbers.into_iter().map(|number| VmId::new(&format!("vm-{number}")).unwrap()).collect()
}

fn blind(numbers: impl IntoIterator<Item = usize>) -> BTreeSet<VmId> {
    vms(numbers).into_iter().collect()
}

#[test]
fn entries_that_are_turned_away_are_passed_over() {
    let order = vms(0..20);
    assert_eq!(choose_readers(&order, &blind([])), vms([0, 1, 2]));
    assert_eq!(choose_readers(&order, &blind([0, 2])), vms([1, 3, 4]));
    assert_eq!(choose_readers(&order, &blind([0, 1, 2, 3, 4, 5, 6, 8])), vms([7]));
    assert!(choose_readers(&[], &blind([])).is_empty());
}

/// The platform was down for eight seconds. Each entry that failed to read handed its place to the
/// next, which failed too; within two seconds all had called it, and callers, who were sent to the
/// first entry that had not failed yet, ended at the weakest VMs of the fleet.
#[test]
fn a_platform_that_is_away_is_not_asked_by_the_whole_fleet() {
    let order = vms(0..140);
    let mut failed = BTreeSet::new();
    while let Some(next) = choose_readers(&order, &failed).iter().find(|vm| !failed.contains(vm)) {
        failed.insert(next.clone());
    }
    assert_eq!(failed.len(), 9);
    assert_eq!(choose_readers(&order, &failed), vms([0, 1, 2]));
}
