//! Counts the probes sent to targets.

use std::sync::atomic::{AtomicU64, Ordering};

/// Probes since the start of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ProbeTotals {
    /// Probes that were sent.
    pub sent: u64,
    /// Probes that were not answered in time.
    pub unanswered: u64,
}

/// The counters behind [`ProbeTotals`].
#[derive(Debug, Default)]
pub struct ProbeCounters {
    sent: AtomicU64,
    unanswered: AtomicU64,
}

impl ProbeCounters {
    /// Records that a probe is sent.
    pub fn record_sent(&self) {
        self.sent.fetch_add(1, Ordering::Relaxed);
    }

    /// Records that a probe was not answered in time.
    pub fn record_unanswered(&self) {
        self.unanswered.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the current totals.
    pub fn read(&self) -> ProbeTotals {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        ProbeTotals { sent: read(&self.sent), unanswered: read(&self.unanswered) }
    }
}
