//! Adaptive limit on the requests in flight from this process to all targets of a pool.

use shallotfork_types::Mono;
use std::time::Duration;

/// Lowest limit; with less than one, the service would never be tried again.
const LIMIT_MIN: f64 = 1.0;
/// Minimum number of answers in a window, so that its lowest latency is unlikely to be an outlier.
const WINDOW_ANSWERS: u32 = 20;
/// Minimum length of a window, so that a change of the limit shows in the latencies of the next
/// one.
const WINDOW_MIN: Duration = Duration::from_millis(50);
/// Factor applied to the limit after a window in which every request waited at its target.
const DECREASE: f64 = 0.85;
/// Relative growth of the limit in a window without waits, while requests wait in the queue here.
const INCREASE_SHARE: f64 = 0.05;
const INCREASE_STEP: f64 = 0.5;
/// Wait at the targets from which the limit is lowered, as a multiple of the usual latency. Half of
/// it costs 1.5% of goodput near saturation; more lets queues grow at the targets when many entries
/// serve a service.
const WAIT_THRESHOLD: f64 = 1.0;
/// Share by which the baseline latencies rise toward higher ones in each window.
const BASELINE_RISE: f64 = 0.01;

/// A concurrency limit that is lowered while even the fastest answers show a wait at the targets.
///
/// Concurrency limits per target do not bound the queues at targets: fourteen processes that each
/// keep a few requests in flight at a target with two slots build a queue of dozens there, which
/// ignores deadlines and priorities. The lowest latency of a window rises with the queue that every
/// request meets, not with random waits of some requests. All processes see the same queues, so
/// each one falls to its share without knowing how many processes there are.
///
/// Load reports are not used: they may be old, and a limit that follows old reports oscillates.
#[derive(Debug)]
pub(crate) struct ConcurrencyLimit {
    limit: f64,
    max: f64,
    window_started_at: Mono,
    answers: u32,
    lowest_us: f64,
    baseline: Option<Baseline>,
}

/// Latencies, in microseconds, while no request waits at the targets.
#[derive(Debug, Clone, Copy)]
struct Baseline {
    /// The lowest latency of a window.
    lowest_us: f64,
    usual_us: f64,
}

impl Baseline {
    /// Lowers the baseline at once and raises it slowly. It is not raised while requests wait here,
    /// because latencies then include the wait at saturated targets.
    fn update(self, observed: Self, has_queue: bool) -> Self {
        let track = |current: f64, observed: f64| match observed < current {
            true => observed,
            false if has_queue => current,
            false => current + (observed - current) * BASELINE_RISE,
        };
        Self {
            lowest_us: track(self.lowest_us, observed.lowest_us),
            usual_us: track(self.usual_us, observed.usual_us),
        }
    }
}

impl ConcurrencyLimit {
    pub(crate) fn new() -> Self {
        Self {
            limit: LIMIT_MIN,
            max: LIMIT_MIN,
            window_started_at: Mono::ZERO,
            answers: 0,
            lowest_us: f64::INFINITY,
            baseline: None,
        }
    }

    /// Sets the upper bound of the limit to the sum of the per-target limits; the limit starts
    /// there.
    pub(crate) fn set_max(&mut self, per_target_sum: u32) {
        let max = f64::from(per_target_sum).max(LIMIT_MIN);
        let at_max = self.limit >= self.max;
        self.limit = if at_max { max } else { self.limit.min(max) };
        self.max = max;
    }

    pub(crate) fn has_room(&self, running: usize) -> bool {
        (running as f64) < self.limit
    }

    /// Records the latency of an answer. `usual_us` is the usual latency without waiting;
    /// `has_queue` is whether requests wait here.
    pub(crate) fn record_answer(
        &mut self,
        latency_us: f64,
        usual_us: f64,
        has_queue: bool,
        now: Mono,
    ) {
        self.answers += 1;
        self.lowest_us = self.lowest_us.min(latency_us);
        if self.answers < WINDOW_ANSWERS || now.since(self.window_started_at) < WINDOW_MIN {
            return;
        }
        self.adjust(usual_us, has_queue);
        self.window_started_at = now;
        self.answers = 0;
        self.lowest_us = f64::INFINITY;
    }

    fn adjust(&mut self, usual_us: f64, has_queue: bool) {
        let observed = Baseline { lowest_us: self.lowest_us, usual_us };
        let baseline = *self.baseline.get_or_insert(observed);
        self.baseline = Some(baseline.update(observed, has_queue));
        if self.lowest_us > baseline.lowest_us + baseline.usual_us * WAIT_THRESHOLD {
            self.limit = (self.limit * DECREASE).max(LIMIT_MIN);
        } else if has_queue {
            let grown = self.limit * (1.0 + INCREASE_SHARE) + INCREASE_STEP;
            self.limit = grown.min(self.max);
        }
    }
}
