//! Records of the requests, runs and probes of a target.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::net::ConnectionCounts;

const WINDOW: Duration = Duration::from_secs(1);

/// Number of runs with one idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRuns {
    /// Idempotency key as received.
    pub key: String,
    /// Number of runs started.
    pub runs: u64,
}

/// Number of runs with one mark.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MarkRuns {
    /// Mark as received.
    pub mark: String,
    /// Number of runs started.
    pub runs: u64,
}

/// Records of a target, as returned by its control server.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRecords {
    /// Number of requests whose head was received, without probes.
    pub arrived: u64,
    /// Number of requests that started to run.
    pub runs: u64,
    /// Number of runs that completed; the others were abandoned by the sender.
    pub completed: u64,
    /// Number of requests shed before they started.
    pub shed: u64,
    /// Number of requests failed by a fault.
    pub failed: u64,
    /// Number of runs by idempotency key.
    pub runs_by_key: Vec<KeyRuns>,
    /// Number of runs by mark.
    pub runs_by_mark: Vec<MarkRuns>,
    /// Number of probes received.
    pub probes: u64,
    /// Maximum number of probes in any window of one second.
    pub probes_max_in_second: u64,
    /// Time from the start of draining to the arrival of each request received while draining, in
    /// milliseconds.
    pub arrived_after_drain_ms: Vec<u64>,
    /// Counts of connections.
    pub connections: ConnectionCounts,
}

impl TargetRecords {
    /// Returns the number of runs started with `key`.
    pub fn runs_of_key(&self, key: &str) -> u64 {
        self.runs_by_key.iter().find(|runs| runs.key == key).map_or(0, |runs| runs.runs)
    }

    /// Returns the number of runs started with `mark`.
    pub fn runs_of_mark(&self, mark: &str) -> u64 {
        self.runs_by_mark.iter().find(|runs| runs.mark == mark).map_or(0, |runs| runs.runs)
    }
}

/// Records events as they occur.
#[derive(Debug, Default)]
pub(super) struct Recorder {
    totals: TargetRecords,
    by_key: BTreeMap<String, u64>,
    by_mark: BTreeMap<String, u64>,
    recent_probes_at: VecDeque<Instant>,
    recent_completions_at: VecDeque<Instant>,
    draining_started_at: Option<Instant>,
}

impl Recorder {
    pub(super) fn set_draining(&mut self, draining: bool, now: Instant) {
        self.draining_started_at = draining.then(|| self.draining_started_at.unwrap_or(now));
    }

    pub(super) fn record_arrival(&mut self, now: Instant) {
        self.totals.arrived += 1;
        if let Some(started_at) = self.draining_started_at {
            let after_ms = now.duration_since(started_at).as_millis();
            let after_ms = u64::try_from(after_ms).unwrap_or(u64::MAX);
            self.totals.arrived_after_drain_ms.push(after_ms);
        }
    }

    pub(super) fn record_start(&mut self, key: Option<&str>, mark: Option<&str>) {
        self.totals.runs += 1;
        if let Some(key) = key {
            *self.by_key.entry(key.to_owned()).or_default() += 1;
        }
        if let Some(mark) = mark {
            *self.by_mark.entry(mark.to_owned()).or_default() += 1;
        }
    }

    pub(super) fn record_completion(&mut self, now: Instant) {
        self.totals.completed += 1;
        self.recent_completions_at.push_back(now);
        drop_expired(&mut self.recent_completions_at, now);
    }

    pub(super) fn record_shed(&mut self) {
        self.totals.shed += 1;
    }

    pub(super) fn record_failure(&mut self) {
        self.totals.failed += 1;
    }

    pub(super) fn record_probe(&mut self, now: Instant) {
        self.totals.probes += 1;
        self.recent_probes_at.push_back(now);
        drop_expired(&mut self.recent_probes_at, now);
        let probes_in_window = self.recent_probes_at.len() as u64;
        self.totals.probes_max_in_second = self.totals.probes_max_in_second.max(probes_in_window);
    }

    /// Returns the number of requests finished in the last second.
    pub(super) fn rps(&mut self, now: Instant) -> u64 {
        drop_expired(&mut self.recent_completions_at, now);
        self.recent_completions_at.len() as u64
    }

    pub(super) fn records(&self, connections: ConnectionCounts) -> TargetRecords {
        let by_key = self.by_key.iter();
        let by_mark = self.by_mark.iter();
        TargetRecords {
            runs_by_key: by_key
                .map(|(key, runs)| KeyRuns { key: key.clone(), runs: *runs })
                .collect(),
            runs_by_mark: by_mark
                .map(|(mark, runs)| MarkRuns { mark: mark.clone(), runs: *runs })
                .collect(),
            connections,
            ..self.totals.clone()
        }
    }
}

fn drop_expired(times: &mut VecDeque<Instant>, now: Instant) {
    while times.front().is_some_and(|at| now.duration_since(*at) >= WINDOW) {
        times.pop_front();
    }
}
