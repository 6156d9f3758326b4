//! Records the outcomes of attempts.

use std::time::Duration;

use shallotfork_types::Mono;

use super::{Pool, RunningAttempt};
use crate::AttemptOutcome;
use crate::target::Target;

/// Weight of a new latency in the mean latency of the pool.
const MEAN_WEIGHT: f64 = 0.02;
/// Latency quantile up to which a latency counts as usual; a request in flight for longer indicates
/// a problem.
const TAIL_QUANTILE: f64 = 0.98;
/// Number of answers between two updates of the pool statistics.
const STATS_UPDATE_ANSWERS: u32 = 16;

impl Pool {
    pub(super) fn record_outcome(
        &mut self,
        running: &RunningAttempt,
        outcome: AttemptOutcome,
        now: Mono,
    ) {
        let jitter = self.selector.jitter();
        let elapsed_us = now.since(running.started_at).as_micros() as f64;
        let config = self.config.target.clone();
        if let AttemptOutcome::Answered { latency } = outcome {
            self.record_latency(latency);
            let usual_us = self.stats.median_us;
            let has_queue = !self.queue.is_empty();
            self.limit.record_answer(elapsed_us, usual_us, has_queue, now);
        }
        // A timeout after less than the tail latency does not count against the target, as the
        // request had little time left when it was sent.
        let tail_us = self.stats.tail_us;
        let Some(target) = self.find(&running.target) else { return };
        match outcome {
            AttemptOutcome::Answered { latency } => {
                target.record_answer(latency.as_micros() as f64 / running.wait_factor, now);
            }
            AttemptOutcome::Failed => target.record_failure(now, jitter, &config),
            AttemptOutcome::Shed => target.record_shed(now, jitter, &config),
            AttemptOutcome::TimedOut => {
                target.record_min(elapsed_us / running.wait_factor, now);
                if elapsed_us > tail_us {
                    target.record_failure(now, jitter, &config);
                }
            }
            AttemptOutcome::Cancelled => target.record_min(elapsed_us / running.wait_factor, now),
        }
    }

    pub(super) fn total_target_limit(&self) -> u32 {
        let serving = self.targets.iter().filter(|target| target.is_serving());
        serving.map(|target| target.full_concurrency_limit(&self.config.target)).sum()
    }

    pub(super) fn record_latency(&mut self, latency: Duration) {
        self.latencies.record(latency);
        self.mean_latency_us += (latency.as_micros() as f64 - self.mean_latency_us) * MEAN_WEIGHT;
        self.answers_since_update += 1;
        if self.answers_since_update >= STATS_UPDATE_ANSWERS {
            self.answers_since_update = 0;
            self.update_stats();
        }
    }

    pub(super) fn update_stats(&mut self) {
        let mut latencies: Vec<f64> = self.targets.iter().filter_map(Target::latency_us).collect();
        latencies.sort_by(f64::total_cmp);
        if let Some(median_us) = latencies.get(latencies.len() / 2) {
            self.stats.median_us = median_us.max(1.0);
        }
        if let Some(tail) = self.latencies.quantile(TAIL_QUANTILE) {
            self.stats.tail_us = tail.as_micros() as f64;
        }
    }
}
