//! Outcome of a caller's request.

use std::time::Duration;

use shallotfork_balance::Shed;
use shallotfork_exchange::BufferedAnswer;
use shallotfork_types::{Mono, TargetId};

use crate::traffic::answer_room::AnswerRoom;
use crate::traffic::hedge_report::HedgeReport;

/// Outcome of a caller's request.
#[derive(Debug)]
pub enum RequestOutcome {
    /// A target answered.
    Answered(BufferedAnswer),
    /// No further attempt was admitted; the request has not run at any target.
    Rejected(Shed),
    /// The request was not run by any of the targets that it was sent to.
    NotRun(Shed),
    /// The request may have run.
    MayHaveRun {
        /// Whether the deadline passed.
        timed_out: bool,
    },
    /// The caller disconnected before the request, or another attempt of it, was sent.
    CallerLeft,
}

/// Outcome of a request, with the details that are logged.
#[derive(Debug)]
pub struct CompletedRequest {
    /// Outcome of the request.
    pub outcome: RequestOutcome,
    /// Targets that the request was sent to, in order.
    pub tried: Vec<TargetId>,
    /// Time spent waiting for slots and for room.
    pub queued: Duration,
    /// What became of the hedge.
    pub hedge: HedgeReport,
    /// Room for the answer, if the answers of the route are large.
    pub room: AnswerRoom,
    /// Whether the request was forwarded to another entry.
    pub is_forwarded: bool,
}

impl CompletedRequest {
    /// Returns the outcome of a request that is still running when the process stops.
    pub fn interrupted() -> Self {
        let outcome = RequestOutcome::MayHaveRun { timed_out: true };
        Self {
            outcome,
            tried: Vec::new(),
            queued: Duration::ZERO,
            hedge: HedgeReport::default(),
            room: None,
            is_forwarded: false,
        }
    }

    /// Whether the request was sent to a target and ended after its objective.
    pub fn is_late(&self, objective: Mono, now: Mono) -> bool {
        now > objective && !self.tried.is_empty() && !self.is_forwarded && self.has_run()
    }

    fn has_run(&self) -> bool {
        matches!(self.outcome, RequestOutcome::Answered(_) | RequestOutcome::MayHaveRun { .. })
    }

    /// Returns the delay after which the caller may send the request again.
    pub fn retry_after(&self) -> Option<Duration> {
        match &self.outcome {
            RequestOutcome::Rejected(shed) | RequestOutcome::NotRun(shed) => Some(shed.retry_after),
            RequestOutcome::Answered(_)
            | RequestOutcome::MayHaveRun { .. }
            | RequestOutcome::CallerLeft => None,
        }
    }
}
