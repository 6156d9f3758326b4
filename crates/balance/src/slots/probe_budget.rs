//! Budget for load probes while requests wait.

use shallotfork_types::Mono;

/// Probes added to the budget by each answered request.
const PROBES_PER_ANSWER: f64 = 4.0;
/// Probes added to the budget per second, so that probing goes on without any answers.
const PROBES_PER_S: f64 = 100.0;
/// Largest number of probes that the budget can hold.
const BUDGET_MAX: f64 = 100.0;

/// Keeps the number of probes in proportion to the number of answered requests.
#[derive(Debug)]
pub(super) struct ProbeBudget {
    available: f64,
    updated_at: Mono,
}

impl ProbeBudget {
    pub(super) fn new() -> Self {
        Self { available: BUDGET_MAX, updated_at: Mono::ZERO }
    }

    /// Adds the probes earned by one answered request.
    pub(super) fn record_answer(&mut self) {
        self.available = (self.available + PROBES_PER_ANSWER).min(BUDGET_MAX);
    }

    /// Takes up to `wanted` probes from the budget and returns how many may be sent.
    pub(super) fn acquire(&mut self, wanted: usize, now: Mono) -> usize {
        let elapsed_s = now.since(self.updated_at).as_secs_f64();
        self.updated_at = now;
        self.available = (self.available + elapsed_s * PROBES_PER_S).min(BUDGET_MAX);
        let acquired = wanted.min(self.available as usize);
        self.available -= acquired as f64;
        acquired
    }
}
