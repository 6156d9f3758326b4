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
pub(crate) struct ReachEvidence {
    by_target: BTreeMap<TargetId, Evidence>,
    last_answer_at: Option<Mono>,
}

impl ReachEvidence {
    /// Forgets all targets but the known ones.
    pub(crate) fn retain(&mut self, known: &BTreeSet<&TargetId>) {
        self.by_target.retain(|target, _| known.contains(target));
    }

    /// Records that a target answered.
    pub(crate) fn record_answer(&mut self, target: &TargetId, now: Mono) {
        self.last_answer_at = Some(now);
        self.record(target, Evidence { is_reached: true, at: now });
    }

    /// Records that no connection to a target could be opened, or that it ended without an answer.
    pub(crate) fn record_failure(&mut self, target: &TargetId, now: Mono) {
        self.record(target, Evidence { is_reached: false, at: now });
    }

    fn record(&mut self, target: &TargetId, evidence: Evidence) {
        match self.by_target.get_mut(target) {
            Some(latest) => *latest = evidence,
            None => drop(self.by_target.insert(target.clone(), evidence)),
        }
    }

    /// Returns when a target answered, if that is the latest evidence of it.
    pub(crate) fn answered_at(&self, target: &TargetId) -> Option<Mono> {
        let evidence = self.by_target.get(target).filter(|evidence| evidence.is_reached);
        evidence.map(|evidence| evidence.at)
    }

    /// Whether any target but this one has answered after `since`.
    pub(crate) fn has_other_answered(&self, target: &TargetId, since: Mono) -> bool {
        let mut others = self.by_target.iter().filter(|(other, _)| *other != target);
        others.any(|(_, evidence)| evidence.is_reached && evidence.at > since)
    }

    /// Returns when any target answered last.
    pub(crate) fn last_answer_at(&self) -> Option<Mono> {
        self.last_answer_at
    }

    /// Summarizes the evidence about `known` targets.
    pub(crate) fn summary(&self, known: usize, now: Mono) -> ReachSummary {
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
