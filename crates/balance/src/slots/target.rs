//! State that a [`SlotPool`](super::SlotPool) keeps for one target.

mod outcome;
mod speed;

use std::time::Duration;

use shallotfork_types::{Mono, RequestRate, rendezvous_weight};

use super::WorkClass;
use super::config::SlotPoolConfig;
use super::estimate::{Estimates, SlowdownReport, unsaturated_slots};
use super::long_work::RecentLongWork;
use super::published::{SlotTarget, TargetLoad};
use super::rate_share::RateShare;
use crate::AttemptId;

pub(super) use outcome::FailureRecord;

/// Key of a target's position on the rings in the hash. All processes must use the same one.
const RING_KEY: &str = "subset";
/// Weight of a new report in the mean slowdown of a target.
const SLOWDOWN_WEIGHT: f64 = 0.05;
/// Divisor that gives the fraction of a remote target's slots up to which a process that has
/// reached its share may fill them. A smaller fraction leaves spare slots unused; a larger one
/// takes slots that another failure domain needs.
const REMOTE_SLOTS_DIVISOR: u32 = 2;
/// Smallest number of slots at which a target may be kept unsaturated. Of two slots, only one would
/// be left.
const LIMITED_SLOTS_MIN: u32 = 3;
/// Out of this many targets, one is always filled and one is always kept unsaturated, so that both
/// modes stay comparable and a change is noticed.
const COMPARISON_DIVISOR: u64 = 8;
/// Age beyond which a target's report of requests from other processes is ignored.
const FOREIGN_REQUESTS_MAX_AGE: Duration = Duration::from_millis(500);

/// Returns the number of slots to use at a time at a target with `slots` slots, by its part in the
/// comparison of saturated and unsaturated targets.
pub(super) fn usable_slots(slots: u32, comparison_part: u64, estimates: &Estimates) -> u32 {
    let may_saturate = slots < LIMITED_SLOTS_MIN
        || match comparison_part {
            0 => true,
            1 => false,
            _ => estimates.is_saturation_worthwhile(slots),
        };
    if may_saturate { slots } else { unsaturated_slots(slots) }
}

#[derive(Debug, Clone)]
pub(super) struct RunningAttempt {
    pub(super) attempt: AttemptId,
    pub(super) class: WorkClass,
    pub(super) started_at: Mono,
    /// Slowdown of the target when the attempt was sent; `None` if it was unknown.
    pub(super) slowdown: Option<f64>,
    pub(super) was_saturated_at_start: bool,
    /// Whether the target was saturated at any time since the attempt was assigned.
    met_saturation: bool,
    /// Whether the attempt has been sent to the target; before that it only holds a slot in this
    /// pool.
    pub(super) is_sent: bool,
    /// Whether the target has turned cold since the slot was assigned.
    pub(super) assigned_warm: bool,
    pub(super) expected_us: f64,
}

#[derive(Debug)]
struct ForeignRequests {
    count: u32,
    reported_at: Mono,
}

#[derive(Debug)]
pub(super) struct Target {
    pub(super) published: SlotTarget,
    pub(super) running: Vec<RunningAttempt>,
    /// Rank among targets of equal cost.
    pub(super) tie_breaker: u64,
    slowdown: Option<SlowdownReport>,
    /// Mean of the slowdowns that the target has reported.
    mean_slowdown: Option<f64>,
    work_time_factor: f64,
    pub(super) long_work: RecentLongWork,
    failure_rate: f64,
    consecutive_failures: u32,
    ejections: u32,
    ejected_until: Option<Mono>,
    /// Time until which the target wants no requests from this process.
    resting_until: Option<Mono>,
    foreign_requests: Option<ForeignRequests>,
    pub(super) cold_until: Mono,
    /// Whether the target itself has reported in a health answer that it is cold. The published
    /// state may be older than that.
    pub(super) has_reported_cold: bool,
    /// Time of the last health answer that reported how much longer the target is cold, if any.
    pub(super) cold_reported_at: Option<Mono>,
    probed_at: Option<Mono>,
    /// Whether an answer to a load probe is overdue.
    pub(super) is_silent: bool,
    /// This process's share of the target's rate limit; `None` if the target has no limit.
    pub(super) rate_share: Option<RateShare>,
    /// This process's share of the target's warm-up rate.
    pub(super) warmup_share: Option<RateShare>,
    /// Position of the target on the rings by which processes divide the targets.
    pub(super) ring_position: u64,
    /// Whether this process chooses the target before those outside its subset.
    pub(super) is_in_subset: bool,
}

impl Target {
    pub(super) fn new(published: SlotTarget, config: &SlotPoolConfig, now: Mono) -> Self {
        let tie_breaker = rendezvous_weight(&config.name, published.id.as_str());
        let ring_position = rendezvous_weight(RING_KEY, published.id.as_str());
        let cold_until = now.plus(published.cold_for);
        Self {
            published,
            running: Vec::new(),
            tie_breaker,
            slowdown: None,
            mean_slowdown: None,
            work_time_factor: 1.0,
            long_work: RecentLongWork::default(),
            failure_rate: 0.0,
            consecutive_failures: 0,
            ejections: 0,
            ejected_until: None,
            resting_until: None,
            foreign_requests: None,
            cold_until,
            has_reported_cold: false,
            cold_reported_at: None,
            probed_at: None,
            is_silent: false,
            rate_share: None,
            warmup_share: None,
            ring_position,
            is_in_subset: true,
        }
    }

    /// Returns the target with its newly published settings and its state kept.
    pub(super) fn with_published(self, published: SlotTarget, now: Mono) -> Self {
        let is_cold_time_changed = published.cold_for != self.published.cold_for;
        let mut target = Self { published, ..self };
        let cold_for = target.published.cold_for;
        if is_cold_time_changed && (cold_for > Duration::ZERO || !target.has_reported_cold) {
            target.set_cold_for(cold_for, now);
        }
        target
    }

    pub(super) fn is_ejected(&self, now: Mono) -> bool {
        self.ejected_until.is_some_and(|until| until > now)
    }

    /// Returns whether the target is not ejected, answers probes and has no attempt that seems to
    /// hang.
    pub(super) fn looks_healthy(&self, now: Mono, config: &SlotPoolConfig) -> bool {
        !self.is_ejected(now) && !self.is_silent && !self.is_overdue(now, config)
    }

    pub(super) fn ejected_until(&self) -> Option<Mono> {
        self.ejected_until
    }

    pub(super) fn set_rest(&mut self, until: Mono) {
        self.resting_until = Some(until);
    }

    /// Returns the end of the target's rest; `None` if it does not rest.
    pub(super) fn resting_until(&self, now: Mono) -> Option<Mono> {
        self.resting_until.filter(|until| *until > now)
    }

    /// Returns whether an attempt runs so much longer than expected that the target seems to hang.
    pub(super) fn is_overdue(&self, now: Mono, config: &SlotPoolConfig) -> bool {
        self.running.iter().any(|running| {
            let passed_us = now.since(running.started_at).as_micros() as f64;
            passed_us > running.expected_us * config.overdue_factor
        })
    }

    /// Returns the number of slots to use at a time. Slots whose use would slow down the target's
    /// other runs by more than they add are left free.
    pub(super) fn usable_slots(&self, estimates: &Estimates) -> u32 {
        usable_slots(self.published.slots, self.comparison_part(), estimates)
    }

    /// Returns the part of the target in the comparison of saturated and unsaturated targets.
    pub(super) fn comparison_part(&self) -> u64 {
        self.tie_breaker % COMPARISON_DIVISOR
    }

    pub(super) fn free_slots(&self, now: Mono, estimates: &Estimates) -> u32 {
        self.usable_slots(estimates).saturating_sub(self.used_slots(now))
    }

    /// Returns whether this process may send requests to the target, now or later.
    pub(super) fn accepts_work(&self, now: Mono) -> bool {
        self.published.serving
            && self.resting_until(now).is_none()
            && self.shares(now).all(|share| share.share() > RequestRate::ZERO)
    }

    /// Returns the number of free slots that this process may fill; zero until its shares of the
    /// target's limits allow the next request. A process that has reached its share fills a target
    /// in another failure domain only up to half of its slots.
    pub(super) fn open_slots(
        &self,
        now: Mono,
        config: &SlotPoolConfig,
        estimates: &Estimates,
        has_reached_share: bool,
    ) -> u32 {
        if !self.may_send(now) || self.resting_until(now).is_some() {
            return 0;
        }
        if !has_reached_share || !self.is_remote(config) {
            return self.free_slots(now, estimates);
        }
        let remote_slots_max = (self.published.slots / REMOTE_SLOTS_DIVISOR).max(1);
        remote_slots_max.saturating_sub(self.used_slots(now))
    }

    /// Returns the known number of requests of all processes at the target.
    fn used_slots(&self, now: Mono) -> u32 {
        let own = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        own.saturating_add(self.foreign_requests(now))
    }

    /// Returns the number of requests of other processes, as last reported by the target.
    fn foreign_requests(&self, now: Mono) -> u32 {
        let fresh = self.foreign_requests.as_ref().filter(|foreign_requests| {
            now.since(foreign_requests.reported_at) < FOREIGN_REQUESTS_MAX_AGE
        });
        fresh.map_or(0, |foreign_requests| foreign_requests.count)
    }

    /// Returns the number of free slots by the target's last report; zero if that is older than
    /// `max_age`.
    pub(super) fn reported_free_slots(&self, now: Mono, max_age: Duration) -> u32 {
        let report = self.foreign_requests.as_ref();
        let is_fresh = report.is_some_and(|report| now.since(report.reported_at) < max_age);
        if is_fresh { self.published.slots.saturating_sub(self.used_slots(now)) } else { 0 }
    }

    /// Returns whether the target's last report, together with the attempts not sent yet, shows
    /// more requests than it has slots.
    pub(super) fn is_overfilled(&self, now: Mono) -> bool {
        self.used_slots(now) > self.published.slots
    }

    /// Returns whether one more request would saturate the target.
    pub(super) fn would_saturate(&self, now: Mono) -> bool {
        self.published.slots > 1 && self.used_slots(now) >= unsaturated_slots(self.published.slots)
    }

    /// Returns whether the target runs in another failure domain than this process.
    pub(super) fn is_remote(&self, config: &SlotPoolConfig) -> bool {
        config.failure_domain.as_ref().is_some_and(|own| *own != self.published.failure_domain)
    }

    pub(super) fn start_attempt(&mut self, attempt: AttemptId, class: &WorkClass, now: Mono) {
        let was_saturated_at_start = self.would_saturate(now);
        let running = RunningAttempt {
            attempt,
            class: class.clone(),
            started_at: now,
            slowdown: None,
            was_saturated_at_start,
            met_saturation: false,
            is_sent: false,
            assigned_warm: false,
            expected_us: f64::INFINITY,
        };
        self.running.push(running);
        if was_saturated_at_start {
            self.running.iter_mut().for_each(|running| running.met_saturation = true);
        }
    }

    /// Records that the attempt is sent now, with the slowdown that the target reported last.
    pub(super) fn mark_sent(
        &mut self,
        attempt: AttemptId,
        now: Mono,
        config: &SlotPoolConfig,
        estimates: &Estimates,
    ) {
        let fresh = self.fresh_slowdown(now, config);
        let slowdown = self.current_slowdown(now, config, estimates);
        let index = self.running.iter().position(|running| running.attempt == attempt);
        let Some(index) = index else { return };
        let (class, is_saturated) =
            (self.running[index].class.clone(), self.running[index].was_saturated_at_start);
        let expected_us = self.base_time_us(&class, is_saturated, now, estimates) * slowdown;
        let longest_us = estimates.work_times.longest_us(&class)
            * slowdown
            * estimates.saturation_cost(is_saturated);
        let expected_us = expected_us.max(longest_us / config.overdue_factor);
        let running = &mut self.running[index];
        let first = !running.is_sent;
        running.started_at = now;
        running.is_sent = true;
        running.slowdown = fresh;
        running.expected_us = expected_us;
        if first {
            let shares = self.rate_share.iter_mut().chain(&mut self.warmup_share);
            shares.for_each(|share| share.record_send(now));
        }
    }

    pub(super) fn remove_attempt(&mut self, attempt: AttemptId) -> Option<RunningAttempt> {
        let index = self.running.iter().position(|running| running.attempt == attempt)?;
        Some(self.running.swap_remove(index))
    }

    /// Records a load report from a time at which the target ran only those of this process's
    /// requests that are counted as sent here.
    pub(super) fn record_load(&mut self, load: TargetLoad, estimates: &mut Estimates, now: Mono) {
        if let Some(slowdown) = load.slowdown {
            self.slowdown = Some(SlowdownReport { slowdown, reported_at: now });
            let mean = self.mean_slowdown.unwrap_or(estimates.mean_slowdown());
            self.mean_slowdown = Some(mean + (slowdown.factor() - mean) * SLOWDOWN_WEIGHT);
            estimates.record_slowdown(slowdown);
        }
        let own = self.running.iter().filter(|running| running.is_sent).count();
        let own = u32::try_from(own).unwrap_or(u32::MAX);
        let total = load.running.saturating_add(load.waiting);
        self.foreign_requests =
            Some(ForeignRequests { count: total.saturating_sub(own), reported_at: now });
    }

    pub(super) fn is_slowdown_stale(&self, now: Mono, max_age: Duration) -> bool {
        self.slowdown.is_none_or(|report| now.since(report.reported_at) >= max_age)
    }

    /// Returns whether a probe would yield new information, because the slowdown would be estimated
    /// otherwise. A target with a rate limit is not probed, because a probe is itself a request.
    pub(super) fn is_probe_due(
        &self,
        now: Mono,
        config: &SlotPoolConfig,
        estimates: &Estimates,
        has_reached_share: bool,
    ) -> bool {
        let stale = |reported_at: Mono| now.since(reported_at) >= config.probe_interval;
        let unknown = self.is_slowdown_stale(now, config.probe_interval);
        let due = self.probed_at.is_none_or(stale);
        unknown
            && due
            && !self.is_rate_limited(now)
            && !self.is_ejected(now)
            && !self.is_silent
            && self.open_slots(now, config, estimates, has_reached_share) > 0
    }

    /// Returns the time of the last slowdown report; zero if there was none, so that the target
    /// ranks first.
    pub(super) fn slowdown_reported_at(&self) -> Mono {
        self.slowdown.map_or(Mono::ZERO, |report| report.reported_at)
    }

    pub(super) fn mark_probed(&mut self, now: Mono) {
        self.probed_at = Some(now);
    }
}
