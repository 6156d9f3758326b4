//! Limits on what a target gets from all processes together: rate limits that targets advertise, and
//! what cold targets bear.

use std::time::Duration;

use shallotfork_types::{Mono, Permille, RequestRate, TargetId, Warmup};

use super::SlotPool;
use super::rate_share::{RateShare, compute_share};
use super::target::Target;
use crate::AttemptId;

impl Target {
    pub(super) fn is_cold(&self, now: Mono) -> bool {
        self.cold_until > now
    }

    /// Takes the target's own word on how much longer it is cold.
    pub(super) fn told_cold_for(&mut self, cold_for: Duration, now: Mono) {
        self.cold_told_at = Some(now);
        self.cold_by_own_word = cold_for > Duration::ZERO;
        self.set_cold_for(cold_for, now);
    }

    /// Whether the target tells when it is cold, and may have turned cold since it last did.
    pub(super) fn may_have_turned_cold(&self, now: Mono, after: Duration) -> bool {
        self.cold_told_at.is_some_and(|at| now.since(at) >= after)
    }

    pub(super) fn set_cold_for(&mut self, cold_for: Duration, now: Mono) {
        let was_cold = self.is_cold(now);
        self.cold_until = now.plus(cold_for);
        if was_cold || !self.is_cold(now) {
            return;
        }
        // The one of an earlier cold time is out of date.
        self.warmup_share = None;
        let unsent = self.running.iter_mut().filter(|running| !running.sent);
        unsent.for_each(|running| running.assigned_warm = true);
    }

    /// This process's shares of the limits on what the target gets from all processes together.
    pub(super) fn shares(&self, now: Mono) -> impl Iterator<Item = &RateShare> {
        let warmup_share = self.warmup_share.iter().filter(move |_| self.is_cold(now));
        self.rate_share.iter().chain(warmup_share)
    }

    pub(super) fn is_limited(&self, now: Mono) -> bool {
        self.shares(now).next().is_some()
    }

    /// Whether the limits on what the target gets allow another request now.
    pub(super) fn may_send(&self, now: Mono) -> bool {
        let has_unsent = || self.running.iter().any(|running| !running.sent);
        self.shares(now).all(|share| share.may_send(now)) && !(self.is_limited(now) && has_unsent())
    }

    /// Whether an attempt was assigned before the target turned cold, and so without regard to what
    /// it bears.
    pub(super) fn was_assigned_warm(&self, attempt: AttemptId) -> bool {
        self.running.iter().any(|running| running.attempt == attempt && running.assigned_warm)
    }
}

impl SlotPool {
    /// Sets the names of the processes that share the slots and recomputes the shares of all limits.
    /// This process is included only if callers are sent to it. `part` is what these processes may
    /// use of what cold targets bear: less than the whole if they see only a part of the fleet. Before
    /// the first call it is nothing.
    pub fn set_sharers(&mut self, sharers: Vec<String>, part: Permille, now: Mono) {
        self.sharers = sharers;
        self.sharers_part = part;
        let Self { targets, config, sharers, .. } = self;
        for (id, target) in targets {
            target.rate_share = target.rate_share.map(|current| {
                let limit = current.limit();
                current.updated(limit, compute_share(limit, id, &config.name, sharers), now)
            });
        }
        self.update_warmup_shares(now);
    }

    /// Sets what targets bear while they are cold; `None` if they have no such limit.
    pub fn set_warmup(&mut self, warmup: Option<Warmup>, now: Mono) {
        if self.warmup == warmup {
            return;
        }
        self.warmup = warmup;
        self.update_warmup_shares(now);
    }

    /// Takes a target's own word on how much longer it is cold. Returns whether it was taken for warm
    /// until now.
    pub fn record_cold_report(&mut self, id: &TargetId, cold_for: Duration, now: Mono) -> bool {
        let cold_max = self.cold_max();
        let Some(target) = self.targets.get_mut(id) else { return false };
        let was_cold = target.is_cold(now);
        target.told_cold_for(cold_for.min(cold_max), now);
        let turned_cold = !was_cold && target.is_cold(now);
        if turned_cold {
            self.add_warmup_shares(now);
        }
        turned_cold
    }

    /// Whether a target is cold.
    pub fn is_cold(&self, id: &TargetId, now: Mono) -> bool {
        self.targets.get(id).is_some_and(|target| target.is_cold(now))
    }

    /// Recomputes what this process may send to cold targets.
    fn update_warmup_shares(&mut self, now: Mono) {
        self.share_warmup(|_| true, now);
    }

    /// Computes it for targets that have turned cold.
    pub(super) fn add_warmup_shares(&mut self, now: Mono) {
        self.share_warmup(|target| target.warmup_share.is_none(), now);
    }

    /// Only cold targets have a share: it takes a hash for each process that shares the slots, and with
    /// a thousand targets and a hundred processes a small VM would be busy for seconds.
    fn share_warmup(&mut self, wanted: impl Fn(&Target) -> bool, now: Mono) {
        let Self { targets, config, sharers, sharers_part, warmup, .. } = self;
        let cold = targets.iter_mut().filter(|(_, target)| target.is_cold(now));
        for (id, target) in cold.filter(|(_, target)| wanted(target)) {
            target.warmup_share = warmup.map(|Warmup { duration, rate }| {
                target.cold_until = target.cold_until.min(now.plus(duration));
                let limit = rate.part(*sharers_part);
                let share = compute_share(limit, id, &config.name, sharers);
                RateShare::allotted(target.warmup_share, limit, share, now)
            });
        }
    }

    pub(super) fn cold_max(&self) -> Duration {
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
