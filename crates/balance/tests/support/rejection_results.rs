//! Results of a simulation of random rejections.

use std::collections::BTreeSet;

use crate::rejecting::REJECTING_MS;

/// Results of requests first sent during the rejections, by rank.
#[derive(Debug, Default, Clone, Copy)]
pub struct RankResults {
    pub requests: u32,
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
}

pub struct Results {
    pub by_rank: [RankResults; 3],
    /// Arrival times of all requests, returning ones included.
    pub requests_ms: Vec<u64>,
    pub repeats_ms: Vec<u64>,
    pub rejected: u32,
    pub ejections: u32,
    pub retry_after_ms: BTreeSet<u64>,
}

impl Results {
    pub fn in_time_share(&self) -> f64 {
        let requests: u32 = self.by_rank.iter().map(|results| results.requests).sum();
        let in_time: u32 = self.by_rank.iter().map(|results| results.in_time).sum();
        f64::from(in_time) / f64::from(requests)
    }

    pub fn in_time_share_of(&self, rank: usize) -> f64 {
        f64::from(self.by_rank[rank].in_time) / f64::from(self.by_rank[rank].requests)
    }

    pub fn refused(&self) -> u32 {
        self.by_rank.iter().map(|results| results.refused).sum()
    }

    /// Returns the repeats in each second of the rejections.
    pub fn repeats_by_second(&self) -> Vec<usize> {
        let seconds = REJECTING_MS.step_by(1000);
        seconds.map(|from| count_within(&self.repeats_ms, from, from + 1000)).collect()
    }

    /// Returns the largest use of a limit in any window of ten seconds, as a share of the limit.
    pub fn max_budget_use(&self, share: f64, extra: f64) -> f64 {
        let uses = self.repeats_ms.iter().map(|end_ms| {
            let (from, to) = (end_ms.saturating_sub(9_999), end_ms + 1);
            let allowed = count_within(&self.requests_ms, from, to) as f64 * share + extra;
            count_within(&self.repeats_ms, from, to) as f64 / allowed
        });
        uses.fold(0.0, f64::max)
    }
}

/// Counts the times of a sorted list within a range.
fn count_within(times_ms: &[u64], from: u64, to: u64) -> usize {
    times_ms.partition_point(|at| *at < to) - times_ms.partition_point(|at| *at < from)
}
