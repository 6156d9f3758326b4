//! Counts questions to targets for their load.

use std::sync::atomic::{AtomicU64, Ordering};

/// Questions to targets since the process began.
#[derive(Debug, Default)]
pub struct ProbeCounts {
    asked: AtomicU64,
    silent: AtomicU64,
}

impl ProbeCounts {
    /// A target is asked.
    pub fn asked(&self) {
        self.asked.fetch_add(1, Ordering::Relaxed);
    }

    /// No answer was read in time.
    pub fn silent(&self) {
        self.silent.fetch_add(1, Ordering::Relaxed);
    }

    /// How many targets were asked, and how many of these questions had no answer in time.
    pub fn read(&self) -> (u64, u64) {
        (self.asked.load(Ordering::Relaxed), self.silent.load(Ordering::Relaxed))
    }
}
