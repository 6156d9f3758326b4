//! Selection of the entries that read the platform for the whole fleet.

#![expect(clippy::unwrap_used, reason = "a test builder may end the test")]

use std::collections::BTreeSet;

use shallotfork_fleet::choose_readers;
use shallotfork_types::VmId;

fn vms(numbers: impl IntoIterator<Item = usize>) -> Vec<VmId> {
    numbers.into_iter().map(|number| VmId::new(&format!("vm-{number}")).unwrap()).collect()
}

fn disconnected(numbers: impl IntoIterator<Item = usize>) -> BTreeSet<VmId> {
    vms(numbers).into_iter().collect()
}

#[test]
fn disconnected_entries_are_skipped() {
    let ranking = vms(0..20);
    assert_eq!(choose_readers(&ranking, &disconnected([])), vms([0, 1, 2]));
    assert_eq!(choose_readers(&ranking, &disconnected([0, 2])), vms([1, 3, 4]));
    assert_eq!(choose_readers(&ranking, &disconnected([0, 1, 2, 3, 4, 5, 6, 8])), vms([7]));
    assert!(choose_readers(&[], &disconnected([])).is_empty());
}

/// Guards against calls of the whole fleet to an unavailable platform. During an outage of eight
/// seconds each entry that failed to read was replaced by the next one, which failed too: within
/// two seconds all had called the platform. Callers, which were sent to the first entry that had
/// not failed yet, ended up at the smallest VMs of the fleet.
#[test]
fn an_unavailable_platform_is_called_by_few_entries() {
    let ranking = vms(0..140);
    let mut failed = BTreeSet::new();
    while let Some(next) = choose_readers(&ranking, &failed).iter().find(|vm| !failed.contains(vm))
    {
        failed.insert(next.clone());
    }
    assert_eq!(failed.len(), 9);
    assert_eq!(choose_readers(&ranking, &failed), vms([0, 1, 2]));
}
