//! Result of a simulation of uneven work, and the limit on its repeats.

use std::collections::VecDeque;

use shallotfork_balance::RetryAllowance;
use shallotfork_types::Permille;

/// Window of the limit on repeats.
pub const WINDOW_MS: u64 = 10_000;
/// Limit on repeats of one process: the share of requests in docs/design/demanding-load.md, and a
/// part of the fixed number.
pub const ALLOWANCE: RetryAllowance = RetryAllowance { share: Permille::new(200), extra: 10 };

/// Result of a simulation.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Report {
    pub requests: u64,
    pub late: u64,
    pub timed_out: u64,
    pub rejected: u64,
    pub early_hedges: u64,
    pub usual_hedges: u64,
    pub won: u64,
    pub lost: u64,
    pub refused_no_target: u64,
    pub refused_no_allowance: u64,
    pub p99_ms: u64,
    /// Slot time of all attempts.
    pub slot_ms: u64,
    /// Largest number of repeats in any window beyond the limit on repeats.
    pub over_budget: u64,
    /// Largest share of the limit on repeats used in any full window, in thousandths.
    pub budget_used_permille: u64,
    pub ejections: u64,
}

impl Report {
    /// Compares the repeats of every sliding window with the limit.
    pub fn record_budget(&mut self, arrivals_ms: &[u64], repeats_ms: &[u64], requests_per_s: u64) {
        let (mut arrivals, mut repeats) = (VecDeque::new(), VecDeque::new());
        let mut arrived = arrivals_ms.iter().peekable();
        for &repeat_ms in repeats_ms {
            while let Some(at_ms) = arrived.next_if(|at_ms| **at_ms <= repeat_ms) {
                arrivals.push_back(*at_ms);
            }
            repeats.push_back(repeat_ms);
            for times in [&mut arrivals, &mut repeats] {
                while times.front().is_some_and(|at_ms| *at_ms + WINDOW_MS <= repeat_ms) {
                    times.pop_front();
                }
            }
            let limit = ALLOWANCE.share.of(arrivals.len() as u64) + u64::from(ALLOWANCE.extra);
            let used = repeats.len() as u64;
            // The allowance counts whole buckets, so it may include requests of one more of them.
            let slack = ALLOWANCE.share.of(requests_per_s * 2);
            self.over_budget = self.over_budget.max(used.saturating_sub(limit + slack));
            if repeat_ms < WINDOW_MS {
                continue;
            }
            let used_permille = used * 1000 / limit.max(1);
            self.budget_used_permille = self.budget_used_permille.max(used_permille);
        }
    }
}
