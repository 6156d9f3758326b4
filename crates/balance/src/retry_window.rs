//! A limit on extra attempts in every sliding time window.

use std::collections::VecDeque;
use std::time::Duration;

use shallotfork_types::{Mono, Permille};

/// Share of an allowance that early hedges may use; the rest is reserved for retries. Hedges only
/// save time, while a request whose attempt failed gets no answer without a retry.
const EARLY_HEDGE_SHARE: Permille = Permille::new(600);
/// Number of buckets in a window. One more bucket than a window holds is kept, so that every window
/// lies entirely within the counted buckets, wherever it begins.
const BUCKETS: u32 = 10;

/// Number of extra attempts that a process may make in a window.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryAllowance {
    /// Extra attempts as a share of the requests in the window.
    pub share: Permille,
    /// Extra attempts allowed in addition to the share, whatever the number of requests.
    pub extra: u32,
}

impl RetryAllowance {
    fn attempts_max(self, requests: u64) -> u64 {
        self.share.of(requests) + u64::from(self.extra)
    }
}

/// Counts requests and extra attempts of one service.
///
/// Retries feed an overload: each one takes a slot from a first attempt. They are bounded over all
/// processes in every window. Each process gets an allowance such that the sum keeps the bound, so
/// that processes need not exchange messages about it.
#[derive(Debug)]
pub struct RetryWindow {
    bucket_us: u64,
    buckets: VecDeque<Bucket>,
}

#[derive(Debug)]
struct Bucket {
    index: u64,
    requests: u64,
    extra_attempts: u64,
    early_hedges: u64,
}

impl RetryWindow {
    /// Creates a window without any requests.
    pub fn new(window: Duration) -> Self {
        let bucket_us = u64::try_from((window / BUCKETS).as_micros()).unwrap_or(u64::MAX).max(1);
        Self { bucket_us, buckets: VecDeque::new() }
    }

    /// Records a request from a caller.
    pub fn record_request(&mut self, now: Mono) {
        self.bucket(now).requests += 1;
    }

    /// Records one extra attempt if the allowance has room; returns whether it does.
    pub fn try_acquire(&mut self, allowance: RetryAllowance, now: Mono) -> bool {
        self.bucket(now);
        let requests: u64 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let extra_attempts: u64 = self.buckets.iter().map(|bucket| bucket.extra_attempts).sum();
        let has_room = extra_attempts < allowance.attempts_max(requests);
        if has_room {
            self.bucket(now).extra_attempts += 1;
        }
        has_room
    }

    /// Records one early hedge if the part of the allowance for early hedges, and the whole, have
    /// room; returns whether they do.
    pub fn try_acquire_early_hedge(&mut self, allowance: RetryAllowance, now: Mono) -> bool {
        self.bucket(now);
        let requests: u64 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let early_hedges: u64 = self.buckets.iter().map(|bucket| bucket.early_hedges).sum();
        let early_hedges_max = EARLY_HEDGE_SHARE.of(allowance.attempts_max(requests));
        let has_room = early_hedges < early_hedges_max && self.try_acquire(allowance, now);
        if has_room {
            self.bucket(now).early_hedges += 1;
        }
        has_room
    }

    /// Returns how many extra attempts a second the allowance permits if they are to last for
    /// `horizon_buckets` buckets and requests continue at the rate of the last complete bucket.
    pub fn sustainable_per_s(
        &mut self,
        allowance: RetryAllowance,
        horizon_buckets: u32,
        now: Mono,
    ) -> f64 {
        let current = self.bucket(now).index;
        let horizon = u64::from(horizon_buckets);
        let last = self.buckets.iter().find(|bucket| bucket.index + 1 == current);
        let new_requests = last.map_or(0, |bucket| bucket.requests) * horizon;
        let kept = || {
            let oldest = (current + horizon).saturating_sub(u64::from(BUCKETS));
            self.buckets.iter().filter(move |bucket| bucket.index >= oldest)
        };
        let requests: u64 = kept().map(|bucket| bucket.requests).sum();
        let extra_attempts: u64 = kept().map(|bucket| bucket.extra_attempts).sum();
        let allowed = allowance.attempts_max(requests + new_requests);
        let horizon_s = (horizon * self.bucket_us) as f64 / 1e6;
        allowed.saturating_sub(extra_attempts) as f64 / horizon_s.max(f64::EPSILON)
    }

    fn bucket(&mut self, now: Mono) -> &mut Bucket {
        let index = now.as_micros() / self.bucket_us;
        let oldest = index.saturating_sub(u64::from(BUCKETS));
        while self.buckets.front().is_some_and(|bucket| bucket.index < oldest) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|bucket| bucket.index != index) {
            self.buckets.push_back(Bucket {
                index,
                requests: 0,
                extra_attempts: 0,
                early_hedges: 0,
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
