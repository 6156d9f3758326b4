//! What the outcomes of attempts and probes say about a target.

use std::time::Duration;

use shallotfork_types::Mono;

use super::{RunningAttempt, Target};
use crate::slots::config::SlotPoolConfig;
use crate::slots::estimate::Estimates;
use crate::slots::published::{SlotOutcome, StateChange};

/// Weight of a new sample in a target's work time factor.
const WORK_TIME_FACTOR_WEIGHT: f64 = 0.15;
/// Bounds of a target's work time factor.
const WORK_TIME_FACTOR_BOUNDS: (f64, f64) = (0.5, 10.0);
/// Cap on a single sample of the work time factor, which may be one hang or one slow phase.
const WORK_TIME_SAMPLE_MAX: f64 = 6.0;
/// Weight of a new outcome in the failure rate.
const FAILURE_WEIGHT: f64 = 0.15;
/// Consecutive failed probes after which a target is ejected. A single one can be due to a lost
/// packet.
const FAILED_PROBES_MAX: u32 = 2;
/// Number of times that the duration of an ejection is doubled at most.
const EJECTION_DOUBLINGS_MAX: u32 = 6;

/// Failures of a target at one time.
#[derive(Debug, Clone, Copy)]
pub(in crate::slots) struct FailureRecord {
    failure_rate: f64,
    consecutive_failures: u32,
    ejections: u32,
    ejected_until: Option<Mono>,
}

impl FailureRecord {
    pub(in crate::slots) fn of(target: &Target) -> Self {
        let Target { failure_rate, consecutive_failures, ejections, ejected_until, .. } = *target;
        Self { failure_rate, consecutive_failures, ejections, ejected_until }
    }

    pub(in crate::slots) fn restore(self, target: &mut Target) {
        target.failure_rate = self.failure_rate;
        target.consecutive_failures = self.consecutive_failures;
        target.ejections = self.ejections;
        target.ejected_until = self.ejected_until;
    }
}

impl Target {
    pub(in crate::slots) fn record_outcome(
        &mut self,
        running: &RunningAttempt,
        outcome: SlotOutcome,
        config: &SlotPoolConfig,
        estimates: &mut Estimates,
        now: Mono,
    ) -> Option<StateChange> {
        match outcome {
            SlotOutcome::Answered { latency } => self.record_answer(running, latency, estimates),
            SlotOutcome::Cancelled => {
                self.record_cancelled(running, estimates, now);
                None
            }
            SlotOutcome::Failed => self.record_failure(config.failures_max, config, now),
            SlotOutcome::Unreachable | SlotOutcome::TimedOut | SlotOutcome::Misdirected => {
                self.record_failure(1, config, now)
            }
            // The pool counted a free slot, so the target either serves other processes or rejects
            // on its own account. Both call for an ejection.
            SlotOutcome::Full => self.record_failure(2, config, now),
        }
    }

    pub(super) fn record_answer(
        &mut self,
        running: &RunningAttempt,
        latency: Duration,
        estimates: &mut Estimates,
    ) -> Option<StateChange> {
        let returned = self.ejections > 0;
        self.failure_rate -= self.failure_rate * FAILURE_WEIGHT;
        self.consecutive_failures = 0;
        self.ejections = 0;
        self.ejected_until = None;
        // Without a known slowdown, the time can't be attributed to the target or its neighbours.
        if let Some(slowdown) = running.slowdown {
            self.record_latency(running, latency, slowdown, estimates);
        }
        returned.then_some(StateChange::Returned)
    }

    pub(super) fn record_latency(
        &mut self,
        running: &RunningAttempt,
        latency: Duration,
        slowdown: f64,
        estimates: &mut Estimates,
    ) {
        if self.is_cold(running.started_at) {
            return;
        }
        let time_us = latency.as_micros() as f64;
        let cost = slowdown * estimates.saturation_cost(running.was_saturated_at_start);
        let is_long = estimates.work_times.record(&running.class, time_us / cost);
        if self.long_work.record(is_long) {
            return estimates.record_long_work(&running.class, time_us / cost);
        }
        self.record_work_time_ratio(time_us / (estimates.work_us(&running.class) * cost));
        estimates.record_run_ratio(
            time_us / (estimates.work_us(&running.class) * slowdown),
            running.met_saturation,
        );
        estimates.record_work_time(
            &running.class,
            time_us,
            slowdown,
            running.was_saturated_at_start,
        );
    }

    /// Records the time of a run as a multiple of the time expected at a target of average speed.
    pub(in crate::slots) fn record_work_time_ratio(&mut self, ratio: f64) {
        let ratio = ratio.min(WORK_TIME_SAMPLE_MAX);
        self.work_time_factor += (ratio - self.work_time_factor) * WORK_TIME_FACTOR_WEIGHT;
        self.work_time_factor =
            self.work_time_factor.clamp(WORK_TIME_FACTOR_BOUNDS.0, WORK_TIME_FACTOR_BOUNDS.1);
    }

    /// Discards all failures, so that the target is used like one that has never failed.
    pub(in crate::slots) fn clear_failures(&mut self) {
        self.failure_rate = 0.0;
        self.consecutive_failures = 0;
        self.ejections = 0;
        self.ejected_until = None;
        self.is_silent = false;
    }

    pub(super) fn record_failure(
        &mut self,
        failures_max: u32,
        config: &SlotPoolConfig,
        now: Mono,
    ) -> Option<StateChange> {
        self.failure_rate += (1.0 - self.failure_rate) * FAILURE_WEIGHT;
        self.consecutive_failures += 1;
        // Attempts that were in flight at the time of the ejection are no new evidence.
        if self.consecutive_failures < failures_max || self.is_ejected(now) {
            return None;
        }
        let pause = config.ejection_initial * 2u32.pow(self.ejections.min(EJECTION_DOUBLINGS_MAX));
        let pause = pause.min(config.ejection_max);
        self.ejections += 1;
        self.ejected_until = Some(now.plus(pause));
        Some(StateChange::Ejected { failures: self.consecutive_failures, pause })
    }

    pub(in crate::slots) fn record_failed_probe(
        &mut self,
        config: &SlotPoolConfig,
        now: Mono,
    ) -> Option<StateChange> {
        self.record_failure(FAILED_PROBES_MAX, config, now)
    }
}
