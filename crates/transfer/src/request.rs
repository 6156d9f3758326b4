//! Requests for room, and the decisions about them.

use std::fmt;
use std::time::Duration;

use shallotfork_types::Mono;

use crate::{ReservationId, SizeEstimate};

/// Identifies a waiting request until it is resolved or cancelled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RoomTicket(pub(crate) u64);

impl fmt::Display for RoomTicket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ticket {}", self.0)
    }
}

/// A request of a large route that is about to be sent to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoomRequest {
    /// Expected size of the answer.
    pub size: SizeEstimate,
    /// Time at which the request arrived.
    pub arrived_at: Mono,
    /// Time by which the caller expects the answer.
    pub objective: Mono,
    /// Time by which the answer must have been sent.
    pub deadline: Mono,
    /// Expected time from sending the request to the first byte of the answer.
    pub work_time: Duration,
}

impl RoomRequest {
    /// Creates a request whose target answers at once.
    pub fn new(size: SizeEstimate, arrived_at: Mono, objective: Mono, deadline: Mono) -> Self {
        Self { size, arrived_at, objective, deadline, work_time: Duration::ZERO }
    }

    /// Sets the expected time from sending the request to the first byte of the answer.
    #[must_use]
    pub fn with_work_time(mut self, work_time: Duration) -> Self {
        self.work_time = work_time;
        self
    }
}

/// Immediate decision about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoomDecision {
    /// The room is reserved; the request may be sent.
    Granted(ReservationId),
    /// The request waits until its ticket is resolved.
    Wait {
        /// Identifies the waiting request.
        ticket: RoomTicket,
        /// Time at which there will probably be room.
        expected_at: Mono,
        /// Time from which the transfer can't end before the deadline any more.
        give_up_at: Mono,
    },
    /// The transfer can't end before the deadline; the request must not be sent.
    Rejected {
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

/// Final decision about a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoomResolution {
    /// The room is reserved; the request may be sent.
    Granted(ReservationId),
    /// The transfer can't end before the deadline any more.
    Rejected {
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

/// A ticket that no longer waits, with the decision about its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResolvedWait {
    /// Ticket of the request.
    pub ticket: RoomTicket,
    /// Decision about the request.
    pub resolution: RoomResolution,
}
