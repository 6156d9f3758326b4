//! Which targets may serve a request, and which of them does.

use shallotfork_types::{Mono, rendezvous_weight};

use super::{Pool, Running};
use crate::policy::Candidate;
use crate::target::Target;
use crate::{Assignment, AttemptId, PoolRequest, PoolTarget, TargetState};

impl Pool {
    /// Targets that take new work, by what was published and by their own word.
    ///
    /// The published list lags behind a target that leaves, which would lose what is sent to it
    /// last; its own word comes with the first answer. When all say that they leave, somebody
    /// has to serve still: then only the list counts.
    pub(super) fn serving_for<'a>(
        &'a self,
        ask: &'a PoolRequest,
        now: Mono,
    ) -> impl Iterator<Item = (usize, &'a Target)> + 'a {
        let mut serving = self.targets.iter().filter(|target| target.is_serving());
        let all_leave = serving.all(|target| target.says_leaving(now));
        let takes_work =
            move |target: &Target| target.is_serving() && (all_leave || !target.says_leaving(now));
        let wanted = |target: &Target| !ask.exclude.contains(&target.published.id);
        let targets = self.targets.iter().enumerate();
        targets.filter(move |(_, target)| takes_work(target) && wanted(target))
    }

    pub(super) fn assign(&mut self, ask: &PoolRequest, now: Mono) -> Option<Assignment> {
        if self.config.concurrency_limited && !self.limit.has_room(self.attempts.len()) {
            return None;
        }
        let candidates = self.candidates(ask, now);
        let chosen = self.chooser.choose(&candidates)?;
        Some(self.start(chosen, now))
    }

    /// Whether a hedge would run there at once, as far as this process can tell. Elsewhere it
    /// would wait behind first attempts and slow them down.
    pub(super) fn is_free(&self, target: &Target, now: Mono) -> bool {
        target.crowding(now, &self.view, &self.config.target) <= 1.0
    }

    pub(super) fn start(&mut self, chosen: usize, now: Mono) -> Assignment {
        let crowding = self.targets[chosen].crowding(now, &self.view, &self.config.target);
        let attempt = AttemptId(self.next_id());
        self.targets[chosen].start(attempt, now);
        let target = self.targets[chosen].published.id.clone();
        let running = Running { target: target.clone(), started: now, crowding };
        self.attempts.insert(attempt, running);
        Assignment { attempt, target }
    }

    /// Targets with room. Those ejected are left out, unless that is half of all or more: then
    /// the evidence more likely shows a fault of this process or its network.
    pub(super) fn candidates(&self, ask: &PoolRequest, now: Mono) -> Vec<Candidate> {
        let serving = self.serving_for(ask, now);
        let (ejected, healthy): (Vec<_>, Vec<_>) = serving.partition(|(_, t)| t.is_ejected(now));
        let ignore_evidence = ejected.len() >= healthy.len();
        let ejected = ejected.into_iter().filter(|_| ignore_evidence);
        let open = healthy.into_iter().chain(ejected).filter(|(_, t)| self.has_room(t, now));
        let mut candidates: Vec<Candidate> =
            open.map(|(index, target)| self.candidate(index, target, ask, now)).collect();
        candidates.sort_unstable_by_key(|candidate| candidate.index);
        candidates
    }

    pub(super) fn has_room(&self, target: &Target, now: Mono) -> bool {
        if !self.config.concurrency_limited {
            return true;
        }
        target.running() < target.gate(now, &self.view, &self.config.target)
    }

    pub(super) fn candidate(
        &self,
        index: usize,
        target: &Target,
        ask: &PoolRequest,
        now: Mono,
    ) -> Candidate {
        let config = &self.config.target;
        let domain = &target.published.failure_domain;
        let rank = ask
            .preferred_domains
            .iter()
            .position(|near| near == domain)
            .unwrap_or(ask.preferred_domains.len());
        let far_us = config.far_domain_cost.as_micros() as f64 * rank as f64;
        let cost = target.cost_us(now, &self.view, config) + far_us;
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
