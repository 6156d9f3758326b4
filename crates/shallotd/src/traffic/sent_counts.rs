//! Counts of what was sent to targets.

use std::sync::atomic::{AtomicU64, Ordering};

/// Requests sent to targets since the start.
#[derive(Debug, Default)]
pub struct SentCounts {
    attempts: Counter,
    retries: Counter,
    hedges: Counter,
    probes: Counter,
}

/// What is sent to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sent {
    /// The first attempt of a request.
    Attempt,
    /// An attempt after one that failed.
    Retry,
    /// A second attempt beside one in flight.
    Hedge,
    /// A question for the target's load.
    Probe,
}

#[derive(Debug, Default)]
struct Counter(AtomicU64);

impl SentCounts {
    /// Counts one more.
    pub fn add(&self, sent: Sent) {
        self.counter(sent).0.fetch_add(1, Ordering::Relaxed);
    }

    /// How many were counted.
    pub fn get(&self, sent: Sent) -> u64 {
        self.counter(sent).0.load(Ordering::Relaxed)
    }

    fn counter(&self, sent: Sent) -> &Counter {
        match sent {
            Sent::Attempt => &self.attempts,
            Sent::Retry => &self.retries,
            Sent::Hedge => &self.hedges,
            Sent::Probe => &self.probes,
        }
    }
}
