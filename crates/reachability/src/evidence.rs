//! Evidence of whether targets are reachable from this process.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use shallotfork_types::{Mono, TargetId};

/// Age up to which an answer proves that its target is reachable.
const ANSWER_VALID_FOR: Duration = Duration::from_secs(10);

/// How many targets are reachable from this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReachSummary {
    /// Targets that have answered within the last ten seconds, and not failed since.
    pub reachable: usize,
    /// Targets of which the last attempt or probe ended without an answer.
    pub unreachable: usize,
    /// Targets without recent evidence.
    pub unknown: usize,
    /// Time since the last answer of any target; `None` if there was none.
    pub last_answer_age: Option<Duration>,
}

/// The last evidence of each target.
#[derive(Debug, Clone, Copy)]
struct Evidence {
    is_reached: bool,
    at: Mono,
}

/// Evidence from attempts and probes, the latest of each target.
///
/// Any answer of a target counts as reached, including an error or a rejection.
#[derive(Debug, Default)]
pub struct ReachEvidence {
    by_target: BTreeMap<TargetId, Evidence>,
    last_answer_at: Option<Mono>,
}

impl ReachEvidence {
    /// Creates a record without evidence.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the known targets and forgets all others.
    pub fn set_targets<'a>(&mut self, targets: impl Iterator<Item = &'a TargetId>) {
        let known: BTreeSet<&TargetId> = targets.collect();
        self.by_target.retain(|target, _| known.contains(target));
    }

    /// Records that a target answered.
    pub fn record_answer(&mut self, target: &TargetId, now: Mono) {
        self.last_answer_at = Some(now);
        self.by_target.insert(target.clone(), Evidence { is_reached: true, at: now });
    }

    /// Records that no connection to a target could be opened, or that it ended without an answer.
    pub fn record_failure(&mut self, target: &TargetId, now: Mono) {
        self.by_target.insert(target.clone(), Evidence { is_reached: false, at: now });
    }

    /// Summarizes the evidence about `known` targets.
    pub fn summary(&self, known: usize, now: Mono) -> ReachSummary {
        let is_recent = |evidence: &Evidence| now.since(evidence.at) < ANSWER_VALID_FOR;
        let count = |predicate: &dyn Fn(&Evidence) -> bool| {
            self.by_target.values().filter(|evidence| predicate(evidence)).count()
        };
        let reachable = count(&|evidence| evidence.is_reached && is_recent(evidence));
        let unreachable = count(&|evidence| !evidence.is_reached);
        ReachSummary {
            reachable,
            unreachable,
            unknown: known.saturating_sub(reachable + unreachable),
            last_answer_age: self.last_answer_at.map(|at| now.since(at)),
        }
    }
}
