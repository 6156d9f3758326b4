//! Whom a process sends heartbeats to.

use shallotfork_types::{VmId, rendezvous_weight};

use crate::EntryVm;

/// Chooses the VMs that `own` sends heartbeats to: all of them in a small fleet, else the
/// `most` that rank highest for it.
///
/// The number of heartbeats a node sends stays the same however large the fleet grows, and each
/// VM is expected to be watched by as many others.
pub fn heartbeat_peers(own: &VmId, entries: &[EntryVm], most: usize) -> Vec<EntryVm> {
    let mut others: Vec<EntryVm> =
        entries.iter().filter(|entry| entry.vm != *own).cloned().collect();
    if others.len() <= most {
        return others;
    }
    others
        .sort_by_key(|entry| std::cmp::Reverse(rendezvous_weight(own.as_str(), entry.vm.as_str())));
    others.truncate(most);
    others
}
