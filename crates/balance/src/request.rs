//! Input for admitting one request to a pool.

use shallotfork_types::{FailureDomain, Mono, TargetId};

/// Urgency of a request; under overload, higher priorities are served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Priority(u8);

impl Priority {
    /// Creates a priority; higher values are more urgent.
    pub const fn new(value: u8) -> Self {
        Self(value)
    }

    /// Returns the numeric value.
    pub const fn value(self) -> u8 {
        self.0
    }
}

/// An admission request to a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolRequest {
    /// The priority of the request.
    pub priority: Priority,
    /// Time after which the caller no longer waits for the answer.
    pub deadline: Mono,
    /// Preferred failure domains, best first; empty when all are equal.
    pub preferred_domains: Vec<FailureDomain>,
    /// Targets that must not be selected, such as those that the request was already sent to.
    pub exclude: Vec<TargetId>,
}

impl PoolRequest {
    /// Creates a request of the lowest priority without preferred domains.
    pub fn new(deadline: Mono) -> Self {
        Self {
            priority: Priority::default(),
            deadline,
            preferred_domains: Vec::new(),
            exclude: Vec::new(),
        }
    }

    /// Sets the priority.
    #[must_use]
    pub fn with_priority(mut self, priority: Priority) -> Self {
        self.priority = priority;
        self
    }

    /// Sets the preferred failure domains, best first.
    #[must_use]
    pub fn with_preferred_domains(mut self, preferred_domains: Vec<FailureDomain>) -> Self {
        self.preferred_domains = preferred_domains;
        self
    }

    /// Sets the targets that must not be selected.
    #[must_use]
    pub fn with_exclude(mut self, exclude: Vec<TargetId>) -> Self {
        self.exclude = exclude;
        self
    }
}
