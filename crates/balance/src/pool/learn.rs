//! What attempts and their ends teach.

use std::time::Duration;

use shallotfork_types::Mono;

use super::{Pool, Running};
use crate::AttemptOutcome;
use crate::target::Target;

/// Weight of a new latency in the pool's mean.
const MEAN_WEIGHT: f64 = 0.02;
/// Share of requests whose latency counts as usual; an older one in flight is a sign of trouble.
const TAIL_QUANTILE: f64 = 0.98;
/// Answers between two computations of the pool's averages.
const VIEW_EVERY: u32 = 16;

impl Pool {
    pub(super) fn learn(&mut self, running: &Running, outcome: AttemptOutcome, now: Mono) {
        let spread = self.chooser.fraction();
        let elapsed_us = now.since(running.started).as_micros() as f64;
        let config = self.config.target.clone();
        if let AttemptOutcome::Answered { latency } = outcome {
            self.learn_latency(latency);
            let usual_us = self.view.median_us;
            let waiting = !self.queue.is_empty();
            self.limit.answered(elapsed_us, usual_us, waiting, now);
        }
        // One that had little time left when it was sent says nothing against the target.
        let tail_us = self.view.tail_us;
        let Some(target) = self.find(&running.target) else { return };
        match outcome {
            AttemptOutcome::Answered { latency } => {
                target.answered(latency.as_micros() as f64 / running.crowding, now);
            }
            AttemptOutcome::Failed => target.failed(now, spread, &config),
            AttemptOutcome::Shed => target.shed(now, spread, &config),
            AttemptOutcome::TimedOut => {
                target.at_least(elapsed_us / running.crowding, now);
                if elapsed_us > tail_us {
                    target.failed(now, spread, &config);
                }
            }
            AttemptOutcome::Cancelled => target.at_least(elapsed_us / running.crowding, now),
        }
    }

    pub(super) fn gates(&self) -> u32 {
        let serving = self.targets.iter().filter(|target| target.is_serving());
        serving.map(|target| target.whole_gate(&self.config.target)).sum()
    }

    pub(super) fn learn_latency(&mut self, latency: Duration) {
        self.latencies.record(latency);
        self.mean_us += (latency.as_micros() as f64 - self.mean_us) * MEAN_WEIGHT;
        self.answers_since_view += 1;
        if self.answers_since_view >= VIEW_EVERY {
            self.answers_since_view = 0;
            self.update_view();
        }
    }

    pub(super) fn update_view(&mut self) {
        let mut latencies: Vec<f64> = self.targets.iter().filter_map(Target::latency_us).collect();
        latencies.sort_by(f64::total_cmp);
        if let Some(median_us) = latencies.get(latencies.len() / 2) {
            self.view.median_us = median_us.max(1.0);
        }
        if let Some(tail) = self.latencies.quantile(TAIL_QUANTILE) {
            self.view.tail_us = tail.as_micros() as f64;
        }
    }
}
