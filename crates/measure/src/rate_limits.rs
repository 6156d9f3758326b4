//! Rate limits that targets advertise in their answers.

use std::collections::BTreeMap;
use std::time::Duration;

use shallotfork_types::{Mono, RequestRate, TargetId};

/// How long a changed limit is included in messages to peers.
const REPORT_PERIOD: Duration = Duration::from_millis(2500);
/// Maximum number of changed limits in one message.
const REPORTS_MAX: usize = 32;
/// Interval at which an unchanged limit is reported again, so that it does not expire at peers.
const REFRESH_INTERVAL: Duration = Duration::from_secs(60);
/// How long a limit is retained after the last answer that advertised it.
const LIMIT_RETENTION: Duration = Duration::from_secs(300);
/// How long the removal of a limit is retained, so that delayed reports of the limit are ignored.
const REMOVAL_RETENTION: Duration = Duration::from_secs(30);

/// A process's record of a target's rate limit, as reported to its peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RateLimitReport {
    /// The target.
    pub target: TargetId,
    /// Its limit; `None` if the target has removed it.
    pub limit: Option<RequestRate>,
    /// Time since the last answer on which the record is based.
    pub answered_ago: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Record {
    limit: Option<RequestRate>,
    answered_at: Mono,
    /// Start of the period in which the record is reported to peers.
    report_start: Mono,
}

/// Rate limits of targets, from answers to this process and from reports of its peers.
///
/// The most recent answer takes precedence, regardless of which process received it.
#[derive(Debug, Default)]
pub struct RateLimits {
    records: BTreeMap<TargetId, Record>,
}

impl RateLimits {
    /// Creates an empty set of limits.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the limit of a target; `None` if it has none.
    pub fn limit(&self, target: &TargetId) -> Option<RequestRate> {
        self.records.get(target).and_then(|record| record.limit)
    }

    /// Returns all targets that have a limit, with their limits.
    pub fn all(&self) -> impl Iterator<Item = (&TargetId, RequestRate)> {
        self.records.iter().filter_map(|(target, record)| Some((target, record.limit?)))
    }

    /// Records the limit that an answer of the target advertises, `None` for an answer without one.
    /// Returns whether the limit has changed.
    pub fn record_answer(
        &mut self,
        target: &TargetId,
        limit: Option<RequestRate>,
        now: Mono,
    ) -> bool {
        let Some(record) = self.records.get_mut(target) else {
            if limit.is_some() {
                let new = Record { limit, answered_at: now, report_start: now };
                self.records.insert(target.clone(), new);
            }
            return limit.is_some();
        };
        let changed = record.limit != limit;
        record.limit = limit;
        record.answered_at = now;
        if changed || now.since(record.report_start) >= REFRESH_INTERVAL {
            record.report_start = now;
        }
        changed
    }

    /// Merges a report from another process. Returns whether the limit has changed.
    pub fn merge(&mut self, report: &RateLimitReport, now: Mono) -> bool {
        let answered_at = now.minus(report.answered_ago);
        let previous = self.records.get(&report.target).copied();
        let is_latest = previous.is_none_or(|previous| answered_at > previous.answered_at);
        let is_retained = now.since(answered_at) < retention(report.limit);
        if !is_latest || !is_retained {
            return false;
        }
        let changed = previous.and_then(|previous| previous.limit) != report.limit;
        let is_refresh =
            |previous: Record| answered_at.since(previous.answered_at) >= REFRESH_INTERVAL / 2;
        let report_start = match previous {
            Some(previous) if !changed && !is_refresh(previous) => previous.report_start,
            _ => now,
        };
        let record = Record { limit: report.limit, answered_at, report_start };
        self.records.insert(report.target.clone(), record);
        changed
    }

    /// Returns the reports to send to peers: limits that have changed or been refreshed recently.
    /// If there are too many for one message, each call starts at a different one.
    pub fn reports(&self, now: Mono) -> Vec<RateLimitReport> {
        let is_due = |record: &Record| now.since(record.report_start) < REPORT_PERIOD;
        let due: Vec<_> = self.records.iter().filter(|(_, record)| is_due(record)).collect();
        let offset = usize::try_from(now.as_millis()).unwrap_or_default() % due.len().max(1);
        let selected = due.iter().copied().cycle().skip(offset).take(REPORTS_MAX.min(due.len()));
        let report = |(target, record): (&TargetId, &Record)| RateLimitReport {
            target: target.clone(),
            limit: record.limit,
            answered_ago: now.since(record.answered_at),
        };
        selected.map(report).collect()
    }

    /// Removes the record of a target that has left or restarted.
    pub fn forget(&mut self, target: &TargetId) {
        self.records.remove(target);
    }

    /// Removes expired records. Returns the targets whose limit has expired.
    pub fn expire(&mut self, now: Mono) -> Vec<TargetId> {
        let is_expired = |record: &Record| now.since(record.answered_at) >= retention(record.limit);
        let expired = self.records.extract_if(.., |_, record| is_expired(record));
        expired.filter(|(_, record)| record.limit.is_some()).map(|(target, _)| target).collect()
    }
}

fn retention(limit: Option<RequestRate>) -> Duration {
    if limit.is_some() { LIMIT_RETENTION } else { REMOVAL_RETENTION }
}
