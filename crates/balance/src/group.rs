//! Which entries serve a service, and which targets each of them prefers.

use std::collections::BTreeMap;

use shallotfork_types::{FailureDomain, ServiceName, TargetId, VmId, rendezvous_weight};

/// How many entries serve a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GroupSize(u32);

impl GroupSize {
    /// Wraps a number of entries; zero counts as one.
    pub fn new(entries: u32) -> Self {
        Self(entries.max(1))
    }

    /// The number of entries.
    pub fn value(self) -> u32 {
        self.0
    }
}

/// An entry that may serve services.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupEntry {
    /// The entry.
    pub vm: VmId,
    /// Where it runs.
    pub failure_domain: FailureDomain,
}

/// The entries that serve one service, best first, spread over failure domains.
///
/// Every process that has the same list of entries finds the same group; where views differ, the
/// group only steers callers and preferences, and any entry serves any service it is asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceGroup {
    members: Vec<VmId>,
}

impl ServiceGroup {
    /// Chooses the group by rendezvous hash: taking turns between failure domains, the entries
    /// with the highest weights.
    pub fn new(service: &ServiceName, entries: &[GroupEntry], size: GroupSize) -> Self {
        let mut ranked: Vec<(usize, u64, &GroupEntry)> = Vec::with_capacity(entries.len());
        for (turn, weight, entry) in by_domain(service, entries) {
            ranked.push((turn, weight, entry));
        }
        ranked.sort_by(|a, b| (a.0, b.1, &a.2.vm).cmp(&(b.0, a.1, &b.2.vm)));
        let wanted = size.value() as usize;
        let members = ranked.into_iter().take(wanted).map(|(_, _, entry)| entry.vm.clone());
        Self { members: members.collect() }
    }

    /// The group's entries, best first.
    pub fn members(&self) -> &[VmId] {
        &self.members
    }

    /// Whether the entry belongs to the group.
    pub fn contains(&self, vm: &VmId) -> bool {
        self.members.contains(vm)
    }

    /// The targets that `vm` prefers: each target is preferred by one member, evenly dealt.
    ///
    /// A member knows how busy its own targets are, because it alone sends them most of their
    /// work; on others its own count of requests in flight says little.
    pub fn home_targets(&self, vm: &VmId, targets: &[TargetId]) -> Vec<TargetId> {
        if self.members.is_empty() {
            return Vec::new();
        }
        let most = targets.len().div_ceil(self.members.len());
        let mut dealt: BTreeMap<&VmId, Vec<TargetId>> = BTreeMap::new();
        let mut ordered: Vec<&TargetId> = targets.iter().collect();
        ordered.sort();
        for target in ordered {
            let room = |vm: &&VmId| dealt.get(vm).is_none_or(|homes| homes.len() < most);
            let weight = |vm: &&VmId| rendezvous_weight(target.as_str(), vm.as_str());
            let Some(home) = self.members.iter().filter(room).max_by_key(weight) else { continue };
            dealt.entry(home).or_default().push(target.clone());
        }
        dealt.remove(vm).unwrap_or_default()
    }
}

/// Each entry with its rank by weight within its failure domain.
fn by_domain<'a>(
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
        let turns = members.into_iter().enumerate();
        ranked.extend(turns.map(|(turn, (weight, entry))| (turn, weight, entry)));
    }
    ranked
}
