//! What the pool answers, and what it is told in return.

use std::fmt;
use std::time::Duration;

use shallotfork_types::TargetId;

/// One attempt at a target, until `Pool::finish`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub(crate) u64);

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "attempt {}", self.0)
    }
}

/// One request in the queue, until it is woken or cancelled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub(crate) u64);

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ticket {}", self.0)
    }
}

/// Leave to send one attempt to a target; it must be given back by `Pool::finish`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    /// The attempt, to be named when it ends.
    pub attempt: AttemptId,
    /// Where to send it.
    pub target: TargetId,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShedReason {
    /// The deadline has passed.
    DeadlinePassed,
    /// The expected wait and the usual latency end after the deadline.
    DeadlineTooNear,
    /// The queue is full of requests that go before this one.
    QueueFull,
    /// No target may serve the request: none is in the list, or all are draining or excluded.
    NoTarget,
    /// Retries have used up their share of first attempts.
    RetryBudget,
    /// The request is quarantined because it crashed several targets.
    Quarantined,
    /// The request is suspected of crashing targets and must not be sent yet.
    Suspected,
}

impl ShedReason {
    /// The text used in logs, metrics and answers.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::DeadlinePassed => "deadline-passed",
            Self::DeadlineTooNear => "deadline-too-near",
            Self::QueueFull => "queue-full",
            Self::NoTarget => "no-target",
            Self::RetryBudget => "retry-budget",
            Self::Quarantined => "quarantined",
            Self::Suspected => "suspected",
        }
    }
}

impl fmt::Display for ShedReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A refusal; nothing was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shed {
    /// When the queue is expected to have room, from now.
    pub retry_after: Duration,
    /// Why.
    pub reason: ShedReason,
}

/// What becomes of a request at once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// Send it now.
    Send(Assignment),
    /// Wait until the ticket is woken.
    Queued(Ticket),
    /// Refuse it.
    Shed(Shed),
}

/// What becomes of a queued request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Resolution {
    /// Send it now.
    Send(Assignment),
    /// Refuse it.
    Shed(Shed),
}

/// The end of one ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResolvedTicket {
    /// The ticket that `Admission::Queued` gave.
    pub ticket: Ticket,
    /// What becomes of its request.
    pub resolution: Resolution,
}

/// What a pool was asked for so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PoolCounts {
    /// Requests that were not sent before, refused ones included.
    pub first_attempts: u64,
    /// Retries within the budget.
    pub retries: u64,
    /// Hedges sent.
    pub hedges: u64,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A whole answer that is no server error came after this time.
    Answered {
        /// From sending to the last byte of the answer.
        latency: Duration,
    },
    /// The connection failed or the answer was a server error.
    Failed,
    /// The target refused for overload.
    Shed,
    /// No answer came in time.
    TimedOut,
    /// Given up for a reason that is not the target's, such as another attempt's answer.
    Cancelled,
}
