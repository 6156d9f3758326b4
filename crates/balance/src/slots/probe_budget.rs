//! How many targets may be asked for their load while requests wait.

use shallotfork_types::Mono;

/// Probes that each answer to a request pays for.
const PROBES_PER_ANSWER: f64 = 4.0;
/// Probes a second besides, so that asking goes on when no answers come.
const PROBES_PER_S: f64 = 100.0;
/// Probes that can be saved up.
const SAVED_MAX: f64 = 100.0;

/// Keeps what is spent on asking in proportion to what comes of it.
#[derive(Debug)]
pub(super) struct ProbeBudget {
    saved: f64,
    at: Mono,
}

impl ProbeBudget {
    pub(super) fn new() -> Self {
        Self { saved: SAVED_MAX, at: Mono::ZERO }
    }

    /// A target has answered a request.
    pub(super) fn answered(&mut self) {
        self.saved = (self.saved + PROBES_PER_ANSWER).min(SAVED_MAX);
    }

    /// Takes leave for probes; how many of those wanted may be sent.
    pub(super) fn take(&mut self, wanted: usize, now: Mono) -> usize {
        let passed_s = now.since(self.at).as_secs_f64();
        self.at = now;
        self.saved = (self.saved + passed_s * PROBES_PER_S).min(SAVED_MAX);
        let taken = wanted.min(self.saved as usize);
        self.saved -= taken as f64;
        taken
    }
}
