//! What a request asks of the pool.

use shallotfork_types::{FailureDomain, Mono, TargetId};

/// How urgent a request is; under overload higher ones are served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Priority(u8);

impl Priority {
    /// Wraps a number; higher is more urgent.
    pub const fn new(value: u8) -> Self {
        Self(value)
    }

    /// The number itself.
    pub const fn value(self) -> u8 {
        self.0
    }
}

/// One request's wish for a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolRequest {
    /// How urgent the request is.
    pub priority: Priority,
    /// After this time nobody awaits the answer.
    pub deadline: Mono,
    /// Failure domains to prefer, best first; empty when all are equal.
    pub preferred_domains: Vec<FailureDomain>,
    /// Targets that must not be chosen, such as those that the request was already sent to.
    pub exclude: Vec<TargetId>,
}

impl PoolRequest {
    /// An ask of the lowest priority without preference.
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

    /// Sets the failure domains to prefer, best first.
    #[must_use]
    pub fn with_preferred_domains(mut self, preferred_domains: Vec<FailureDomain>) -> Self {
        self.preferred_domains = preferred_domains;
        self
    }

    /// Sets the targets that must not be chosen.
    #[must_use]
    pub fn with_exclude(mut self, exclude: Vec<TargetId>) -> Self {
        self.exclude = exclude;
        self
    }
}
