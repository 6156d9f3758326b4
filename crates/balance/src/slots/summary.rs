//! Summary of a pool's current state for logs and metrics.

use std::time::Duration;

use shallotfork_types::Mono;

use super::SlotPool;
use super::target::Target;

/// Counts and means over a pool's targets and requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlotSummary {
    /// Requests that wait for a slot.
    pub queued: usize,
    /// Attempts in flight.
    pub running: usize,
    /// Targets that take new work.
    pub serving: usize,
    /// Serving targets that this process chooses among first.
    pub subset: usize,
    /// Serving targets that are ejected after failures.
    pub ejected: usize,
    /// Serving targets that have not answered a load probe in time.
    pub silent: usize,
    /// Serving targets at which an attempt takes far longer than expected.
    pub overdue: usize,
    /// Serving targets without a free slot.
    pub full: usize,
    /// Whether most targets reject requests at random although they have free slots.
    pub rejects_at_random: bool,
    /// Free slots at targets that are neither ejected nor overdue.
    pub free_slots: usize,
    /// Factor by which runs take longer if their target is saturated meanwhile.
    pub saturation_slowdown: f64,
    /// Mean of the slowdowns that targets report; 1.0 is the usual speed.
    pub mean_slowdown: f64,
    /// Mean time of a request at a target of average speed without slowdown.
    pub usual_time: Duration,
}

impl SlotPool {
    /// Returns a summary of the pool's current state.
    pub fn summary(&self, now: Mono) -> SlotSummary {
        let serving: Vec<&Target> =
            self.targets.values().filter(|target| target.published.serving).collect();
        let count =
            |predicate: &dyn Fn(&Target) -> bool| serving.iter().filter(|t| predicate(t)).count();
        SlotSummary {
            queued: self.queue.len(),
            running: self.attempts.len(),
            serving: serving.len(),
            subset: count(&|target| target.is_in_subset),
            ejected: count(&|target| target.is_ejected(now)),
            silent: count(&|target| target.is_silent),
            overdue: count(&|target| target.is_overdue(now, &self.config)),
            full: count(&|target| target.free_slots(now, &self.estimates) == 0),
            rejects_at_random: self.rejects_at_random(now),
            free_slots: self.free_slots(now),
            saturation_slowdown: self.estimates.saturation_slowdown(),
            mean_slowdown: self.estimates.mean_slowdown(),
            usual_time: Duration::from_micros(self.estimates.mean_work_us() as u64),
        }
    }
}
