//! How far a transfer lags behind the slowest useful one.

use std::time::Duration;

use tokio::time::Instant;

/// Rate in bytes a second below which a transfer lags more and more. The links of callers are faster
/// by orders of magnitude.
const RATE_MIN: u64 = 32 * 1024;

/// Progress of a transfer, compared with one of the lowest rate that never catches up in advance.
///
/// A transfer that stops lags by the time since its last byte, and one that trickles lags a little
/// less than the time since its start.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Progress {
    /// When a transfer of the lowest rate would have reached the present position.
    caught_up_at: Instant,
}

impl Progress {
    /// Creates the progress of a transfer that starts at `now`.
    pub(crate) fn new(now: Instant) -> Self {
        Self { caught_up_at: now }
    }

    /// Records bytes that were transferred.
    pub(crate) fn record(&mut self, size_bytes: u64, now: Instant) {
        let micros = size_bytes.saturating_mul(1_000_000) / RATE_MIN;
        self.caught_up_at = (self.caught_up_at + Duration::from_micros(micros)).min(now);
    }

    /// Returns how far the transfer lags at `now`.
    pub(crate) fn lag(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.caught_up_at)
    }
}
