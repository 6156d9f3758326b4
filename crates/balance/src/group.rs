//! Selects the entries that serve a service and the home targets of each entry.

use std::collections::BTreeMap;

use shallotfork_types::{FailureDomain, ServiceName, TargetId, VmId, rendezvous_weight};

/// Number of entries that serve a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GroupSize(u32);

impl GroupSize {
    /// Creates a group size; zero counts as one.
    pub fn new(entries: u32) -> Self {
        Self(entries.max(1))
    }

    /// Returns the number of entries.
    pub fn value(self) -> u32 {
        self.0
    }
}

/// An entry that can serve services.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupEntry {
    /// The VM of the entry.
    pub vm: VmId,
    /// The failure domain of the VM.
    pub failure_domain: FailureDomain,
}

/// The entries that serve one service, best first, spread over failure domains.
///
/// Every process with the same list of entries computes the same group. Where views differ, the
/// group only affects advertisement to callers and target preferences: any entry serves any service
/// it is asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceGroup {
    members: Vec<VmId>,
}

impl ServiceGroup {
    /// Selects the group by rendezvous hashing: takes the entries with the highest weights, in turn
    /// from each failure domain.
    pub fn new(service: &ServiceName, entries: &[GroupEntry], size: GroupSize) -> Self {
        let mut ranked: Vec<(usize, u64, &GroupEntry)> = Vec::with_capacity(entries.len());
        for (rank, weight, entry) in rank_within_domains(service, entries) {
            ranked.push((rank, weight, entry));
        }
        ranked.sort_by(|a, b| (a.0, b.1, &a.2.vm).cmp(&(b.0, a.1, &b.2.vm)));
        let wanted = size.value() as usize;
        let members = ranked.into_iter().take(wanted).map(|(_, _, entry)| entry.vm.clone());
        Self { members: members.collect() }
    }

    /// Returns the entries of the group, best first.
    pub fn members(&self) -> &[VmId] {
        &self.members
    }

    /// Returns whether the entry belongs to the group.
    pub fn contains(&self, vm: &VmId) -> bool {
        self.members.contains(vm)
    }

    /// Returns the home targets of `vm`: each target is the home target of one member, and targets
    /// are distributed evenly over the members.
    ///
    /// A member knows the load of its home targets because it sends them most of their work. For
    /// other targets, its own number of requests in flight says little.
    pub fn home_targets(&self, vm: &VmId, targets: &[TargetId]) -> Vec<TargetId> {
        if self.members.is_empty() {
            return Vec::new();
        }
        let max_homes = targets.len().div_ceil(self.members.len());
        let mut homes: BTreeMap<&VmId, Vec<TargetId>> = BTreeMap::new();
        let mut sorted_targets: Vec<&TargetId> = targets.iter().collect();
        sorted_targets.sort();
        for target in sorted_targets {
            let room = |vm: &&VmId| homes.get(vm).is_none_or(|ids| ids.len() < max_homes);
            let weight = |vm: &&VmId| rendezvous_weight(target.as_str(), vm.as_str());
            let Some(home) = self.members.iter().filter(room).max_by_key(weight) else { continue };
            homes.entry(home).or_default().push(target.clone());
        }
        homes.remove(vm).unwrap_or_default()
    }
}

/// Returns each entry with its rank by weight within its failure domain.
fn rank_within_domains<'a>(
    service: &ServiceName,
    entries: &'a [GroupEntry],
) -> Vec<(usize, u64, &'a GroupEntry)> {
    let mut domains: BTreeMap<&FailureDomain, Vec<(u64, &GroupEntry)>> = BTreeMap::new();
    for entry in entries {
        let weight = rendezvous_weight(service.as_str(), entry.vm.as_str());
        domains.entry(&entry.failure_domain).or_default().push((weight, entry));
    }
    let mut ranked = Vec::new();
    for mut members in domains.into_values() {
        members.sort_by(|a, b| (b.0, &a.1.vm).cmp(&(a.0, &b.1.vm)));
        let ranks = members.into_iter().enumerate();
        ranked.extend(ranks.map(|(rank, (weight, entry))| (rank, weight, entry)));
    }
    ranked
}
