//! What a target saw and did.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::net::ConnectionCounts;

const WINDOW: Duration = Duration::from_secs(1);

/// Runs of the work named by one idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRuns {
    /// The key as it arrived.
    pub key: String,
    /// Runs started.
    pub runs: u64,
}

/// Runs of the work that carried one mark.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MarkRuns {
    /// The mark as it arrived.
    pub mark: String,
    /// Runs started.
    pub runs: u64,
}

/// A target's records, as its control port gives them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRecords {
    /// Requests whose head arrived, probes aside.
    pub arrived: u64,
    /// Requests that started.
    pub runs: u64,
    /// Runs that reached their end; the others were given up by the sender.
    pub completed: u64,
    /// Requests refused before they started.
    pub shed: u64,
    /// Requests failed by a fault.
    pub failed: u64,
    /// Runs by idempotency key.
    pub runs_by_key: Vec<KeyRuns>,
    /// Runs by mark.
    pub runs_by_mark: Vec<MarkRuns>,
    /// Probes answered or begun.
    pub probes: u64,
    /// The most probes in any window of one second.
    pub probes_max_in_second: u64,
    /// For each request that came while draining, the time since draining began.
    pub arrived_after_drain_ms: Vec<u64>,
    /// Connections.
    pub connections: ConnectionCounts,
}

impl TargetRecords {
    /// Runs started under `key`.
    pub fn runs_of_key(&self, key: &str) -> u64 {
        self.runs_by_key.iter().find(|runs| runs.key == key).map_or(0, |runs| runs.runs)
    }

    /// Runs started with `mark`.
    pub fn runs_of_mark(&self, mark: &str) -> u64 {
        self.runs_by_mark.iter().find(|runs| runs.mark == mark).map_or(0, |runs| runs.runs)
    }
}

/// Counts as things happen.
#[derive(Debug, Default)]
pub(super) struct Recorder {
    totals: TargetRecords,
    by_key: BTreeMap<String, u64>,
    by_mark: BTreeMap<String, u64>,
    recent_probes: VecDeque<Instant>,
    recent_done: VecDeque<Instant>,
    draining_since: Option<Instant>,
}

impl Recorder {
    pub(super) fn set_draining(&mut self, draining: bool, now: Instant) {
        self.draining_since = draining.then(|| self.draining_since.unwrap_or(now));
    }

    pub(super) fn arrived(&mut self, now: Instant) {
        self.totals.arrived += 1;
        if let Some(since) = self.draining_since {
            let after_ms = now.duration_since(since).as_millis();
            let after_ms = u64::try_from(after_ms).unwrap_or(u64::MAX);
            self.totals.arrived_after_drain_ms.push(after_ms);
        }
    }

    pub(super) fn started(&mut self, key: Option<&str>, mark: Option<&str>) {
        self.totals.runs += 1;
        if let Some(key) = key {
            *self.by_key.entry(key.to_owned()).or_default() += 1;
        }
        if let Some(mark) = mark {
            *self.by_mark.entry(mark.to_owned()).or_default() += 1;
        }
    }

    pub(super) fn completed(&mut self, now: Instant) {
        self.totals.completed += 1;
        self.recent_done.push_back(now);
        forget_old(&mut self.recent_done, now);
    }

    pub(super) fn shed(&mut self) {
        self.totals.shed += 1;
    }

    pub(super) fn failed(&mut self) {
        self.totals.failed += 1;
    }

    pub(super) fn probed(&mut self, now: Instant) {
        self.totals.probes += 1;
        self.recent_probes.push_back(now);
        forget_old(&mut self.recent_probes, now);
        let recent = self.recent_probes.len() as u64;
        self.totals.probes_max_in_second = self.totals.probes_max_in_second.max(recent);
    }

    /// Requests finished in the last second.
    pub(super) fn rps(&mut self, now: Instant) -> u64 {
        forget_old(&mut self.recent_done, now);
        self.recent_done.len() as u64
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

fn forget_old(times: &mut VecDeque<Instant>, now: Instant) {
    while times.front().is_some_and(|then| now.duration_since(*then) >= WINDOW) {
        times.pop_front();
    }
}
