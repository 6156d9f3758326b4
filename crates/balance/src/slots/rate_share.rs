//! Share of a target's rate limit or warm-up rate that is allotted to one process.

use std::cmp::Reverse;

use shallotfork_types::{Mono, RequestRate, TargetId, rendezvous_weight};

use super::subset::Sharer;

/// Limits the rate at which one process sends requests to a target that is cold or has a rate
/// limit.
///
/// The limit applies to all processes together. Splitting it evenly among all of them could leave
/// each with far less than one request a second, so at most as many processes send as the limit has
/// whole requests a second, and at least one. Every process selects the same ones by rendezvous
/// hashing over the names of the processes that are advertised to callers.
#[derive(Debug, Clone, Copy)]
pub(super) struct RateShare {
    limit: RequestRate,
    share: RequestRate,
    /// Start of the current interval: the last send, or the time the share was allotted.
    interval_start: Mono,
}

impl RateShare {
    /// Creates a share that allows its first request after one full interval.
    fn new(limit: RequestRate, share: RequestRate, now: Mono) -> Self {
        Self { limit, share, interval_start: now }
    }

    /// Returns the share to use from now on, given the one in use before, if any.
    pub(super) fn allotted(
        before: Option<Self>,
        limit: RequestRate,
        share: RequestRate,
        now: Mono,
    ) -> Self {
        let new = Self::new(limit, share, now);
        before.map_or(new, |before| before.updated(limit, share, now))
    }

    /// Returns the limit for all processes together.
    pub(super) fn limit(&self) -> RequestRate {
        self.limit
    }

    /// Returns the share of this process.
    pub(super) fn share(&self) -> RequestRate {
        self.share
    }

    /// Returns a copy with a new limit and share. If the previous share was zero, the first
    /// request waits for one full interval, because the process that held the share before may have
    /// just sent one.
    pub(super) fn updated(self, limit: RequestRate, share: RequestRate, now: Mono) -> Self {
        let had_none = self.share == RequestRate::ZERO;
        let interval_start = if had_none { now } else { self.interval_start };
        Self { limit, share, interval_start }
    }

    pub(super) fn may_send(&self, now: Mono) -> bool {
        self.share.interval().is_some_and(|interval| self.interval_start.plus(interval) <= now)
    }

    pub(super) fn record_send(&mut self, now: Mono) {
        self.interval_start = now;
    }
}

/// Computes the share of `limit` for the process `own_name`: an equal share if it is among the
/// processes selected for the target, otherwise zero. Without any names it gets the full limit.
pub(super) fn compute_share(
    limit: RequestRate,
    target: &TargetId,
    own_name: &str,
    sharers: &[Sharer],
) -> RequestRate {
    if sharers.is_empty() {
        return limit;
    }
    let mut selected: Vec<&str> = sharers.iter().map(|sharer| sharer.name.as_str()).collect();
    selected.sort_by_cached_key(|name| Reverse(rendezvous_weight(target.as_str(), name)));
    let selected_max = usize::try_from(limit.whole_per_s()).unwrap_or(usize::MAX);
    selected.truncate(selected_max.clamp(1, sharers.len()));
    if selected.contains(&own_name) { limit.divided_by(selected.len()) } else { RequestRate::ZERO }
}
