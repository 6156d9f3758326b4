//! Thresholds and limits of the quarantine.

use std::time::Duration;

/// Configuration of a [`Quarantine`](crate::Quarantine).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineConfig {
    /// Number of successive crashes, without an answer in between, at which a request is
    /// quarantined.
    pub crashes_max: u8,
    /// Highest number of crashes at which a request may still be retried before its caller repeats
    /// it.
    pub retry_crashes_max: u8,
    /// How long a request that is not quarantined stays suspected after its last crash.
    pub suspect_for: Duration,
    /// Duration of a quarantine, measured from the last crash.
    pub quarantine_for: Duration,
    /// How long an answer is retained, so that delayed reports of earlier crashes are ignored.
    pub answer_retained_for: Duration,
    /// Retry delay returned to callers of a suspected request that may not be sent yet.
    pub suspect_retry_after: Duration,
    /// Maximum number of records; those with the fewest crashes are evicted first.
    pub records_max: usize,
    /// How long a changed record is included in messages to peers.
    pub report_for: Duration,
    /// Maximum number of changed records in one message.
    pub reports_max: usize,
    /// Maximum number of quarantined requests in one message to a peer with a different digest.
    pub quarantined_reports_max: usize,
}

impl Default for QuarantineConfig {
    fn default() -> Self {
        Self {
            crashes_max: 3,
            retry_crashes_max: 1,
            suspect_for: Duration::from_secs(300),
            quarantine_for: Duration::from_secs(600),
            answer_retained_for: Duration::from_secs(10),
            suspect_retry_after: Duration::from_millis(300),
            records_max: 1024,
            report_for: Duration::from_millis(2500),
            reports_max: 16,
            quarantined_reports_max: 64,
        }
    }
}
