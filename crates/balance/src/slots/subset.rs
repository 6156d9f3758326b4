//! The targets of a large service that this process chooses among first.
//!
//! A process that gets a few requests a second for thousands of targets reaches each of them once in
//! minutes: its reports are always out of date, its connections closed meanwhile, and comparing all
//! targets takes longer than everything else that a request needs. Each target is therefore assigned to
//! a few of the processes, near ones first. The others use it only if they find no slot in their subset.

use std::collections::BTreeMap;

use shallotfork_types::{FailureDomain, TargetId, rendezvous_weight};

use super::SlotPool;
use super::target::Target;

/// Number of targets up to which a process compares all of them for each request.
const UNDIVIDED_TARGETS_MAX: usize = 512;
/// Number of processes of its failure domain to which a target is assigned. With two, it stays in use
/// after the loss of one.
const LOCAL_PROCESSES: usize = 2;
/// Number of processes of all failure domains to which a target is assigned for requests from others.
const REMOTE_PROCESSES: usize = 1;
/// Number of points of a process on the ring. More points divide the targets more evenly.
const POINTS_PER_PROCESS: u32 = 32;

/// A process that sends requests to the targets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sharer {
    /// Name of the process.
    pub name: String,
    /// Failure domain of the process; `None` if it is not known.
    pub failure_domain: Option<FailureDomain>,
}

impl Sharer {
    /// Creates a process whose failure domain is not known.
    pub fn new(name: &str) -> Self {
        Self { name: name.to_owned(), failure_domain: None }
    }

    /// Sets the failure domain of the process.
    #[must_use]
    pub fn with_failure_domain(self, failure_domain: FailureDomain) -> Self {
        Self { failure_domain: Some(failure_domain), ..self }
    }
}

/// Processes on a hash ring. A process that comes or goes changes only the targets next to its points.
#[derive(Debug)]
struct Ring<'a> {
    /// Points with the process that each belongs to, in ascending order.
    points: Vec<(u64, &'a str)>,
    processes: usize,
}

impl<'a> Ring<'a> {
    fn new(processes: &[&'a str]) -> Self {
        let points_of = |name: &'a str| {
            (0..POINTS_PER_PROCESS)
                .map(move |point| (rendezvous_weight(name, &point.to_string()), name))
        };
        let mut points: Vec<(u64, &str)> =
            processes.iter().flat_map(|name| points_of(name)).collect();
        points.sort_unstable();
        Self { points, processes: processes.len() }
    }

    /// Returns whether a process is among the first `count` ones after a position.
    fn is_among_next(&self, own: &str, count: usize, position: u64) -> bool {
        if count >= self.processes {
            return true;
        }
        let first = self.points.partition_point(|(point, _)| *point < position);
        let mut next: Vec<&str> = Vec::with_capacity(count);
        for (_, name) in self.points[first..].iter().chain(&self.points[..first]) {
            if next.contains(name) {
                continue;
            }
            if *name == own {
                return true;
            }
            next.push(name);
            if next.len() == count {
                return false;
            }
        }
        false
    }
}

impl SlotPool {
    /// Decides which targets this process chooses among first. All processes divide the targets by the
    /// same hashes.
    pub(super) fn update_subset(&mut self) {
        let Self { targets, config, sharers, .. } = self;
        self.is_divided = targets.len() > UNDIVIDED_TARGETS_MAX;
        if !self.is_divided {
            targets.values_mut().for_each(|target| target.is_in_subset = true);
            return;
        }
        let own_domain = config.failure_domain.as_ref();
        // A process that is not advertised gets requests of callers with old addresses.
        let own = [(config.name.as_str(), own_domain)];
        let others = sharers.iter().filter(|sharer| sharer.name != config.name);
        let others = others.map(|sharer| (sharer.name.as_str(), sharer.failure_domain.as_ref()));
        let processes: Vec<(&str, Option<&FailureDomain>)> =
            own.into_iter().chain(others).collect();
        let names_in = |is_included: &dyn Fn(Option<&FailureDomain>) -> bool| -> Vec<&str> {
            let included = processes.iter().filter(|(_, domain)| is_included(*domain));
            included.map(|(name, _)| *name).collect()
        };
        let local = Ring::new(&names_in(&|domain| domain == own_domain));
        let all = Ring::new(&names_in(&|_| true));
        for target in targets.values_mut() {
            let is_local = own_domain == Some(&target.published.failure_domain);
            let (ring, count) =
                if is_local { (&local, LOCAL_PROCESSES) } else { (&all, REMOTE_PROCESSES) };
            target.is_in_subset = ring.is_among_next(&config.name, count, target.ring_position);
        }
    }

    /// Returns the targets that this process chooses among first.
    pub fn subset(&self) -> impl Iterator<Item = &TargetId> {
        self.targets.iter().filter(|(_, target)| target.is_in_subset).map(|(id, _)| id)
    }
}

/// Slots that are in use at a time at most, by kind of target. Counting them for each answer would
/// take longer than serving the request.
#[derive(Debug, Default)]
pub(super) struct SlotCounts {
    /// Number of serving targets.
    pub(super) serving_targets: usize,
    /// Number of slots of all serving targets.
    pub(super) serving_slots: u32,
    /// Number of serving targets by number of slots and by their part in the comparison of saturated
    /// and unsaturated targets.
    pub(super) kinds: BTreeMap<(u32, u64), u32>,
}

impl SlotCounts {
    pub(super) fn of<'a>(targets: impl Iterator<Item = &'a Target>) -> Self {
        let mut counts = Self::default();
        for target in targets.filter(|target| target.published.serving) {
            counts.serving_targets += 1;
            counts.serving_slots += target.published.slots;
            *counts.kinds.entry((target.published.slots, target.comparison_part())).or_default() +=
                1;
        }
        counts
    }
}
