//! Selection of the VMs that a process sends heartbeats to.

use shallotfork_types::{VmId, rendezvous_weight};

use crate::EntryVm;

/// Returns the VMs that `own` sends heartbeats to: all of them in a small fleet, otherwise the
/// `max_count` VMs that rank highest for it.
///
/// The number of heartbeats that a VM sends does not grow with the fleet, and each VM is expected
/// to be monitored by as many others.
pub fn heartbeat_peers(own: &VmId, entries: &[EntryVm], max_count: usize) -> Vec<EntryVm> {
    let mut others: Vec<EntryVm> =
        entries.iter().filter(|entry| entry.vm != *own).cloned().collect();
    if others.len() <= max_count {
        return others;
    }
    others
        .sort_by_key(|entry| std::cmp::Reverse(rendezvous_weight(own.as_str(), entry.vm.as_str())));
    others.truncate(max_count);
    others
}
