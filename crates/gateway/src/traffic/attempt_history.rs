//! Attempts made so far for a request, and what follows from them.

use std::time::Duration;

use http::StatusCode;
use shallotfork_balance::Shed;
use shallotfork_exchange::BufferedAnswer;
use shallotfork_quarantine::SendKind;
use shallotfork_types::TargetId;

use crate::traffic::answer_room::AnswerRoom;
use crate::traffic::attempt_outcome::AttemptOutcome;
use crate::traffic::hedge_report::HedgeReport;
use crate::traffic::request_outcome::{CompletedRequest, RequestOutcome};
use crate::traffic::routed_request::RoutedRequest;
use crate::traffic::service_slots::SlotGuard;

/// Maximum number of unreachable targets before a request is given up. Nothing is sent to these, so
/// they do not count towards the route's limit on attempts.
const UNREACHABLE_TARGETS_MAX: u32 = 4;
/// Statuses that tell a caller that its request has not run and will not run.
const NOT_RUN_STATUSES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// Attempts made so far for a request.
#[derive(Debug, Default)]
pub struct AttemptHistory {
    /// Targets that the request was sent to.
    pub tried: Vec<TargetId>,
    /// Targets that must not be selected again.
    pub excluded: Vec<TargetId>,
    unreachable_count: u32,
    /// Time spent waiting for slots and for room.
    pub queued: Duration,
    /// What became of the hedge.
    pub hedge: HedgeReport,
    /// Room for the answer, from the first attempt on.
    pub room: AnswerRoom,
    may_have_run: bool,
    /// Server error of a target, forwarded to the caller if no later attempt is answered.
    server_error: Option<BufferedAnswer>,
}

impl AttemptHistory {
    /// Records that the request is sent to the target of `slot`.
    pub fn record_start(&mut self, slot: &SlotGuard) {
        self.tried.push(slot.target().clone());
        self.excluded.push(slot.target().clone());
    }

    /// Returns the kind of the next attempt.
    pub fn next_send_kind(&self) -> SendKind {
        if self.tried.is_empty() { SendKind::First } else { SendKind::Retry }
    }

    /// Whether the limits allow another attempt.
    pub fn has_attempt_left(&self, routed: &RoutedRequest) -> bool {
        let attempts = u32::try_from(self.tried.len()).unwrap_or(u32::MAX);
        attempts < routed.route.attempts_max && self.unreachable_count < UNREACHABLE_TARGETS_MAX
    }

    /// Records the outcome of an attempt. Returns whether another attempt may be made.
    pub fn record_outcome(&mut self, outcome: AttemptOutcome, routed: &RoutedRequest) -> bool {
        match outcome {
            AttemptOutcome::NotSent => {
                self.tried.pop();
                self.unreachable_count += 1;
            }
            AttemptOutcome::NotRun => {}
            AttemptOutcome::Lost => self.may_have_run = true,
            AttemptOutcome::ServerError(answer) => {
                self.may_have_run = true;
                self.server_error = Some(answer);
            }
            AttemptOutcome::Answered(_) => return false,
        }
        self.has_attempt_left(routed) && (!self.may_have_run || routed.is_idempotent())
    }

    /// Completes a request with an outcome that needs no further decision.
    pub fn complete(self, outcome: RequestOutcome) -> CompletedRequest {
        let Self { tried, queued, hedge, room, .. } = self;
        CompletedRequest { outcome, tried, queued, hedge, room, is_forwarded: false }
    }

    /// Completes a request that was forwarded to another entry. The other entry's rejection does not
    /// cover an earlier attempt of this one.
    pub fn complete_forwarded(self, outcome: RequestOutcome) -> CompletedRequest {
        let outcome = match outcome {
            RequestOutcome::Answered(answer)
                if self.may_have_run && NOT_RUN_STATUSES.contains(&answer.status) =>
            {
                RequestOutcome::MayHaveRun { timed_out: false }
            }
            outcome => outcome,
        };
        CompletedRequest { is_forwarded: true, ..self.complete(outcome) }
    }

    /// Completes a request whose first or next attempt was not admitted.
    pub fn complete_without_slot(mut self, shed: Shed) -> CompletedRequest {
        if let Some(error) = self.server_error.take() {
            return self.complete(RequestOutcome::Answered(error));
        }
        if self.may_have_run {
            return self.complete(RequestOutcome::MayHaveRun { timed_out: false });
        }
        self.complete(RequestOutcome::Rejected(shed))
    }

    /// Completes a request for which no further attempt is made.
    pub fn complete_unanswered(mut self, routed: &RoutedRequest) -> CompletedRequest {
        if let Some(error) = self.server_error.take() {
            return self.complete(RequestOutcome::Answered(error));
        }
        if self.may_have_run {
            let timed_out = routed.remaining(routed.context.clock.now()).is_zero();
            return self.complete(RequestOutcome::MayHaveRun { timed_out });
        }
        let shed = routed.context.slots(&routed.service).shed_no_target();
        self.complete(RequestOutcome::NotRun(shed))
    }
}
