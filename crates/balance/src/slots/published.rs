//! What a pool is told of targets, and what it says about them.

use std::time::Duration;

use shallotfork_types::{FailureDomain, TargetId};

use super::Slowdown;

/// A target as published.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotTarget {
    /// The target.
    pub id: TargetId,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub serving: bool,
    /// How much longer it is slow after its start.
    pub cold_for: Duration,
}

/// What a target says of its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetLoad {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait at it.
    pub waiting: u32,
    /// Requests that it can run at once.
    pub slots: u32,
    /// How long work takes there at this moment, if it says so.
    pub slowdown: Option<Slowdown>,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotOutcome {
    /// A whole answer that is no server error came after this time.
    Answered {
        /// From sending to the last byte of the answer.
        latency: Duration,
    },
    /// A server error, or an answer that is not whole or not its own.
    Failed,
    /// No connection could be opened.
    Unreachable,
    /// It said that it has no room.
    Full,
    /// Another target answers at its address.
    Misdirected,
    /// No answer came in time.
    TimedOut,
    /// Given up for a reason that is not the target's.
    Cancelled,
}

/// A change of what a pool thinks of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetStateChange {
    /// The target.
    pub target: TargetId,
    /// What has changed.
    pub change: StateChange,
}

/// What has changed in the belief about a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StateChange {
    /// It is left out for a while.
    Ejected {
        /// Failures in a row that decided it.
        failures: u32,
        /// For how long.
        pause: Duration,
    },
    /// It has answered again.
    Returned,
}
