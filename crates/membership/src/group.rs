//! Which entries serve a service, and in which order a caller should try them.

use shallotfork_types::{FailureDomain, ServiceName, rendezvous};

use crate::{EntryState, EntryVm, GroupConfig};

/// What is known of the caller who asks.
#[derive(Debug, Clone)]
pub struct Preference {
    /// Where the caller stands, when it says so.
    pub failure_domain: Option<FailureDomain>,
    /// Rotates the order, so that callers who ask one after another spread over the group.
    pub turn: u64,
}

/// Chooses the entries that a caller should use for a service, best first.
///
/// The group is the same for every asker with the same view: rendezvous hashing, failure domains
/// taken in turn so that one lost domain never takes the whole group. Members near the caller come
/// first; within the same distance the turn decides.
///
/// Suspected VMs are left out unless nobody else is there: when all look dead, the fault is more
/// likely on this side of a partition, and an answer with old addresses beats none.
pub fn entries_for(
    service: &ServiceName,
    entries: &[EntryVm],
    config: &GroupConfig,
    preference: &Preference,
) -> Vec<EntryVm> {
    let mut ranked = candidates(entries);
    ranked.sort_by_key(|entry| {
        (std::cmp::Reverse(rendezvous(service.as_str(), entry.vm.as_str())), entry.vm.clone())
    });
    let mut group = spread(ranked, config.size);
    rotate(&mut group, preference.turn);
    let near = |entry: &EntryVm| preference.failure_domain.as_ref() == Some(&entry.failure_domain);
    group.sort_by_key(|entry| !near(entry));
    group
}

fn candidates(entries: &[EntryVm]) -> Vec<EntryVm> {
    for state in [EntryState::Live, EntryState::Suspected] {
        let found: Vec<EntryVm> =
            entries.iter().filter(|entry| entry.state == state).cloned().collect();
        if !found.is_empty() {
            return found;
        }
    }
    Vec::new()
}

/// Takes up to `size` entries in rank order, one of each failure domain before a second of any.
fn spread(ranked: Vec<EntryVm>, size: usize) -> Vec<EntryVm> {
    let mut rest = ranked;
    let mut group: Vec<EntryVm> = Vec::new();
    while group.len() < size && !rest.is_empty() {
        let (round, later) = one_per_domain(rest);
        group.extend(round);
        rest = later;
    }
    group.truncate(size);
    group
}

fn one_per_domain(ranked: Vec<EntryVm>) -> (Vec<EntryVm>, Vec<EntryVm>) {
    let mut seen: Vec<FailureDomain> = Vec::new();
    ranked.into_iter().partition(|entry| {
        let first = !seen.contains(&entry.failure_domain);
        if first {
            seen.push(entry.failure_domain.clone());
        }
        first
    })
}

fn rotate(group: &mut [EntryVm], turn: u64) {
    if group.is_empty() {
        return;
    }
    let steps = turn % group.len() as u64;
    group.rotate_left(usize::try_from(steps).unwrap_or(0));
}
