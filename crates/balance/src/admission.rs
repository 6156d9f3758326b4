//! Admission decisions of a pool, their identifiers, and the outcomes reported back to it.

use std::fmt;
use std::time::Duration;

use shallotfork_types::TargetId;

/// Identifies one attempt at a target until it is passed to `Pool::finish`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub(crate) u64);

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "attempt {}", self.0)
    }
}

/// Identifies one request in the queue until it is resolved or cancelled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub(crate) u64);

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ticket {}", self.0)
    }
}

/// A permit to send one attempt to a target; it must be returned through `Pool::finish`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    /// The attempt to pass to `Pool::finish` when it ends.
    pub attempt: AttemptId,
    /// The target to send it to.
    pub target: TargetId,
}

/// The reason for which a request is shed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShedReason {
    /// The deadline has passed.
    DeadlinePassed,
    /// The expected wait plus the usual latency ends after the deadline.
    DeadlineTooNear,
    /// The queue is full of requests that are served before this one.
    QueueFull,
    /// No target may serve the request: none is listed, or all are draining or excluded.
    NoTarget,
    /// Retries have used up their budget, a share of first attempts.
    RetryBudget,
    /// The request is quarantined because it crashed several targets.
    Quarantined,
    /// The request is suspected of crashing targets and must not be sent yet.
    Suspected,
    /// This process reaches no target.
    NoPath,
    /// The answer does not fit into the memory and the link of this process in time.
    NoRoom,
}

impl ShedReason {
    /// Returns the text used in logs, metrics and answers.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::DeadlinePassed => "deadline-passed",
            Self::DeadlineTooNear => "deadline-too-near",
            Self::QueueFull => "queue-full",
            Self::NoTarget => "no-target",
            Self::RetryBudget => "retry-budget",
            Self::Quarantined => "quarantined",
            Self::Suspected => "suspected",
            Self::NoPath => "no-path",
            Self::NoRoom => "no-room",
        }
    }
}

impl fmt::Display for ShedReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A rejection; the request was not sent to any target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shed {
    /// Time from now until the queue is expected to have room.
    pub retry_after: Duration,
    /// The reason for the rejection.
    pub reason: ShedReason,
}

/// The immediate decision about a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// Send the request now.
    Send(Assignment),
    /// Wait until the ticket is resolved.
    Queued(Ticket),
    /// Reject the request.
    Shed(Shed),
}

/// The final decision about a queued request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Resolution {
    /// Send the request now.
    Send(Assignment),
    /// Reject the request.
    Shed(Shed),
}

/// A ticket that has left the queue, with the decision about its request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResolvedTicket {
    /// The ticket that `Admission::Queued` returned.
    pub ticket: Ticket,
    /// The decision about the ticket's request.
    pub resolution: Resolution,
}

/// Numbers of attempts requested from a pool since its creation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PoolCounts {
    /// Requests that were not sent before, including rejected ones.
    pub first_attempts: u64,
    /// Retries within the budget.
    pub retries: u64,
    /// Hedges sent.
    pub hedges: u64,
}

/// The way in which an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A complete answer that is not a server error arrived.
    Answered {
        /// Time from sending the request to the last byte of the answer.
        latency: Duration,
    },
    /// The connection failed or the answer was a server error.
    Failed,
    /// The target rejected the request because of overload.
    Shed,
    /// No answer arrived in time.
    TimedOut,
    /// The attempt was abandoned for a reason not caused by the target, such as an answer to
    /// another attempt.
    Cancelled,
}
