//! What a target's answer, or the lack of one, says.

use http::StatusCode;
use http::header::CONTENT_ENCODING;
use shallotfork_balance::{SlotOutcome, TargetLoad};
use shallotfork_exchange::{AttemptFailure, BufferedAnswer, FailureCause};
use shallotfork_types::Verdict;

use crate::dialect::Dialect;

/// How one attempt ended, for the request that made it.
#[derive(Debug)]
pub enum AttemptEnd {
    /// An answer to pass on.
    Answered(BufferedAnswer),
    /// A server error of the target's own: the request ran and failed.
    Errored(BufferedAnswer),
    /// Nothing was sent: no connection could be opened.
    Unreached,
    /// The target said that it has not run the request and never will.
    NotRun,
    /// No answer to pass on, and the request may have run.
    Lost,
}

/// Sorts the result of an attempt.
///
/// Only a target's own word, by the platform's header or by 421, says that a request which was
/// sent has not run. An unsigned success is not the target's whole answer.
pub fn attempt_end(
    dialect: &Dialect,
    result: Result<BufferedAnswer, AttemptFailure>,
) -> AttemptEnd {
    let answer = match result {
        Ok(answer) => answer,
        Err(failure) if failure.verdict() == Verdict::NotRun => return AttemptEnd::Unreached,
        Err(_) => return AttemptEnd::Lost,
    };
    if says_not_run(dialect, &answer) {
        return AttemptEnd::NotRun;
    }
    let signed = answer.headers.contains_key(&dialect.headers.signature);
    let encoded = answer.headers.contains_key(CONTENT_ENCODING);
    if answer.status.is_success() && (!signed || encoded) {
        return AttemptEnd::Lost;
    }
    if answer.status.is_server_error() {
        return AttemptEnd::Errored(answer);
    }
    AttemptEnd::Answered(answer)
}

fn says_not_run(dialect: &Dialect, answer: &BufferedAnswer) -> bool {
    answer.headers.contains_key(&dialect.headers.not_run)
        || answer.status == StatusCode::MISDIRECTED_REQUEST
}

/// Whether the connection failed before the whole answer was read, as it does when the target
/// crashes.
pub fn target_may_have_crashed(result: &Result<BufferedAnswer, AttemptFailure>) -> bool {
    let cause = result.as_ref().err().map(AttemptFailure::cause);
    matches!(cause, Some(FailureCause::ConnectionLost | FailureCause::AnswerIncomplete))
}

/// What the attempt says about its target.
pub fn slot_outcome(
    dialect: &Dialect,
    result: &Result<BufferedAnswer, AttemptFailure>,
    latency: std::time::Duration,
) -> SlotOutcome {
    match result {
        Ok(answer) if answer.status == StatusCode::MISDIRECTED_REQUEST => SlotOutcome::Misdirected,
        Ok(answer) if says_not_run(dialect, answer) => SlotOutcome::Full,
        Ok(answer) if answer.status.is_server_error() => SlotOutcome::Failed,
        Ok(_) => SlotOutcome::Answered { latency },
        Err(failure) => match failure.cause() {
            FailureCause::ConnectFailed => SlotOutcome::Unreachable,
            FailureCause::Timeout => SlotOutcome::TimedOut,
            FailureCause::BudgetFull | FailureCause::DeadlinePassed | FailureCause::BadRequest => {
                SlotOutcome::Cancelled
            }
            _ => SlotOutcome::Failed,
        },
    }
}

/// The load that a target reported with its answer; one that can't be read counts as none.
pub fn figures(dialect: &Dialect, answer: &BufferedAnswer) -> Option<TargetLoad> {
    let text = answer.headers.get(&dialect.headers.load)?.to_str().ok()?;
    (dialect.load_figures)(text)
}
