//! Counts questions to targets for their load.

use std::sync::atomic::{AtomicU64, Ordering};

/// Questions to targets since the process began.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Probes {
    /// Targets that were asked.
    pub asked: u64,
    /// Questions that had no answer in time.
    pub silent: u64,
}

/// The counters behind [`Probes`].
#[derive(Debug, Default)]
pub struct ProbeCounters {
    asked: AtomicU64,
    silent: AtomicU64,
}

impl ProbeCounters {
    /// A target is asked.
    pub fn asked(&self) {
        self.asked.fetch_add(1, Ordering::Relaxed);
    }

    /// No answer was read in time.
    pub fn silent(&self) {
        self.silent.fetch_add(1, Ordering::Relaxed);
    }

    /// The counts of now.
    pub fn read(&self) -> Probes {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        Probes { asked: read(&self.asked), silent: read(&self.silent) }
    }
}
