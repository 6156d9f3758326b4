//! What a pool looks like at one moment, for logs and metrics.

use std::time::Duration;

use shallotfork_types::Mono;

use super::SlotPool;
use super::target::Target;

/// Counts of a pool's targets and requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlotSummary {
    /// Requests that wait for a slot.
    pub queued: usize,
    /// Attempts in flight.
    pub running: usize,
    /// Targets that take new work.
    pub serving: usize,
    /// Of these, targets that are left out after failures.
    pub ejected: usize,
    /// Targets that owe an answer to a question about their load.
    pub silent: usize,
    /// Targets at which an attempt takes far longer than expected.
    pub overdue: usize,
    /// Targets whose slots are all taken.
    pub full: usize,
    /// Free slots at targets that are neither ejected nor overdue.
    pub free_slots: usize,
    /// How much longer runs take on crowded targets.
    pub saturation_slowdown: f64,
    /// Mean of the paces that targets tell; 1 is the usual one.
    pub mean_slowdown: f64,
    /// Mean time of a request at a target of usual speed and pace.
    pub usual_time: Duration,
}

impl SlotPool {
    /// What the pool looks like now.
    pub fn summary(&self, now: Mono) -> SlotSummary {
        let serving: Vec<&Target> =
            self.targets.values().filter(|target| target.published.serving).collect();
        let count = |is: &dyn Fn(&Target) -> bool| serving.iter().filter(|t| is(t)).count();
        SlotSummary {
            queued: self.queue.len(),
            running: self.attempts.len(),
            serving: serving.len(),
            ejected: count(&|target| target.is_ejected(now)),
            silent: count(&|target| target.is_silent),
            overdue: count(&|target| target.is_overdue(now, &self.config)),
            full: count(&|target| target.free_slots(now, &self.learnt) == 0),
            free_slots: self.free_slots(now),
            saturation_slowdown: self.learnt.slowdown(),
            mean_slowdown: self.learnt.mean_pace(),
            usual_time: Duration::from_micros(self.learnt.usual_us() as u64),
        }
    }
}
