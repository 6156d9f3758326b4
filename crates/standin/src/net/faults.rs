//! Faults and counts of the connections of one listener.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

const WINDOW: Duration = Duration::from_secs(1);

/// Faults of all present and future connections of one listener.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ConnectionFaults {
    /// New connections are closed immediately and open ones fail at their next read or write.
    pub refuse: bool,
    /// The connection is cut after this many bytes of each answer.
    pub cut_answer_at_bytes: Option<u64>,
    /// The connection is cut once this many bytes of a request have been read.
    pub close_after_read_bytes: Option<u64>,
}

/// Counts of the connections of one listener.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConnectionCounts {
    /// Number of connections opened since the start.
    pub opened: u64,
    /// Number of connections open now.
    pub open: u64,
    /// Maximum number of connections open at the same time.
    pub open_max: u64,
    /// Number of connections cut by a fault.
    pub cut: u64,
    /// Maximum number of connections opened in any window of one second.
    pub opened_max_in_second: u64,
}

#[derive(Debug, Default)]
struct Inner {
    faults: ConnectionFaults,
    counts: ConnectionCounts,
    recent_opened_at: VecDeque<Instant>,
}

/// Faults and counts shared by a listener and its connections.
#[derive(Debug, Clone, Default)]
pub struct ConnectionState {
    inner: Arc<Mutex<Inner>>,
}

impl ConnectionState {
    /// Creates a state without faults.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the faults in force.
    pub fn faults(&self) -> ConnectionFaults {
        self.lock().faults
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: ConnectionFaults) {
        self.lock().faults = faults;
    }

    /// Returns the counts so far.
    pub fn counts(&self) -> ConnectionCounts {
        self.lock().counts
    }

    pub(super) fn record_opened(&self) {
        let now = Instant::now();
        let mut inner = self.lock();
        inner.recent_opened_at.push_back(now);
        inner.recent_opened_at.retain(|opened_at| now.duration_since(*opened_at) < WINDOW);
        let opened_in_window = inner.recent_opened_at.len() as u64;
        let counts = &mut inner.counts;
        counts.opened_max_in_second = counts.opened_max_in_second.max(opened_in_window);
        counts.opened += 1;
        counts.open += 1;
        counts.open_max = counts.open_max.max(counts.open);
    }

    pub(super) fn record_closed(&self) {
        self.lock().counts.open -= 1;
    }

    pub(super) fn record_cut(&self) {
        self.lock().counts.cut += 1;
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
