//! Crash record of one request.

use std::time::Duration;

use crate::{CrashReport, QuarantineConfig, RequestFingerprint};
use shallotfork_types::Mono;

/// Crashes and answers of one request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Record {
    /// Crashes since the last answer, each in a run that was sent after the previous crash.
    crashes: u8,
    crashed_at: Mono,
    answered_at: Option<Mono>,
    /// When this process last changed the record.
    changed_at: Mono,
    /// Runs in progress that were sent by this process while the request was suspected.
    pub(crate) active_runs: u32,
}

impl Record {
    pub(crate) fn new(now: Mono) -> Self {
        Self { crashes: 0, crashed_at: now, answered_at: None, changed_at: now, active_runs: 0 }
    }

    pub(crate) fn crashes(&self) -> u8 {
        self.crashes
    }

    pub(crate) fn changed_at(&self) -> Mono {
        self.changed_at
    }

    /// Adds a crash during a run that was sent at `sent_at`. Returns whether the crash was counted.
    ///
    /// A run that was sent before the previous crash is ignored: targets that crash together for an
    /// unrelated reason would otherwise add one crash each to the requests that ran on them.
    pub(crate) fn add_crash(&mut self, sent_at: Mono, now: Mono) -> bool {
        if self.crashes > 0 && sent_at < self.crashed_at {
            return false;
        }
        self.crashes = self.crashes.saturating_add(1);
        self.crashed_at = now;
        self.changed_at = now;
        true
    }

    /// Records an answer, which resets the crash count.
    pub(crate) fn add_answer(&mut self, now: Mono) {
        self.crashes = 0;
        self.answered_at = Some(now);
        self.changed_at = now;
    }

    /// Merges the record of another process.
    ///
    /// Takes the larger crash count instead of the sum, because both processes may have had runs on
    /// the same target, or on targets that crashed together.
    pub(crate) fn merge(&mut self, report: &CrashReport, now: Mono) {
        let previous = (self.crashes, self.answered_at);
        let answered_at = report.answered_ago.map(|ago| now.minus(ago));
        if answered_at > self.answered_at {
            self.answered_at = answered_at;
            if answered_at >= Some(self.crashed_at) {
                self.crashes = 0;
            }
        }
        let crashed_at = now.minus(report.crashed_ago);
        let is_after_answer = self.answered_at.is_none_or(|answered_at| crashed_at > answered_at);
        if is_after_answer && report.crashes > self.crashes {
            self.crashes = report.crashes;
            self.crashed_at = crashed_at;
        }
        if previous != (self.crashes, self.answered_at) {
            self.changed_at = now;
        }
    }

    /// Returns the record as a report to other processes.
    pub(crate) fn report(&self, fingerprint: RequestFingerprint, now: Mono) -> CrashReport {
        CrashReport {
            fingerprint,
            crashes: self.crashes,
            crashed_ago: now.since(self.crashed_at),
            answered_ago: self.answered_at.map(|at| now.since(at)),
        }
    }

    /// Returns the remaining time of the quarantine, or `None` if the request is not quarantined.
    pub(crate) fn quarantine_remaining(
        &self,
        config: &QuarantineConfig,
        now: Mono,
    ) -> Option<Duration> {
        let remaining = self.crashed_at.plus(config.quarantine_for).since(now);
        (self.crashes >= config.crashes_max && !remaining.is_zero()).then_some(remaining)
    }

    /// Returns whether the request has recent crashes, but too few for a quarantine.
    pub(crate) fn is_suspected(&self, config: &QuarantineConfig, now: Mono) -> bool {
        self.crashes > 0
            && self.crashes < config.crashes_max
            && now.since(self.crashed_at) < config.suspect_for
    }

    /// Returns whether the record still affects a decision and must be retained.
    pub(crate) fn is_retained(&self, config: &QuarantineConfig, now: Mono) -> bool {
        let is_recent = |at: Mono| now.since(at) < config.answer_retained_for;
        self.quarantine_remaining(config, now).is_some()
            || self.is_suspected(config, now)
            || self.answered_at.is_some_and(is_recent)
    }
}
