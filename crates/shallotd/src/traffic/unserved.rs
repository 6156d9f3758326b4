//! Why an attempt did not give the caller what was asked for.

use http::StatusCode;
use shallotfork_exchange::{AttemptFailure, BufferedAnswer, FailureCause, Problem};
use shallotfork_types::Verdict;

use crate::traffic::operation::Executed;

/// An attempt that another target may make good.
#[derive(Debug)]
pub enum Unserved {
    /// There is no whole answer.
    Failed(AttemptFailure),
    /// The target answered that it is in trouble itself.
    Error(BufferedAnswer),
}

impl Unserved {
    /// Whether the request may have run.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::Failed(failure) => failure.verdict(),
            Self::Error(_) => Verdict::Ran,
        }
    }

    /// Whether another attempt could end better.
    pub fn may_pass(&self) -> bool {
        let Self::Failed(failure) = self else { return true };
        !matches!(failure.cause(), FailureCause::BadRequest | FailureCause::DeadlinePassed)
    }

    /// What the caller is told when no further attempt is made.
    pub fn into_executed(self, may_have_run: bool) -> Executed {
        match self {
            Self::Failed(failure) => Err(failure_problem(&failure, may_have_run)),
            Self::Error(answer) => Ok(answer),
        }
    }
}

/// Whether an answer says that its target is in trouble, where another one may be well.
///
/// A target whose own dependency is broken answers errors at once while its neighbours are well.
/// Until it is left out, every request that comes to it would fail at the caller.
pub fn is_trouble(answer: &BufferedAnswer) -> bool {
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
