//! Decides whether this process has lost its path to all targets.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::time::Duration;

use shallotfork_types::{Mono, TargetId};

use crate::evidence::{ReachEvidence, ReachSummary};

/// Limits of a [`PathMonitor`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PathConfig {
    /// Number of targets that stay silent, with no answer of any target in between, from which the
    /// path is checked; 3 by default. One or two are busy or have failed.
    pub silent_targets_min: usize,
    /// Number of targets to which new connections fail, with none that succeeds in between, from
    /// which the path is checked; 2 by default.
    pub unopened_targets_min: usize,
    /// Number of targets that one check connects to; 4 by default.
    pub checked_targets: usize,
    /// Shortest time between two checks while the path is not known to be lost; 500 ms by default.
    /// Busy targets may stay silent for longer than this.
    pub check_pause: Duration,
    /// Time between two checks while the path is lost; 250 ms by default.
    pub isolated_check_interval: Duration,
    /// Number of consecutive failed checks after which the path counts as lost if there is only one
    /// of two signs: no connection opens, or no target answers; 2 by default. Busy targets may refuse
    /// new connections, or leave them waiting.
    pub failed_checks_min: u32,
    /// Number of consecutive checks that half of the targets answer after which the path counts as
    /// restored; 2 by default.
    pub passed_checks_min: u32,
    /// Age up to which an answer shows that targets are reached; 500 ms by default.
    pub answer_valid_for: Duration,
}

impl Default for PathConfig {
    fn default() -> Self {
        Self {
            silent_targets_min: 3,
            unopened_targets_min: 2,
            checked_targets: 4,
            check_pause: Duration::from_millis(500),
            isolated_check_interval: Duration::from_millis(250),
            failed_checks_min: 2,
            passed_checks_min: 2,
            answer_valid_for: Duration::from_millis(500),
        }
    }
}

/// Whether an attempt or a probe used a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionAge {
    /// It was opened, or could not be opened, for this attempt.
    New,
    /// It was open before.
    Kept,
}

/// What became of a new connection that a check opened to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CheckOutcome {
    /// The target answered.
    Answered,
    /// The connection was opened and stayed silent, as at a busy target or behind a middlebox.
    Silent,
    /// The connection could not be opened, or was reset.
    Failed,
}

/// A change of the path to the targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathChange {
    /// No target is reached any more.
    Lost,
    /// Targets are reached again.
    Restored {
        /// Time from the first sign of the loss until now.
        lasted: Duration,
    },
}

/// A path that is lost.
#[derive(Debug, Clone, Copy)]
struct Isolation {
    /// Time of the first sign of the loss.
    suspected_at: Mono,
    passed_checks: u32,
}

/// Observes attempts and probes, asks for checks when they suggest that the path is lost, and
/// decides by the outcomes of the checks.
///
/// The decision needs checks because load looks alike from here: busy targets leave probes waiting
/// and reset new connections. While other targets answer on open connections, only connections that
/// fail outright count, in several checks.
#[derive(Debug, Default)]
pub struct PathMonitor {
    config: PathConfig,
    evidence: ReachEvidence,
    /// Targets that stayed silent since the last answer of any target.
    silent: BTreeSet<TargetId>,
    /// Targets to which a new connection failed since the last answer on a new connection.
    unopened: BTreeSet<TargetId>,
    /// Time of the first sign of a loss since the last answer; `None` if there is none.
    suspected_at: Option<Mono>,
    /// Whether a check is due whatever the evidence.
    is_check_requested: bool,
    is_checking: bool,
    last_check_at: Option<Mono>,
    failed_checks: u32,
    isolation: Option<Isolation>,
    /// Number of targets checked so far, by which checks rotate through the targets.
    checked_count: usize,
}

impl PathMonitor {
    /// Creates a monitor for a path that is not known to be lost.
    pub fn new(config: PathConfig) -> Self {
        Self { config, ..Self::default() }
    }

    /// Whether this process reaches no target.
    pub fn is_isolated(&self) -> bool {
        self.isolation.is_some()
    }

    /// Whether an attempt would be in vain: the path is lost, and no target answers on an open
    /// connection either.
    pub fn is_hopeless(&self, now: Mono) -> bool {
        self.is_isolated() && !self.has_recent_answer(now)
    }

    /// Whether any target but this one has answered after `since`, which shows that a failure of this
    /// one at that time was not the loss of the path.
    pub fn has_other_answered(&self, target: &TargetId, since: Mono) -> bool {
        self.evidence.has_other_answered(target, since)
    }

    /// Sets the known targets and forgets all others.
    pub fn set_targets<'a>(&mut self, targets: impl Iterator<Item = &'a TargetId>) {
        let known: BTreeSet<&TargetId> = targets.collect();
        self.silent.retain(|target| known.contains(target));
        self.unopened.retain(|target| known.contains(target));
        self.evidence.retain(&known);
    }

    /// Records an answer of a target, which may be an error or a rejection.
    pub fn record_answer(&mut self, target: &TargetId, connection: ConnectionAge, now: Mono) {
        self.evidence.record_answer(target, now);
        self.silent.clear();
        if connection == ConnectionAge::New {
            self.unopened.clear();
            self.failed_checks = 0;
        }
        if self.unopened.is_empty() {
            self.suspected_at = None;
        }
    }

    /// Records that a connection failed or ended without an answer.
    pub fn record_failure(&mut self, target: &TargetId, connection: ConnectionAge, now: Mono) {
        self.evidence.record_failure(target, now);
        if connection == ConnectionAge::New {
            self.unopened.insert(target.clone());
        }
        self.record_silence(target, now);
    }

    /// Records that a target has not answered promptly.
    pub fn record_silence(&mut self, target: &TargetId, now: Mono) {
        self.silent.insert(target.clone());
        self.suspected_at.get_or_insert(now);
    }

    /// Requests a check unless a target has answered recently: another process has lost its path, or
    /// this one is about to receive callers.
    pub fn request_check(&mut self, now: Mono) {
        self.is_check_requested |= !self.has_recent_answer(now);
    }

    /// Returns the time until the next check; `None` if none is needed as far as is known now.
    pub fn next_check_in(&self, known: usize, now: Mono) -> Option<Duration> {
        if self.is_checking || known == 0 {
            return None;
        }
        let pause = if self.is_isolated() {
            self.config.isolated_check_interval
        } else if self.is_suspicious(known) {
            self.config.check_pause
        } else {
            return None;
        };
        Some(self.last_check_at.map_or(Duration::ZERO, |at| pause.saturating_sub(now.since(at))))
    }

    /// Begins a check if one is due and returns the targets to connect to. Prefers those that have
    /// answered last, so that a few failed targets are not mistaken for a lost path.
    pub fn begin_check(&mut self, known: &[TargetId], now: Mono) -> Vec<TargetId> {
        if self.next_check_in(known.len(), now) != Some(Duration::ZERO) {
            return Vec::new();
        }
        self.is_checking = true;
        self.is_check_requested = false;
        let count = self.config.checked_targets.min(known.len());
        let mut candidates: Vec<&TargetId> =
            known.iter().cycle().skip(self.checked_count % known.len()).take(known.len()).collect();
        candidates.sort_by_key(|target| Reverse(self.evidence.answered_at(target)));
        self.checked_count = self.checked_count.wrapping_add(count);
        candidates.into_iter().take(count).cloned().collect()
    }

    /// Ends a check. Returns the change of the path, if there is one.
    pub fn finish_check(&mut self, outcomes: &[CheckOutcome], now: Mono) -> Option<PathChange> {
        self.is_checking = false;
        self.last_check_at = Some(now);
        let count = |wanted| outcomes.iter().filter(|outcome| **outcome == wanted).count();
        let (answered, failed) = (count(CheckOutcome::Answered), count(CheckOutcome::Failed));
        if self.is_isolated() {
            return self.finish_isolated_check(answered * 2 >= outcomes.len(), now);
        }
        if answered > 0 || outcomes.is_empty() {
            self.silent.clear();
            self.unopened.clear();
            (self.suspected_at, self.failed_checks) = (None, 0);
            return None;
        }
        let opens_none = failed == outcomes.len();
        let is_silent = !self.has_recent_answer(now);
        self.failed_checks = if opens_none || is_silent { self.failed_checks + 1 } else { 0 };
        let is_lost =
            opens_none && is_silent || self.failed_checks >= self.config.failed_checks_min;
        if !is_lost {
            return None;
        }
        let suspected_at = self.suspected_at.unwrap_or(now);
        self.isolation = Some(Isolation { suspected_at, passed_checks: 0 });
        Some(PathChange::Lost)
    }

    /// Summarizes which of `known` targets are reached.
    pub fn summary(&self, known: usize, now: Mono) -> ReachSummary {
        self.evidence.summary(known, now)
    }

    fn finish_isolated_check(&mut self, passed: bool, now: Mono) -> Option<PathChange> {
        let isolation = self.isolation.as_mut()?;
        isolation.passed_checks = if passed { isolation.passed_checks + 1 } else { 0 };
        if isolation.passed_checks < self.config.passed_checks_min {
            return None;
        }
        let lasted = now.since(isolation.suspected_at);
        self.isolation = None;
        self.silent.clear();
        self.unopened.clear();
        (self.suspected_at, self.failed_checks) = (None, 0);
        Some(PathChange::Restored { lasted })
    }

    fn is_suspicious(&self, known: usize) -> bool {
        self.is_check_requested
            || self.silent.len() >= self.config.silent_targets_min.min(known)
            || self.unopened.len() >= self.config.unopened_targets_min.min(known)
    }

    fn has_recent_answer(&self, now: Mono) -> bool {
        let last_answer_at = self.evidence.last_answer_at();
        last_answer_at.is_some_and(|at| now.since(at) < self.config.answer_valid_for)
    }
}
