//! What a request asks of a [`SlotPool`](super::SlotPool).

use std::fmt;
use std::sync::Arc;

use shallotfork_types::{Mono, TargetId};

/// Requests that take about the same time at a target.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkClass(Arc<str>);

impl WorkClass {
    /// Names a class.
    pub fn new(name: &str) -> Self {
        Self(Arc::from(name))
    }
}

impl fmt::Display for WorkClass {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// One request's wish for a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotRequest {
    /// Requests that take about as long.
    pub class: WorkClass,
    /// Rank among requests that wait; 0 goes first.
    pub rank: u32,
    /// When the request reached this process.
    pub arrived_at: Mono,
    /// An answer until then is worth most to the caller; already past for one that comes back
    /// late.
    pub objective: Mono,
    /// After this nobody awaits the answer.
    pub deadline: Mono,
    /// Whether its caller was refused before and came back.
    pub is_resubmitted: bool,
    /// Targets that must not be chosen, such as those that the request was already sent to.
    pub exclude: Vec<TargetId>,
}

impl SlotRequest {
    /// A first attempt that arrived now.
    pub fn new(class: WorkClass, arrived_at: Mono, objective: Mono, deadline: Mono) -> Self {
        let (rank, is_resubmitted, exclude) = (0, false, Vec::new());
        Self { class, rank, arrived_at, objective, deadline, is_resubmitted, exclude }
    }

    /// Sets the rank.
    #[must_use]
    pub fn with_rank(mut self, rank: u32) -> Self {
        self.rank = rank;
        self
    }

    /// Says that the caller was refused before.
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
