//! Targets that are left out because their answers do not end.

use std::collections::BTreeMap;
use std::time::Duration;

use shallotfork_types::{Mono, TargetId};

use crate::target_run::TargetRun;

/// Faults after which a target is left out for the first time. A single one may be an answer that is
/// merely larger than the limits.
const FAULTS_MAX: u32 = 2;
/// Time within which these faults count together.
const FAULT_WINDOW: Duration = Duration::from_secs(30);
/// For how long a target is left out the first time. Each further time takes twice as long.
const EXCLUSION_INITIAL: Duration = Duration::from_secs(10);
/// For how long a target is left out at most.
const EXCLUSION_MAX: Duration = Duration::from_secs(300);
/// How long a target is remembered after its last fault and the end of its exclusion.
const RETENTION: Duration = Duration::from_secs(600);
/// How long a new exclusion is included in messages to peers.
const REPORT_PERIOD: Duration = Duration::from_millis(2500);
/// Maximum number of exclusions in one message.
const REPORTS_MAX: usize = 32;
/// Difference between two ends of one exclusion, as known to two processes. It grows by the time that
/// reports are under way.
const END_TOLERANCE: Duration = Duration::from_secs(2);

/// A process's record of an exclusion, as reported to its peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExclusionReport {
    /// The run that is left out.
    pub run: TargetRun,
    /// How much longer it is left out.
    pub remaining: Duration,
    /// How many times it has been left out, this time included.
    pub exclusions: u32,
}

#[derive(Debug)]
struct Record {
    run: TargetRun,
    /// Faults since `window_started_at`.
    faults: u32,
    window_started_at: Mono,
    exclusions: u32,
    excluded_until: Mono,
    /// Start of the period in which the exclusion is reported to peers.
    report_start: Mono,
}

impl Record {
    fn is_excluded(&self, now: Mono) -> bool {
        self.excluded_until > now
    }
}

/// Targets whose answers did not end, for this process or for a peer.
///
/// An answer without end costs processor time and memory until it is broken off, at each process that
/// tries the target. After an exclusion a single fault leaves the target out again, for longer.
#[derive(Debug, Default)]
pub struct FaultyTargets {
    records: BTreeMap<TargetId, Record>,
}

impl FaultyTargets {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records an answer of `run` that does not end. Returns the end of the exclusion if one begins.
    pub fn record_fault(&mut self, run: &TargetRun, now: Mono) -> Option<Mono> {
        let record = self.record_of(run, now);
        if record.is_excluded(now) {
            return None;
        }
        if now.since(record.window_started_at) >= FAULT_WINDOW {
            record.faults = 0;
            record.window_started_at = now;
        }
        record.faults += 1;
        if record.exclusions == 0 && record.faults < FAULTS_MAX {
            return None;
        }
        record.faults = 0;
        let duration = EXCLUSION_INITIAL.saturating_mul(2u32.saturating_pow(record.exclusions));
        record.exclusions += 1;
        record.excluded_until = now.plus(duration.min(EXCLUSION_MAX));
        record.report_start = now;
        Some(record.excluded_until)
    }

    /// Merges a report of a peer. Returns the end of the exclusion if that is new.
    pub fn merge(&mut self, report: &ExclusionReport, now: Mono) -> Option<Mono> {
        let until = now.plus(report.remaining.min(EXCLUSION_MAX));
        let record = self.record_of(&report.run, now);
        record.exclusions = record.exclusions.max(report.exclusions);
        if until <= record.excluded_until.plus(END_TOLERANCE) {
            return None;
        }
        record.excluded_until = until;
        record.report_start = now;
        Some(until)
    }

    /// Returns the exclusions to report to peers. If there are too many for one message, each call
    /// starts at a different one.
    pub fn reports(&self, now: Mono) -> Vec<ExclusionReport> {
        let is_due = |record: &&Record| {
            record.is_excluded(now) && now.since(record.report_start) < REPORT_PERIOD
        };
        let due: Vec<&Record> = self.records.values().filter(is_due).collect();
        let offset = usize::try_from(now.as_millis()).unwrap_or_default() % due.len().max(1);
        let selected = due.iter().cycle().skip(offset).take(REPORTS_MAX.min(due.len()));
        let report = |record: &&Record| ExclusionReport {
            run: record.run.clone(),
            remaining: record.excluded_until.since(now),
            exclusions: record.exclusions,
        };
        selected.map(report).collect()
    }

    /// Forgets a target whose process has ended.
    pub fn forget(&mut self, target: &TargetId) {
        self.records.remove(target);
    }

    /// Forgets targets without a fault for a long time.
    pub fn expire(&mut self, now: Mono) {
        let last_fault = |record: &Record| record.window_started_at.max(record.excluded_until);
        self.records.retain(|_, record| now.since(last_fault(record)) < RETENTION);
    }

    /// Returns the record of a run, a new one if only an earlier run of the target is known.
    fn record_of(&mut self, run: &TargetRun, now: Mono) -> &mut Record {
        let new = || Record {
            run: run.clone(),
            faults: 0,
            window_started_at: now,
            exclusions: 0,
            excluded_until: Mono::from_micros(0),
            report_start: now,
        };
        let record = self.records.entry(run.target.clone()).or_insert_with(new);
        if !record.run.may_be(run) {
            *record = new();
        }
        record
    }
}
