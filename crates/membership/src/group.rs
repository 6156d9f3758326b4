//! Groups of entries that serve a service, and the order in which a caller should try them.

use std::cmp::Reverse;

use shallotfork_balance::{GroupEntry, GroupSize, ServiceGroup};
use shallotfork_types::{FailureDomain, ServiceName};

use crate::{EntryState, EntryVm};

/// Properties of a caller that determine the order of its entries.
#[derive(Debug, Clone)]
pub struct CallerPreference {
    /// Failure domain of the caller, if it states one.
    pub failure_domain: Option<FailureDomain>,
    /// Number of positions by which the order is rotated, so that successive callers are spread
    /// over the group.
    pub rotation: u64,
}

/// Returns the group that serves a service, selected among the entries that may be advertised.
pub fn service_group(service: &ServiceName, entries: &[EntryVm], size: GroupSize) -> ServiceGroup {
    let candidates: Vec<GroupEntry> = advertisable_entries(entries).map(group_entry).collect();
    ServiceGroup::new(service, &candidates, size)
}

/// Returns the entries that a caller should use for a service, best first.
pub fn entries_for(
    service: &ServiceName,
    entries: &[EntryVm],
    size: GroupSize,
    preference: &CallerPreference,
) -> Vec<EntryVm> {
    let group = service_group(service, entries, size);
    let members: Vec<EntryVm> =
        advertisable_entries(entries).filter(|entry| group.contains(&entry.vm)).cloned().collect();
    rank_for_caller(&members, preference)
}

/// Ranks the members of a group in the order in which a caller should try them.
///
/// Members in the caller's failure domain come first; within the same distance the rotation
/// decides.
pub fn rank_for_caller(members: &[EntryVm], preference: &CallerPreference) -> Vec<EntryVm> {
    let mut members = members.to_vec();
    rotate(&mut members, preference.rotation);
    let is_near =
        |entry: &EntryVm| preference.failure_domain.as_ref() == Some(&entry.failure_domain);
    members.sort_by_key(|entry| Reverse(is_near(entry)));
    members
}

/// Returns the live entries, or the suspected ones if none is live.
///
/// If all entries seem lost, this process is more likely to be on the wrong side of a partition,
/// and a response with outdated addresses is better than an empty one.
fn advertisable_entries(entries: &[EntryVm]) -> impl Iterator<Item = &EntryVm> {
    let has_live = entries.iter().any(|entry| entry.state == EntryState::Live);
    let state = if has_live { EntryState::Live } else { EntryState::Suspected };
    entries.iter().filter(move |entry| entry.state == state)
}

fn group_entry(entry: &EntryVm) -> GroupEntry {
    GroupEntry { vm: entry.vm.clone(), failure_domain: entry.failure_domain.clone() }
}

fn rotate(members: &mut [EntryVm], rotation: u64) {
    if members.is_empty() {
        return;
    }
    let steps = rotation % members.len() as u64;
    members.rotate_left(usize::try_from(steps).unwrap_or(0));
}
