//! Classifies the result of an attempt at a target.

use http::StatusCode;
use http::header::CONTENT_ENCODING;
use shallotfork_balance::{SlotOutcome, TargetLoad};
use shallotfork_exchange::{AttemptFailure, BufferedAnswer, FailureCause};
use shallotfork_types::Verdict;

use crate::dialect::Dialect;

/// Outcome of one attempt, as it affects the request.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// The target's answer, to be forwarded to the caller.
    Answered(BufferedAnswer),
    /// The target answered with a server error: the request ran and failed.
    ServerError(BufferedAnswer),
    /// The request was not sent, for example because no connection could be opened.
    NotSent,
    /// The target reported that it has not run the request and will not run it.
    NotRun,
    /// There is no answer to forward, and the request may have run.
    Lost,
}

/// Classifies the result of an attempt.
///
/// A request that was sent counts as not run only if the target reports it, by the platform's
/// header or by status 421. An unsigned success is not the target's complete answer.
pub fn classify_attempt(
    dialect: &Dialect,
    result: Result<BufferedAnswer, AttemptFailure>,
) -> AttemptOutcome {
    let answer = match result {
        Ok(answer) => answer,
        Err(failure) if failure.verdict() == Verdict::NotRun => return AttemptOutcome::NotSent,
        Err(_) => return AttemptOutcome::Lost,
    };
    if reports_not_run(dialect, &answer) {
        return AttemptOutcome::NotRun;
    }
    let is_signed = answer.headers.contains_key(&dialect.headers.signature);
    let is_encoded = answer.headers.contains_key(CONTENT_ENCODING);
    if answer.status.is_success() && (!is_signed || is_encoded) {
        return AttemptOutcome::Lost;
    }
    if answer.status.is_server_error() {
        return AttemptOutcome::ServerError(answer);
    }
    AttemptOutcome::Answered(answer)
}

fn reports_not_run(dialect: &Dialect, answer: &BufferedAnswer) -> bool {
    answer.headers.contains_key(&dialect.headers.not_run)
        || answer.status == StatusCode::MISDIRECTED_REQUEST
}

/// Whether the connection failed before the whole answer was read, as happens when the target
/// crashes.
pub fn target_may_have_crashed(result: &Result<BufferedAnswer, AttemptFailure>) -> bool {
    let cause = result.as_ref().err().map(AttemptFailure::cause);
    matches!(cause, Some(FailureCause::ConnectionLost | FailureCause::AnswerIncomplete))
}

/// Returns the outcome that the slot pool records for the target.
pub fn slot_outcome(
    dialect: &Dialect,
    result: &Result<BufferedAnswer, AttemptFailure>,
    latency: std::time::Duration,
) -> SlotOutcome {
    match result {
        Ok(answer) if answer.status == StatusCode::MISDIRECTED_REQUEST => SlotOutcome::Misdirected,
        Ok(answer) if reports_not_run(dialect, answer) => SlotOutcome::Full,
        Ok(answer) if answer.status.is_server_error() => SlotOutcome::Failed,
        Ok(_) => SlotOutcome::Answered { latency },
        Err(failure) => match failure.cause() {
            FailureCause::ConnectFailed => SlotOutcome::Unreachable,
            FailureCause::Timeout => SlotOutcome::TimedOut,
            FailureCause::DeadlinePassed | FailureCause::BadRequest => SlotOutcome::Cancelled,
            _ => SlotOutcome::Failed,
        },
    }
}

/// Returns the load that a target reported with its answer; `None` if it is missing or invalid.
pub fn parse_reported_load(dialect: &Dialect, answer: &BufferedAnswer) -> Option<TargetLoad> {
    let text = answer.headers.get(&dialect.headers.load)?.to_str().ok()?;
    (dialect.parse_load)(text)
}
