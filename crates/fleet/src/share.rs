//! Which of the active entries sends requests to a target.

use std::collections::BTreeMap;

use shallotfork_types::{FailureDomain, TargetId, VmId, rendezvous_weight};

use crate::active::ActiveEntry;

/// A target that is dealt out.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct SharedTarget {
    /// Its id.
    pub id: TargetId,
    /// Where it stands.
    pub failure_domain: FailureDomain,
}

/// Deals the targets of one service out to the active entries, each of which gets as many as the
/// others, or one more; those in its own failure domain first.
///
/// A target that belongs to one entry gets its requests from nobody else, so that the entry knows
/// all of its load without a message. Callers choose among the entries with equal chances: an entry
/// with fewer targets than the others would be full before them, and one without any could serve
/// nobody. Entries that know the same targets agree without a message; while two disagree about who
/// is active, most targets still have the same owner, and the targets' own reports tell of the
/// other's requests.
pub fn share_targets(
    mut targets: Vec<SharedTarget>,
    active: &[ActiveEntry],
) -> BTreeMap<TargetId, VmId> {
    targets.sort_unstable();
    let mut deal = Deal::new(targets.len(), active);
    let far: Vec<SharedTarget> =
        targets.into_iter().filter(|target| !deal.deal_near(target)).collect();
    far.iter().for_each(|target| deal.deal_anywhere(target));
    deal.owners
}

struct Deal<'a> {
    active: &'a [ActiveEntry],
    /// Targets that each entry gets at least.
    even: usize,
    /// Targets that can be dealt before any entry gets one more.
    dealt_evenly: usize,
    held: Vec<usize>,
    owners: BTreeMap<TargetId, VmId>,
}

impl<'a> Deal<'a> {
    fn new(targets: usize, active: &'a [ActiveEntry]) -> Self {
        let even = targets.checked_div(active.len()).unwrap_or(0);
        let held = vec![0; active.len()];
        Self { active, even, dealt_evenly: even * active.len(), held, owners: BTreeMap::new() }
    }

    fn deal_near(&mut self, target: &SharedTarget) -> bool {
        let near = |entry: &ActiveEntry| entry.failure_domain == target.failure_domain;
        self.deal(target, self.even, near)
    }

    fn deal_anywhere(&mut self, target: &SharedTarget) {
        let even = self.owners.len() < self.dealt_evenly;
        let room = if even { self.even } else { self.even + 1 };
        self.deal(target, room, |_| true);
    }

    fn deal(
        &mut self,
        target: &SharedTarget,
        room: usize,
        may_hold: impl Fn(&ActiveEntry) -> bool,
    ) -> bool {
        let open = (0..self.active.len())
            .filter(|entry| self.held[*entry] < room && may_hold(&self.active[*entry]));
        let weight =
            |entry: &usize| rendezvous_weight(self.active[*entry].vm.as_str(), target.id.as_str());
        let Some(owner) = open.max_by_key(weight) else { return false };
        self.held[owner] += 1;
        self.owners.insert(target.id.clone(), self.active[owner].vm.clone());
        true
    }
}
