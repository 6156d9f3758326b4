//! Input for admitting one request to a [`SlotPool`](super::SlotPool).

use std::fmt;
use std::sync::Arc;

use shallotfork_types::{Mono, TargetId};

/// Class of requests that take about the same time at a target.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkClass(Arc<str>);

impl WorkClass {
    /// Creates a class with the given name.
    pub fn new(name: &str) -> Self {
        Self(Arc::from(name))
    }
}

impl fmt::Display for WorkClass {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Request for a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotRequest {
    /// Class of requests with about the same work time.
    pub class: WorkClass,
    /// Rank among queued requests; 0 is served first.
    pub rank: u32,
    /// Time at which the request reached this process.
    pub arrived_at: Mono,
    /// Time by which the caller wants the answer; already past for a request that was resubmitted
    /// late.
    pub objective: Mono,
    /// Time at which the caller gives up.
    pub deadline: Mono,
    /// Whether the caller was rejected before and sends the request again.
    pub is_resubmitted: bool,
    /// Targets that must not be chosen, such as those that the request was already sent to.
    pub exclude: Vec<TargetId>,
}

impl SlotRequest {
    /// Creates a request of rank 0 that was not rejected before and excludes no target.
    pub fn new(class: WorkClass, arrived_at: Mono, objective: Mono, deadline: Mono) -> Self {
        let (rank, is_resubmitted, exclude) = (0, false, Vec::new());
        Self { class, rank, arrived_at, objective, deadline, is_resubmitted, exclude }
    }

    /// Sets the rank among queued requests.
    #[must_use]
    pub fn with_rank(mut self, rank: u32) -> Self {
        self.rank = rank;
        self
    }

    /// Sets whether the caller was rejected before.
    #[must_use]
    pub fn with_resubmitted(mut self, is_resubmitted: bool) -> Self {
        self.is_resubmitted = is_resubmitted;
        self
    }

    /// Sets the targets that must not be chosen.
    #[must_use]
    pub fn with_exclude(mut self, exclude: Vec<TargetId>) -> Self {
        self.exclude = exclude;
        self
    }
}
