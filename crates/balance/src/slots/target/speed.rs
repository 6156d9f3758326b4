//! How long a request is expected to take at a target, and the cost by which targets are compared.

use shallotfork_types::Mono;

use super::Target;
use crate::slots::config::SlotPoolConfig;
use crate::slots::estimate::{Estimates, SlowdownReport};
use crate::slots::{SlotRequest, WorkClass};

/// Cost of a failure to a caller, as a multiple of the time of an answer.
const FAILURE_COST: f64 = 6.0;
/// Factor by which a target is assumed to be slower for some seconds after its start, until it has
/// been measured.
const COLD_FACTOR: f64 = 2.0;
/// Weight of an estimated slowdown in the ranking of targets that have no fresh report. A probe
/// costs a hundredth of the work, and the estimate ranks targets that are equal otherwise.
const UNKNOWN_SLOWDOWN_WEIGHT: f64 = 0.05;
/// A request waits for a faster slot only if at least this multiple of its usual time is left.
const WAIT_MARGIN: f64 = 1.2;

impl Target {
    /// Returns the reported slowdown if the report is fresh enough to rely on.
    pub(super) fn fresh_slowdown(&self, now: Mono, config: &SlotPoolConfig) -> Option<f64> {
        let fresh = |report: &SlowdownReport| now.since(report.reported_at) < config.load_max_age;
        self.slowdown.filter(fresh).map(|report| report.slowdown.factor())
    }

    /// Returns the reported slowdown if it is fresh, otherwise the expected one.
    pub(in crate::slots) fn current_slowdown(
        &self,
        now: Mono,
        config: &SlotPoolConfig,
        estimates: &Estimates,
    ) -> f64 {
        let fresh = self.fresh_slowdown(now, config);
        fresh.unwrap_or_else(|| self.expected_slowdown(now, config, estimates))
    }

    pub(super) fn expected_slowdown(
        &self,
        now: Mono,
        config: &SlotPoolConfig,
        estimates: &Estimates,
    ) -> f64 {
        let mean = self.mean_slowdown.unwrap_or(estimates.mean_slowdown());
        let report = self.slowdown;
        report.map_or(mean, |report| report.expected(now, config.slowdown_decay, mean))
    }

    /// Returns the slowdown used to compare targets. An unknown slowdown has little weight, because
    /// the target is probed before the request is sent and passed over if it turns out to be slow.
    pub(super) fn slowdown_for_ranking(
        &self,
        now: Mono,
        config: &SlotPoolConfig,
        estimates: &Estimates,
    ) -> f64 {
        let fresh = self.fresh_slowdown(now, config);
        let guess =
            1.0 + (self.expected_slowdown(now, config, estimates) - 1.0) * UNKNOWN_SLOWDOWN_WEIGHT;
        fresh.unwrap_or(guess)
    }

    /// Returns whether the target reports such a slowdown that waiting for the end of the slow
    /// phase would be quicker. A run keeps the slowdown with which it started, so a slot that is
    /// assigned in a slow phase is occupied for several times as long.
    ///
    /// A short request may finish earlier in a slow phase than after it and still miss its
    /// objective; it waits as well if the wait leaves enough time.
    pub(in crate::slots) fn is_slow(
        &self,
        request: &SlotRequest,
        now: Mono,
        config: &SlotPoolConfig,
        estimates: &Estimates,
    ) -> bool {
        if self.slowdown.is_none() {
            return false;
        }
        let usual_us = estimates.work_us(&request.class);
        let now_us = usual_us * self.expected_slowdown(now, config, estimates);
        let phase_us = config.slowdown_decay.as_micros() as f64;
        let left_us = request.objective.since(now).as_micros() as f64;
        let too_late = now_us > left_us && usual_us * WAIT_MARGIN < left_us;
        now_us - usual_us > phase_us || too_late
    }

    /// Returns the expected time in microseconds of a request of this class without slowdown.
    pub(super) fn base_time_us(
        &self,
        class: &WorkClass,
        is_saturated: bool,
        now: Mono,
        estimates: &Estimates,
    ) -> f64 {
        let cold = if self.is_cold(now) { COLD_FACTOR } else { 1.0 };
        estimates.work_us(class)
            * self.work_time_factor.max(cold)
            * estimates.saturation_cost(is_saturated)
    }

    /// Returns the cost in microseconds by which targets are compared: the expected time, raised by
    /// the risk of a failure, and the cost of crossing failure domains.
    pub(in crate::slots) fn cost_us(
        &self,
        request: &SlotRequest,
        now: Mono,
        config: &SlotPoolConfig,
        estimates: &Estimates,
    ) -> f64 {
        let risk = 1.0 + self.failure_rate * FAILURE_COST;
        let slowdown = self.slowdown_for_ranking(now, config, estimates);
        let time_us =
            self.base_time_us(&request.class, self.would_saturate(now), now, estimates) * slowdown;
        time_us * risk + self.cross_domain_cost_us(&request.class, config, estimates)
    }

    pub(super) fn cross_domain_cost_us(
        &self,
        class: &WorkClass,
        config: &SlotPoolConfig,
        estimates: &Estimates,
    ) -> f64 {
        let cost = f64::from(config.cross_domain_cost_permille) / 1000.0;
        if self.is_remote(config) { estimates.work_us(class) * cost } else { 0.0 }
    }
}
