//! A budget for extra attempts, as a share of first attempts.

use shallotfork_types::Permille;

/// Cost of one extra attempt, in thousandths.
const ATTEMPT_MILLI: u64 = 1000;

/// Allows extra attempts up to a share of first attempts.
///
/// In any span of time, extra attempts <= `burst` + share x first attempts. Without this bound,
/// retries multiply the load when targets fail, and the overload sustains itself after its cause
/// has ended.
#[derive(Debug)]
pub(crate) struct ShareBudget {
    share: Permille,
    burst_milli: u64,
    available_milli: u64,
    first_attempts: u64,
    extra_attempts: u64,
}

impl ShareBudget {
    pub(crate) fn new(share: Permille, burst: u32) -> Self {
        let burst_milli = u64::from(burst) * ATTEMPT_MILLI;
        Self {
            share,
            burst_milli,
            available_milli: burst_milli,
            first_attempts: 0,
            extra_attempts: 0,
        }
    }

    pub(crate) fn record_first_attempt(&mut self) {
        self.first_attempts += 1;
        let available = self.available_milli + u64::from(self.share.value());
        self.available_milli = available.min(self.burst_milli);
    }

    pub(crate) fn has_room(&self) -> bool {
        self.available_milli >= ATTEMPT_MILLI
    }

    /// Returns the number of first attempts so far.
    pub(crate) fn first_attempts(&self) -> u64 {
        self.first_attempts
    }

    /// Returns the number of extra attempts so far.
    pub(crate) fn extra_attempts(&self) -> u64 {
        self.extra_attempts
    }

    /// Takes one extra attempt from the budget; returns false when none is left.
    pub(crate) fn try_take(&mut self) -> bool {
        if !self.has_room() {
            return false;
        }
        self.available_milli -= ATTEMPT_MILLI;
        self.extra_attempts += 1;
        true
    }
}
