//! Exit codes of `shallotctl`, for use in scripts.

use std::process::ExitCode;

/// Result of a command, reported as the exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command succeeded and the answer is yes.
    Success,
    /// The answer is no: the list is not valid, or it is not in force everywhere.
    Negative,
    /// The command line is wrong.
    UsageError,
    /// A file cannot be read, or an entry did not answer.
    Failure,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(match status {
            ExitStatus::Success => 0,
            ExitStatus::Negative => 1,
            ExitStatus::UsageError => 2,
            ExitStatus::Failure => 3,
        })
    }
}
