//! Failed attempts, which may be retried at another target.

use http::StatusCode;
use shallotfork_exchange::{AttemptFailure, BufferedAnswer, FailureCause, Problem};
use shallotfork_types::Verdict;

use crate::traffic::operation::ExecutionResult;

/// Failed attempt that may succeed at another target.
#[derive(Debug)]
pub enum FailedAttempt {
    /// No complete answer was received.
    NoAnswer(AttemptFailure),
    /// The target answered with an error of its own.
    ErrorAnswer(BufferedAnswer),
}

impl FailedAttempt {
    /// Returns the verdict on whether the request has run.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::NoAnswer(failure) => failure.verdict(),
            Self::ErrorAnswer(_) => Verdict::Ran,
        }
    }

    /// Returns whether another attempt could succeed.
    pub fn is_retryable(&self) -> bool {
        let Self::NoAnswer(failure) = self else { return true };
        !matches!(failure.cause(), FailureCause::BadRequest | FailureCause::DeadlinePassed)
    }

    /// Returns the result for the caller if no further attempt is made.
    pub fn into_result(self, may_have_run: bool) -> ExecutionResult {
        match self {
            Self::NoAnswer(failure) => Err(failure_problem(&failure, may_have_run)),
            Self::ErrorAnswer(answer) => Ok(answer),
        }
    }
}

/// Returns whether an answer reports an error of its target that other targets may not have.
///
/// A target whose own dependency is broken answers errors at once while other targets work. Until
/// it is ejected, every request sent to it would otherwise fail for the caller.
pub fn is_target_error(answer: &BufferedAnswer) -> bool {
    matches!(
        answer.status,
        StatusCode::INTERNAL_SERVER_ERROR
            | StatusCode::BAD_GATEWAY
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::GATEWAY_TIMEOUT
    )
}

fn failure_problem(failure: &AttemptFailure, may_have_run: bool) -> Problem {
    let verdict = if may_have_run { Verdict::MayHaveRun } else { Verdict::NotRun };
    let problem = Problem::new(failure.status(), verdict).with_detail(&failure.cause().to_string());
    match failure.cause() {
        FailureCause::Shed { retry_after: Some(wait) } => problem.with_retry_after(*wait),
        _ => problem,
    }
}
