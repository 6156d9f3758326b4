//! Which of the active entries sends requests to a target.

use std::collections::BTreeMap;

use shallotfork_types::{TargetId, VmId, rendezvous_weight};

/// Deals the targets of one service out to the active entries, each of which gets as many as the
/// others, or one more.
///
/// A target that belongs to one entry gets its requests from nobody else, so that the entry knows
/// all of its load without a message. Callers choose among the entries with equal chances: an entry
/// with fewer targets than the others would be full before them, and one without any could serve
/// nobody. Entries that know the same targets agree without a message; while two disagree about who
/// is active, most targets still have the same owner, and the targets' own reports tell of the
/// other's requests.
pub fn share_targets<'a>(
    targets: impl IntoIterator<Item = &'a TargetId>,
    active: &[VmId],
) -> BTreeMap<&'a TargetId, VmId> {
    let mut targets: Vec<&TargetId> = targets.into_iter().collect();
    targets.sort_unstable();
    let Some(even) = targets.len().checked_div(active.len()) else { return BTreeMap::new() };
    let dealt_evenly = even * active.len();
    let mut held = vec![0; active.len()];
    let mut owners = BTreeMap::new();
    for (number, target) in targets.into_iter().enumerate() {
        let room = if number < dealt_evenly { even } else { even + 1 };
        let open = (0..active.len()).filter(|entry| held[*entry] < room);
        let weight = |entry: &usize| rendezvous_weight(active[*entry].as_str(), target.as_str());
        let Some(owner) = open.max_by_key(weight) else { continue };
        held[owner] += 1;
        owners.insert(target, active[owner].clone());
    }
    owners
}
