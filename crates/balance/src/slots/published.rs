//! Inputs of a pool about its targets, and the state changes that it reports.

use std::time::Duration;

use shallotfork_types::{FailureDomain, TargetId};

use super::Slowdown;

/// Target as published by the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotTarget {
    /// Identifies the target.
    pub id: TargetId,
    /// Failure domain in which the target runs.
    pub failure_domain: FailureDomain,
    /// Number of requests that the target runs at a time.
    pub slots: u32,
    /// Whether the target takes new work.
    pub serving: bool,
    /// How much longer the target is cold after its start.
    pub cold_for: Duration,
}

/// Load that a target reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetLoad {
    /// Requests running at the target.
    pub running: u32,
    /// Requests waiting at the target.
    pub waiting: u32,
    /// Number of requests that the target can run at a time.
    pub slots: u32,
    /// Current slowdown of the target, if it reports one.
    pub slowdown: Option<Slowdown>,
}

/// Outcome of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotOutcome {
    /// The target sent a complete answer without a server error.
    Answered {
        /// Time from sending the request to the last byte of the answer.
        latency: Duration,
    },
    /// The target sent a server error, an incomplete answer, or another target's answer.
    Failed,
    /// No connection could be opened.
    Unreachable,
    /// The target reported that it has no capacity.
    Full,
    /// Another target answers at the address.
    Misdirected,
    /// No answer arrived within the timeout.
    TimedOut,
    /// The attempt was given up for a reason unrelated to the target.
    Cancelled,
}

/// State change of one target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetStateChange {
    /// Identifies the target.
    pub target: TargetId,
    /// The change.
    pub change: StateChange,
}

/// Kind of a target's state change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StateChange {
    /// The target was ejected.
    Ejected {
        /// Consecutive failures that led to the ejection.
        failures: u32,
        /// Duration of the ejection.
        pause: Duration,
    },
    /// The target answered again after an ejection.
    Returned,
}
