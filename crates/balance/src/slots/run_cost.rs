//! How much longer than at usual speed an attempt takes at its target.

use shallotfork_types::Mono;

use super::config::SlotPoolConfig;
use super::estimate::Estimates;
use super::target::{RunningAttempt, Target};
use crate::AttemptId;

impl Target {
    /// Records how long a cancelled attempt has run. It is no fault of the target. Only if such runs
    /// recur at the target, it counts as slow: hedges end its runs, so that few of them are answered.
    pub(super) fn record_cancelled(
        &mut self,
        running: &RunningAttempt,
        estimates: &mut Estimates,
        now: Mono,
    ) {
        let Some(slowdown) = running.slowdown.filter(|_| running.is_sent) else { return };
        if !self.is_cold(running.started_at) {
            let cost = slowdown * estimates.saturation_cost(running.was_saturated_at_start);
            let time_us = now.since(running.started_at).as_micros() as f64;
            let long_us = estimates.work_times.record_cancelled(&running.class, time_us / cost);
            if let Some(long_us) = long_us
                && !self.long_work.record(true)
            {
                self.record_work_time_ratio(long_us / estimates.work_us(&running.class));
            }
        }
    }

    /// Returns the factor by which an attempt that is sent now is expected to take longer than at
    /// usual speed.
    pub(super) fn run_cost(
        &self,
        attempt: AttemptId,
        now: Mono,
        config: &SlotPoolConfig,
        estimates: &Estimates,
    ) -> f64 {
        let running = self.running.iter().find(|running| running.attempt == attempt);
        let is_saturated = running.is_some_and(|running| running.was_saturated_at_start);
        self.current_slowdown(now, config, estimates) * estimates.saturation_cost(is_saturated)
    }
}
