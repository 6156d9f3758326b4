//! Targets that have said that they are leaving.

use std::collections::BTreeMap;
use std::time::Duration;

use shallotfork_types::{Mono, TargetId};

use crate::target_run::TargetRun;

/// How long a new statement is included in messages to peers.
const REPORT_PERIOD: Duration = Duration::from_millis(2500);
/// Maximum number of statements in one message.
const REPORTS_MAX: usize = 32;
/// How long a statement is kept after the last answer that made it. A target whose start is not
/// known may have started again under its id, and would otherwise stay unused.
const RETENTION: Duration = Duration::from_secs(300);

/// A process's record of a target that is leaving, as reported to its peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeavingReport {
    /// The run that is leaving.
    pub run: TargetRun,
    /// Time since the answer on which the record is based.
    pub answered_ago: Duration,
}

#[derive(Debug)]
struct Record {
    run: TargetRun,
    answered_at: Mono,
    /// Start of the period in which the record is reported to peers.
    report_start: Mono,
}

/// Targets that have said in an answer that they are leaving, to this process or to a peer.
///
/// The statement holds for one run of the target, whatever the platform publishes about that run:
/// its list may be older than the answer.
#[derive(Debug, Default)]
pub struct LeavingTargets {
    records: BTreeMap<TargetId, Record>,
    version: u64,
}

impl LeavingTargets {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns a number that changes whenever the result of [`is_leaving`](Self::is_leaving) may have
    /// changed.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Whether a run of a target is leaving.
    pub fn is_leaving(&self, run: &TargetRun) -> bool {
        self.records.get(&run.target).is_some_and(|record| record.run.may_be(run))
    }

    /// Records that an answer of `run` states that it is leaving. Returns whether that is new.
    pub fn record_leaving(&mut self, run: &TargetRun, now: Mono) -> bool {
        self.insert(run, now, now)
    }

    /// Records a success of `run` that doesn't state that it is leaving. Only one to a request that
    /// was sent after the statement withdraws it, since answers may overtake each other.
    pub fn record_staying(&mut self, run: &TargetRun, sent_at: Mono) {
        let is_withdrawn = |record: &Record| record.run.may_be(run) && sent_at > record.answered_at;
        if self.records.get(&run.target).is_some_and(is_withdrawn) {
            self.records.remove(&run.target);
            self.version += 1;
        }
    }

    /// Merges a report of a peer. Returns whether it is new that the run is leaving.
    pub fn merge(&mut self, report: &LeavingReport, now: Mono) -> bool {
        let is_retained = report.answered_ago < RETENTION;
        is_retained && self.insert(&report.run, now.minus(report.answered_ago), now)
    }

    /// Returns the reports to send to peers: the recent statements. If there are too many for one
    /// message, each call starts at a different one.
    pub fn reports(&self, now: Mono) -> Vec<LeavingReport> {
        let is_due = |record: &&Record| now.since(record.report_start) < REPORT_PERIOD;
        let due: Vec<&Record> = self.records.values().filter(is_due).collect();
        let offset = usize::try_from(now.as_millis()).unwrap_or_default() % due.len().max(1);
        let selected = due.iter().cycle().skip(offset).take(REPORTS_MAX.min(due.len()));
        let report = |record: &&Record| LeavingReport {
            run: record.run.clone(),
            answered_ago: now.since(record.answered_at),
        };
        selected.map(report).collect()
    }

    /// Forgets a target whose process has ended.
    pub fn forget(&mut self, target: &TargetId) {
        self.version += u64::from(self.records.remove(target).is_some());
    }

    /// Forgets statements that no answer has made for a long time.
    pub fn expire(&mut self, now: Mono) {
        let before = self.records.len();
        self.records.retain(|_, record| now.since(record.answered_at) < RETENTION);
        self.version += u64::from(self.records.len() != before);
    }

    fn insert(&mut self, run: &TargetRun, answered_at: Mono, now: Mono) -> bool {
        if let Some(known) = self.records.get_mut(&run.target) {
            if known.run.may_be(run) {
                known.answered_at = known.answered_at.max(answered_at);
                return false;
            }
            if known.run.started_at_ms > run.started_at_ms {
                return false;
            }
        }
        let record = Record { run: run.clone(), answered_at, report_start: now };
        self.records.insert(run.target.clone(), record);
        self.version += 1;
        true
    }
}
