//! Limits on the requests that a target receives from all processes together: advertised rate
//! limits, and warm-up rates of cold targets.

use std::time::Duration;

use shallotfork_types::{Mono, Permille, RequestRate, TargetId, Warmup};

use super::SlotPool;
use super::rate_share::{RateShare, compute_share};
use super::subset::Sharer;
use super::target::Target;
use crate::AttemptId;

impl Target {
    pub(super) fn is_cold(&self, now: Mono) -> bool {
        self.cold_until > now
    }

    /// Records for how much longer the target reports to be cold.
    pub(super) fn record_cold_report(&mut self, cold_for: Duration, now: Mono) {
        self.cold_reported_at = Some(now);
        self.has_reported_cold = cold_for > Duration::ZERO;
        self.set_cold_for(cold_for, now);
    }

    /// Returns whether the target reports when it is cold, and may have turned cold since its last
    /// report.
    pub(super) fn is_cold_report_stale(&self, now: Mono, max_age: Duration) -> bool {
        self.cold_reported_at.is_some_and(|at| now.since(at) >= max_age)
    }

    pub(super) fn set_cold_for(&mut self, cold_for: Duration, now: Mono) {
        let was_cold = self.is_cold(now);
        self.cold_until = now.plus(cold_for);
        if was_cold || !self.is_cold(now) {
            return;
        }
        // The share of an earlier cold period is out of date.
        self.warmup_share = None;
        let unsent = self.running.iter_mut().filter(|running| !running.is_sent);
        unsent.for_each(|running| running.assigned_warm = true);
    }

    /// Returns this process's shares of the limits that apply to all processes together.
    pub(super) fn shares(&self, now: Mono) -> impl Iterator<Item = &RateShare> {
        let warmup_share = self.warmup_share.iter().filter(move |_| self.is_cold(now));
        self.rate_share.iter().chain(warmup_share)
    }

    pub(super) fn is_rate_limited(&self, now: Mono) -> bool {
        self.shares(now).next().is_some()
    }

    /// Returns whether the limits on the target allow another request now.
    pub(super) fn may_send(&self, now: Mono) -> bool {
        let has_unsent = || self.running.iter().any(|running| !running.is_sent);
        self.shares(now).all(|share| share.may_send(now))
            && !(self.is_rate_limited(now) && has_unsent())
    }

    /// Returns whether an attempt was assigned before the target turned cold, and therefore without
    /// regard to its warm-up rate.
    pub(super) fn was_assigned_warm(&self, attempt: AttemptId) -> bool {
        self.running.iter().any(|running| running.attempt == attempt && running.assigned_warm)
    }
}

impl SlotPool {
    /// Sets the processes that share the slots and recomputes the shares of all
    /// limits. This process is included only if it is advertised to callers. `share` is the share
    /// of the warm-up rate of cold targets that these processes may use together: less than the
    /// full rate if they see only some of the fleet. Before the first call it is zero.
    pub fn set_sharers(&mut self, sharers: Vec<Sharer>, share: Permille, now: Mono) {
        if self.sharers != sharers {
            self.sharers = sharers;
            self.update_subset();
        }
        self.sharers_total_share = share;
        let Self { targets, config, sharers, .. } = self;
        for (id, target) in targets {
            target.rate_share = target.rate_share.map(|current| {
                let limit = current.limit();
                current.updated(limit, compute_share(limit, id, &config.name, sharers), now)
            });
        }
        self.update_warmup_shares(now);
    }

    /// Sets the warm-up rate of cold targets; `None` if they have no such limit.
    pub fn set_warmup(&mut self, warmup: Option<Warmup>, now: Mono) {
        if self.warmup == warmup {
            return;
        }
        self.warmup = warmup;
        self.update_warmup_shares(now);
    }

    /// Records for how much longer a target reports to be cold. Returns whether the report has
    /// turned it from warm to cold.
    pub fn record_cold_report(&mut self, id: &TargetId, cold_for: Duration, now: Mono) -> bool {
        let cold_for_max = self.cold_for_max();
        let Some(target) = self.targets.get_mut(id) else { return false };
        let was_cold = target.is_cold(now);
        target.record_cold_report(cold_for.min(cold_for_max), now);
        let turned_cold = !was_cold && target.is_cold(now);
        if turned_cold {
            self.add_warmup_shares(now);
        }
        turned_cold
    }

    /// Returns whether a target is cold.
    pub fn is_cold(&self, id: &TargetId, now: Mono) -> bool {
        self.targets.get(id).is_some_and(|target| target.is_cold(now))
    }

    /// Recomputes this process's shares of the warm-up rates of all cold targets.
    fn update_warmup_shares(&mut self, now: Mono) {
        self.allot_warmup_shares(|_| true, now);
    }

    /// Computes the shares for targets that have turned cold.
    pub(super) fn add_warmup_shares(&mut self, now: Mono) {
        self.allot_warmup_shares(|target| target.warmup_share.is_none(), now);
    }

    /// Computes shares for cold targets only: each share takes a hash per process that shares the
    /// slots, and with a thousand targets and a hundred processes this would keep a small VM busy
    /// for seconds.
    fn allot_warmup_shares(&mut self, wanted: impl Fn(&Target) -> bool, now: Mono) {
        let Self { targets, config, sharers, sharers_total_share, warmup, .. } = self;
        let cold = targets.iter_mut().filter(|(_, target)| target.is_cold(now));
        for (id, target) in cold.filter(|(_, target)| wanted(target)) {
            target.warmup_share = warmup.map(|Warmup { duration, rate }| {
                target.cold_until = target.cold_until.min(now.plus(duration));
                let limit = rate.share(*sharers_total_share);
                let share = compute_share(limit, id, &config.name, sharers);
                RateShare::allotted(target.warmup_share, limit, share, now)
            });
        }
    }

    pub(super) fn cold_for_max(&self) -> Duration {
        self.warmup.map_or(Duration::MAX, |warmup| warmup.duration)
    }

    /// Sets the rate limit of a target, which applies to all processes together; `None` removes it.
    /// Unknown targets are ignored.
    pub fn set_rate_limit(&mut self, id: &TargetId, limit: Option<RequestRate>, now: Mono) {
        let Some(target) = self.targets.get_mut(id) else { return };
        target.rate_share = limit.map(|limit| {
            let share = compute_share(limit, id, &self.config.name, &self.sharers);
            RateShare::allotted(target.rate_share, limit, share, now)
        });
    }
}
