//! Which entries serve a service, and in which order a caller should try them.

use std::cmp::Reverse;

use shallotfork_balance::{GroupEntry, GroupSize, ServiceGroup};
use shallotfork_types::{FailureDomain, ServiceName};

use crate::{EntryState, EntryVm};

/// What is known of the caller who asks.
#[derive(Debug, Clone)]
pub struct CallerPreference {
    /// Where the caller stands, when it says so.
    pub failure_domain: Option<FailureDomain>,
    /// Rotates the order, so that callers who ask one after another spread over the group.
    pub rotation: u64,
}

/// The group of entries that serves a service, chosen among those that may be named in answers.
pub fn service_group(service: &ServiceName, entries: &[EntryVm], size: GroupSize) -> ServiceGroup {
    let candidates: Vec<GroupEntry> = nameable(entries).map(group_entry).collect();
    ServiceGroup::new(service, &candidates, size)
}

/// Chooses the entries that a caller should use for a service, best first.
pub fn entries_for(
    service: &ServiceName,
    entries: &[EntryVm],
    size: GroupSize,
    preference: &CallerPreference,
) -> Vec<EntryVm> {
    let group = service_group(service, entries, size);
    let members: Vec<EntryVm> =
        nameable(entries).filter(|entry| group.contains(&entry.vm)).cloned().collect();
    rank_for_caller(&members, preference)
}

/// The members of a group in the order in which one caller should try them.
///
/// Members near the caller come first; within the same distance the turn decides.
pub fn rank_for_caller(members: &[EntryVm], preference: &CallerPreference) -> Vec<EntryVm> {
    let mut members = members.to_vec();
    rotate(&mut members, preference.rotation);
    let near = |entry: &EntryVm| preference.failure_domain.as_ref() == Some(&entry.failure_domain);
    members.sort_by_key(|entry| Reverse(near(entry)));
    members
}

/// Live entries; suspected ones when nobody else is there.
///
/// When all look dead, the fault is more likely on this side of a partition, and an answer with
/// old addresses beats none.
fn nameable(entries: &[EntryVm]) -> impl Iterator<Item = &EntryVm> {
    let live = entries.iter().any(|entry| entry.state == EntryState::Live);
    let state = if live { EntryState::Live } else { EntryState::Suspected };
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
