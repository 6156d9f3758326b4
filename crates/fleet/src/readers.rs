//! Who reads the platform for the whole fleet.

use std::collections::BTreeSet;

use shallotfork_types::VmId;

/// Entries that read the platform. Three of them lose no time when one or two are lost; each costs
/// a call for every change.
const READERS: usize = 3;
/// Entries at the head of the order among which they are chosen. A platform that turns away half of
/// all VMs turns away all of nine once in five hundred times.
const TRIED: usize = 9;

/// The readers, of entries in the order of [`fleet_order`](crate::fleet_order): the first ones that
/// don't say that the platform turns them away.
///
/// When all that may be tried are turned away, the platform is away, and the first ones go on
/// trying. Without the bound, each entry would take the place of those before it and find the
/// platform away in its turn: a call of every entry of the fleet, at a moment when the platform is
/// in trouble.
pub fn choose_readers(order: &[VmId], blind: &BTreeSet<VmId>) -> Vec<VmId> {
    let tried = || tried(order);
    let seeing: Vec<VmId> =
        tried().filter(|vm| !blind.contains(vm)).take(READERS).cloned().collect();
    if seeing.is_empty() { tried().take(READERS).cloned().collect() } else { seeing }
}

/// Whether an entry may have to read soon, since the platform turns away one of those that come
/// before or beside it. It then has to hear for itself who still reads: told by the first entry of
/// its failure domain, it would begin too late for a change to be in force in time.
pub fn may_have_to_read(own: &VmId, order: &[VmId], blind: &BTreeSet<VmId>) -> bool {
    tried(order).any(|vm| vm == own) && tried(order).any(|vm| blind.contains(vm))
}

fn tried(order: &[VmId]) -> impl Iterator<Item = &VmId> {
    order.iter().take(TRIED)
}
