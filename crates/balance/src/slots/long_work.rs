//! Tells long work from a slow target.
//!
//! Handles classes of which a small part of the runs takes several times as long as the rest. Such a
//! run says nothing about its target, unless long runs recur there.

/// Number of recent runs of a target among which long ones are counted.
const RECENT_RUNS: u32 = 8;
/// Number of long runs among the recent ones at which the target itself counts as slow. If one run
/// in thirty is long, a target reaches it by chance after one run in 600.
const RECURRING_RUNS: u32 = 3;

/// Which of a target's recent runs were long.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RecentLongWork {
    /// One bit for each recent run; the lowest is the latest.
    runs: u32,
}

impl RecentLongWork {
    /// Records a run. Returns whether it is long work for which its target is not the cause.
    pub(super) fn record(&mut self, is_long: bool) -> bool {
        self.runs = (self.runs << 1 | u32::from(is_long)) & ((1 << RECENT_RUNS) - 1);
        is_long && self.runs.count_ones() < RECURRING_RUNS
    }
}
