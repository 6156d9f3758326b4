//! What may go wrong on a listener's connections, and what was counted there.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

const WINDOW: Duration = Duration::from_secs(1);

/// Faults of every connection of one listener, now and later.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ConnectionFaults {
    /// New connections are closed at once and old ones fail at their next read or write.
    pub refuse: bool,
    /// The connection ends after this many bytes of each answer.
    pub cut_answer_at_bytes: Option<u64>,
    /// The connection ends once this many bytes of a request have been read.
    pub close_after_read_bytes: Option<u64>,
}

/// Connections of one listener.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConnectionCounts {
    /// Connections opened since the start.
    pub opened: u64,
    /// Connections open now.
    pub open: u64,
    /// The most that were open at once.
    pub open_max: u64,
    /// Connections that a fault ended.
    pub cut: u64,
    /// The most that were opened in any window of one second.
    pub opened_max_in_second: u64,
}

#[derive(Debug, Default)]
struct Inner {
    faults: ConnectionFaults,
    counts: ConnectionCounts,
    recent: VecDeque<Instant>,
}

/// Faults and counts shared by a listener and its connections.
#[derive(Debug, Clone, Default)]
pub struct ConnectionState {
    inner: Arc<Mutex<Inner>>,
}

impl ConnectionState {
    /// Starts without faults.
    pub fn new() -> Self {
        Self::default()
    }

    /// The faults in force.
    pub fn faults(&self) -> ConnectionFaults {
        self.lock().faults
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: ConnectionFaults) {
        self.lock().faults = faults;
    }

    /// What was counted so far.
    pub fn counts(&self) -> ConnectionCounts {
        self.lock().counts
    }

    pub(super) fn opened(&self) {
        let now = Instant::now();
        let mut inner = self.lock();
        inner.recent.push_back(now);
        inner.recent.retain(|then| now.duration_since(*then) < WINDOW);
        let recent = inner.recent.len() as u64;
        let counts = &mut inner.counts;
        counts.opened_max_in_second = counts.opened_max_in_second.max(recent);
        counts.opened += 1;
        counts.open += 1;
        counts.open_max = counts.open_max.max(counts.open);
    }

    pub(super) fn closed(&self) {
        self.lock().counts.open -= 1;
    }

    pub(super) fn cut(&self) {
        self.lock().counts.cut += 1;
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
