//! Tracks requests that crash targets and decides whether they may be sent.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use shallotfork_types::Mono;

use crate::record::Record;
use crate::{CrashReport, QuarantineConfig, QuarantineDigest, RequestFingerprint};

/// Whether a request may be sent to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The request is neither suspected nor quarantined and may be sent.
    Clear,
    /// The request is suspected, but may be sent.
    Suspected,
    /// The request is quarantined and must not be sent.
    Quarantined {
        /// Remaining time of the quarantine.
        remaining: Duration,
    },
    /// The request is suspected and must not be sent until another run of it has ended or its
    /// caller repeats it.
    Deferred {
        /// Delay after which the caller may repeat the request.
        retry_after: Duration,
    },
}

/// Whether a request that was received from a caller is sent for the first time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendKind {
    /// The first attempt.
    First,
    /// Any later attempt, whether a retry or a hedge.
    Retry,
}

/// Crash records of requests, by fingerprint.
///
/// Prevents a request that crashes every target it runs on from taking down a whole service through
/// its callers' retries. Other requests that were running on a crashed target are suspected as
/// well, until they are answered.
#[derive(Debug)]
pub struct Quarantine {
    config: QuarantineConfig,
    records: BTreeMap<RequestFingerprint, Record>,
}

impl Quarantine {
    /// Creates a quarantine without records.
    pub fn new(config: QuarantineConfig) -> Self {
        Self { config, records: BTreeMap::new() }
    }

    /// Returns whether there are no records, so that all requests are clear.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the number of quarantined requests.
    pub fn quarantined(&self, now: Mono) -> usize {
        self.records.values().filter(|record| self.is_quarantined(record, now)).count()
    }

    /// Decides whether a request may be sent.
    pub fn admit(&self, fingerprint: RequestFingerprint, send: SendKind, now: Mono) -> Admission {
        let Some(record) = self.records.get(&fingerprint) else { return Admission::Clear };
        if let Some(remaining) = record.quarantine_remaining(&self.config, now) {
            return Admission::Quarantined { remaining };
        }
        if !record.is_suspected(&self.config, now) {
            return Admission::Clear;
        }
        let may_retry = record.crashes() <= self.config.retry_crashes_max;
        if record.active_runs > 0 || (send == SendKind::Retry && !may_retry) {
            return Admission::Deferred { retry_after: self.config.suspect_retry_after };
        }
        Admission::Suspected
    }

    /// Records the start of a run of a suspected request. Each call must be paired with one of
    /// [`end_run`](Self::end_run).
    pub fn begin_run(&mut self, fingerprint: RequestFingerprint) {
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.active_runs += 1;
        }
    }

    /// Records the end of a run of a suspected request, whatever its outcome.
    pub fn end_run(&mut self, fingerprint: RequestFingerprint) {
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.active_runs = record.active_runs.saturating_sub(1);
        }
    }

    /// Records that a target crashed while running a request that was sent to it at `sent_at`.
    /// Returns the new crash count of the request, or `None` if this crash does not count against
    /// it.
    pub fn record_crash(
        &mut self,
        fingerprint: RequestFingerprint,
        sent_at: Mono,
        now: Mono,
    ) -> Option<u8> {
        self.evict_if_full(fingerprint, now);
        let record = self.records.entry(fingerprint).or_insert_with(|| Record::new(now));
        record.add_crash(sent_at, now).then(|| record.crashes())
    }

    /// Records that a target answered a request.
    pub fn record_answer(&mut self, fingerprint: RequestFingerprint, now: Mono) {
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.add_answer(now);
        }
    }

    /// Merges a report from another process. Returns whether it caused the request to be
    /// quarantined.
    pub fn merge(&mut self, report: &CrashReport, now: Mono) -> bool {
        self.evict_if_full(report.fingerprint, now);
        let record = self.records.entry(report.fingerprint).or_insert_with(|| Record::new(now));
        let was_quarantined = record.quarantine_remaining(&self.config, now).is_some();
        record.merge(report, now);
        let is_quarantined = record.quarantine_remaining(&self.config, now).is_some();
        if !record.is_retained(&self.config, now) {
            self.records.remove(&report.fingerprint);
        }
        is_quarantined && !was_quarantined
    }

    /// Returns the reports to send to a peer: recently changed records and, if the peer's digest is
    /// known and differs, the quarantined requests.
    pub fn reports(&self, peer_digest: Option<QuarantineDigest>, now: Mono) -> Vec<CrashReport> {
        let is_recent = |record: &Record| now.since(record.changed_at()) < self.config.report_for;
        let mut selected = self.top_records(self.config.reports_max, is_recent);
        if peer_digest.is_some_and(|digest| digest != self.digest(now)) {
            selected.append(&mut self.quarantined_subset(now));
        }
        selected.into_iter().map(|(fingerprint, record)| record.report(fingerprint, now)).collect()
    }

    /// Returns a digest of the quarantined requests; zero if there are none.
    pub fn digest(&self, now: Mono) -> QuarantineDigest {
        let quarantined =
            self.records.iter().filter(|(_, record)| self.is_quarantined(record, now));
        let digest = quarantined
            .fold(0_u64, |digest, (fingerprint, _)| digest.wrapping_add(fingerprint.value()));
        QuarantineDigest::new(digest)
    }

    /// Removes records that no longer affect any decision.
    pub fn expire(&mut self, now: Mono) {
        self.records.retain(|_, record| record.is_retained(&self.config, now));
    }

    fn is_quarantined(&self, record: &Record, now: Mono) -> bool {
        record.quarantine_remaining(&self.config, now).is_some()
    }

    /// Returns up to `limit` matching records, ordered by most crashes, then by latest change.
    fn top_records(
        &self,
        limit: usize,
        matches: impl Fn(&Record) -> bool,
    ) -> BTreeMap<RequestFingerprint, Record> {
        let mut selected: Vec<(&RequestFingerprint, &Record)> =
            self.records.iter().filter(|(_, record)| matches(record)).collect();
        selected.sort_by_key(|(_, record)| Reverse((record.crashes(), record.changed_at())));
        selected.into_iter().take(limit).map(|(key, record)| (*key, *record)).collect()
    }

    /// Returns up to `quarantined_reports_max` quarantined requests, starting at a different one
    /// from call to call, so that a peer receives all of them within several messages.
    fn quarantined_subset(&self, now: Mono) -> BTreeMap<RequestFingerprint, Record> {
        let quarantined: Vec<(RequestFingerprint, Record)> = self
            .records
            .iter()
            .filter(|(_, record)| self.is_quarantined(record, now))
            .map(|(key, record)| (*key, *record))
            .collect();
        let limit = self.config.quarantined_reports_max.min(quarantined.len());
        let offset = usize::try_from(now.as_millis()).unwrap_or_default();
        quarantined
            .iter()
            .cycle()
            .skip(offset % quarantined.len().max(1))
            .take(limit)
            .copied()
            .collect()
    }

    /// Makes room for a new record by removing expired records, then the one with the fewest
    /// crashes.
    fn evict_if_full(&mut self, fingerprint: RequestFingerprint, now: Mono) {
        if self.records.len() < self.config.records_max || self.records.contains_key(&fingerprint) {
            return;
        }
        self.expire(now);
        let candidate = self
            .records
            .iter()
            .min_by_key(|(_, record)| (record.crashes(), record.changed_at()))
            .map(|(key, _)| *key);
        if self.records.len() >= self.config.records_max
            && let Some(candidate) = candidate
        {
            self.records.remove(&candidate);
        }
    }
}
