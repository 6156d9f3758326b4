//! Differences between the targets of two snapshots.

use std::sync::Arc;

use shallotfork_platform::TargetInfo;

use crate::snapshot::{Service, Snapshot};

/// Targets of the services whose published target lists differ.
#[derive(Default)]
pub struct TargetChanges<'a> {
    /// Targets only in the old snapshot, or there under another address.
    pub removed: Vec<&'a TargetInfo>,
    /// All targets of the changed lists in the new snapshot, including unchanged ones.
    pub present: Vec<&'a TargetInfo>,
}

/// Compares two snapshots. Services that share the same target list are skipped without comparing
/// their targets.
pub fn target_changes<'a>(old: &'a Snapshot, new: &'a Snapshot) -> TargetChanges<'a> {
    let mut changes = TargetChanges::default();
    for (name, service) in &new.services {
        let before = old.services.get(name);
        if before.is_some_and(|before| Arc::ptr_eq(&before.targets, &service.targets)) {
            continue;
        }
        changes.present.extend(service.targets.by_id.values());
        changes
            .removed
            .extend(before.into_iter().flat_map(|before| removed_targets(before, Some(service))));
    }
    for (name, service) in &old.services {
        if !new.services.contains_key(name) {
            changes.removed.extend(removed_targets(service, None));
        }
    }
    changes
}

fn removed_targets<'a>(before: &'a Service, now: Option<&'a Service>) -> Vec<&'a TargetInfo> {
    let is_kept = |target: &&TargetInfo| {
        let same = now.and_then(|now| now.targets.by_id.get(&target.id));
        same.is_some_and(|same| same.endpoint == target.endpoint)
    };
    before.targets.by_id.values().filter(|target| !is_kept(target)).collect()
}
