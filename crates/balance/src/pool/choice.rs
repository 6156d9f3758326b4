//! Selects the target of a request.

use shallotfork_types::{Mono, rendezvous_weight};

use super::{Pool, RunningAttempt};
use crate::policy::Candidate;
use crate::target::Target;
use crate::{Assignment, AttemptId, PoolRequest, PoolTarget, TargetState};

impl Pool {
    /// Returns the targets that may serve the request, as published and as reported by the targets.
    ///
    /// The published list lags behind a target that starts draining, and the requests sent to it
    /// last would be lost; its own report arrives with the first answer. When all targets report
    /// draining, requests must still be served, and only the published list counts.
    pub(super) fn eligible_targets<'a>(
        &'a self,
        request: &'a PoolRequest,
        now: Mono,
    ) -> impl Iterator<Item = (usize, &'a Target)> + 'a {
        let mut serving = self.targets.iter().filter(|target| target.is_serving());
        let all_draining = serving.all(|target| target.reports_draining(now));
        let accepts_requests =
            move |t: &Target| t.is_serving() && (all_draining || !t.reports_draining(now));
        let is_allowed = |target: &Target| !request.exclude.contains(&target.published.id);
        let targets = self.targets.iter().enumerate();
        targets.filter(move |(_, target)| accepts_requests(target) && is_allowed(target))
    }

    pub(super) fn assign(&mut self, request: &PoolRequest, now: Mono) -> Option<Assignment> {
        if self.config.concurrency_limited && !self.limit.has_room(self.attempts.len()) {
            return None;
        }
        let candidates = self.candidates(request, now);
        let selected = self.selector.select(&candidates)?;
        Some(self.start(selected, now))
    }

    /// Returns whether a hedge would run at the target at once, as far as this process knows.
    /// At a target without a free slot it would wait behind first attempts and delay them.
    pub(super) fn has_free_slot(&self, target: &Target, now: Mono) -> bool {
        target.wait_factor(now, &self.stats, &self.config.target) <= 1.0
    }

    pub(super) fn start(&mut self, selected: usize, now: Mono) -> Assignment {
        let wait_factor = self.targets[selected].wait_factor(now, &self.stats, &self.config.target);
        let attempt = AttemptId(self.next_id());
        self.targets[selected].start(attempt, now);
        let target = self.targets[selected].published.id.clone();
        let running = RunningAttempt { target: target.clone(), started_at: now, wait_factor };
        self.attempts.insert(attempt, running);
        Assignment { attempt, target }
    }

    /// Returns the targets with room. Ejected targets are left out unless they are half of all
    /// targets or more: the evidence then more likely shows a fault of this process or its network.
    pub(super) fn candidates(&self, request: &PoolRequest, now: Mono) -> Vec<Candidate> {
        let serving = self.eligible_targets(request, now);
        let (ejected, healthy): (Vec<_>, Vec<_>) = serving.partition(|(_, t)| t.is_ejected(now));
        let ignore_evidence = ejected.len() >= healthy.len();
        let ejected = ejected.into_iter().filter(|_| ignore_evidence);
        let available = healthy.into_iter().chain(ejected).filter(|(_, t)| self.has_room(t, now));
        let mut candidates: Vec<Candidate> =
            available.map(|(index, target)| self.candidate(index, target, request, now)).collect();
        candidates.sort_unstable_by_key(|candidate| candidate.index);
        candidates
    }

    pub(super) fn has_room(&self, target: &Target, now: Mono) -> bool {
        if !self.config.concurrency_limited {
            return true;
        }
        target.running() < target.concurrency_limit(now, &self.stats, &self.config.target)
    }

    pub(super) fn candidate(
        &self,
        index: usize,
        target: &Target,
        request: &PoolRequest,
        now: Mono,
    ) -> Candidate {
        let config = &self.config.target;
        let domain = &target.published.failure_domain;
        let rank = request
            .preferred_domains
            .iter()
            .position(|preferred| preferred == domain)
            .unwrap_or(request.preferred_domains.len());
        let far_us = config.far_domain_cost.as_micros() as f64 * rank as f64;
        let cost = target.cost_us(now, &self.stats, config) + far_us;
        Candidate { index, running: target.running(), cost }
    }

    pub(super) fn subset<'a>(&self, published: &'a [PoolTarget]) -> Vec<&'a PoolTarget> {
        let mut all: Vec<&PoolTarget> = published.iter().collect();
        if all.len() <= self.config.subset_max {
            return all;
        }
        let own = self.config.subset_vm.as_ref().map_or("", |vm| vm.as_str());
        all.sort_by_cached_key(|target| {
            let usable = target.state == TargetState::Serving;
            std::cmp::Reverse((usable, target.home, rendezvous_weight(own, target.id.as_str())))
        });
        all.truncate(self.config.subset_max);
        all
    }
}
